//! Keeps up the membership of a log, while its replica leads.

use std::time;

use indexmap::IndexMap;
use yucca_log::{membership, node};
use yucca_wire::id;

use crate::directory;
use crate::replica::{Rule, run};

/// How often the membership is looked at.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// A member that was silent for longer is replaced.
const SILENCE: time::Duration = time::Duration::from_secs(2);

/// The most voters of a log that is spread over the domains.
const MAX_SPREAD: usize = 5;

impl run::Run {
    pub fn keep_members(&mut self) {
        let now = self.now();
        self.steward_at = now + INTERVAL;
        let Some(since) = self.leads_since else {
            return;
        };
        self.joining.retain(|_, heard| *heard + SILENCE > now);
        let directory = (self.parts.hosts)();
        let statuses = self.statuses(&directory, now, since);
        if let Some(local) = self.better_leader(&statuses) {
            log::info!("log={} leadership goes to {local}", self.parts.log);
            self.step(node::Input::Transfer { to: Some(local) });
            return;
        }
        let members = self.node.members();
        let change = match &self.parts.rule {
            Rule::Local(_) => membership::next_change(members, self.node.replica(), &statuses),
            Rule::Spread => next_spread(members, self.node.replica(), &statuses, &directory),
        };
        if let Some(change) = change {
            let ticket = self.next_ticket();
            log::info!("log={} {change}", self.parts.log);
            metrics::counter!("yucca_control_membership_changes_total").increment(1);
            self.step(node::Input::Change { ticket, change });
        }
    }

    /// A witness that leads hands over to a local, which hears the domain's hosts itself.
    fn better_leader(&self, statuses: &[membership::Status]) -> Option<id::Host> {
        let is_witness = |s: &membership::Status| s.replica == *self.node.replica() && !s.local;
        if self.parts.rule == Rule::Spread || !statuses.iter().any(is_witness) {
            return None;
        }
        let members = self.node.members();
        let mut locals = statuses.iter();
        let local = locals.find(|s| s.local && s.alive && members.is_voter(&s.replica))?;
        Some(local.replica.host.clone())
    }

    fn statuses(
        &self,
        directory: &directory::Directory,
        now: time::Duration,
        since: time::Duration,
    ) -> Vec<membership::Status> {
        let mut statuses = Vec::new();
        for replica in self.node.members().iter() {
            let silence = self.node.time_since_contact(replica).unwrap_or(now - since);
            let alive = replica == self.node.replica() || silence < SILENCE;
            statuses.extend(self.status(directory, replica, alive));
        }
        for replica in self.joining.keys() {
            if !self.node.members().contains(replica) {
                statuses.extend(self.status(directory, replica, true));
            }
        }
        statuses
    }

    /// A host that tickets no longer name counts as dead.
    fn status(
        &self,
        directory: &directory::Directory,
        replica: &membership::Replica,
        alive: bool,
    ) -> Option<membership::Status> {
        let host = directory.hosts.get(&replica.host)?;
        let local = matches!(&self.parts.rule, Rule::Local(domain) if *domain == host.domain);
        Some(membership::Status {
            replica: replica.clone(),
            local,
            disk: host.disk,
            alive,
            caught_up: self.node.is_caught_up(replica),
        })
    }
}

/// Returns the next change of a log whose voters are spread over the domains.
fn next_spread(
    members: &membership::Members,
    leader: &membership::Replica,
    statuses: &[membership::Status],
    directory: &directory::Directory,
) -> Option<membership::Change> {
    let status = |replica: &membership::Replica| statuses.iter().find(|s| s.replica == *replica);
    let alive = |replica: &membership::Replica| {
        replica == leader || status(replica).is_some_and(|s| s.alive)
    };
    if let Some(dead) = members.learners().iter().find(|learner| !alive(learner)) {
        return Some(membership::Change::Remove(dead.clone()));
    }
    let ready = members.learners().iter().find(|learner| {
        status(learner).is_some_and(|s| s.caught_up) && !votes(members, &learner.host)
    });
    let dead = members.voters().iter().find(|voter| !alive(voter));
    match (dead, ready) {
        // The replacement is taught first, so that the log is short of a voter only for one change.
        (Some(dead), Some(_)) => Some(membership::Change::Remove(dead.clone())),
        (Some(dead), None) if members.learners().is_empty() => {
            spare(members, statuses, directory).or_else(|| same_host(dead, statuses))
        }
        (None, Some(ready)) if members.voters().len() < MAX_SPREAD => {
            Some(membership::Change::Promote(ready.clone()))
        }
        (None, None) if members.voters().len() < MAX_SPREAD && members.learners().is_empty() => {
            spare(members, statuses, directory)
        }
        _ => None,
    }
}

fn votes(members: &membership::Members, host: &id::Host) -> bool {
    members.voters().iter().any(|voter| voter.host == *host)
}

/// Drops a voter whose host came back without its records and can stand in for itself only.
fn same_host(
    dead: &membership::Replica,
    statuses: &[membership::Status],
) -> Option<membership::Change> {
    let back = statuses
        .iter()
        .any(|s| s.replica.host == dead.host && s.replica != *dead && s.alive);
    back.then(|| membership::Change::Remove(dead.clone()))
}

/// Teaches the host with a disk whose domain has the fewest voters.
fn spare(
    members: &membership::Members,
    statuses: &[membership::Status],
    directory: &directory::Directory,
) -> Option<membership::Change> {
    let mut voters: IndexMap<&id::Domain, usize> = IndexMap::new();
    for voter in members.voters() {
        if let Some(host) = directory.hosts.get(&voter.host) {
            *voters.entry(&host.domain).or_default() += 1;
        }
    }
    let free = statuses.iter().filter(|s| {
        s.alive && s.disk && !members.contains(&s.replica) && !votes(members, &s.replica.host)
    });
    let crowd = |s: &&membership::Status| {
        let domain = directory
            .hosts
            .get(&s.replica.host)
            .map(|host| &host.domain);
        domain
            .and_then(|domain| voters.get(domain))
            .copied()
            .unwrap_or(0)
    };
    let best = free.min_by_key(crowd)?;
    Some(membership::Change::AddLearner(best.replica.clone()))
}
