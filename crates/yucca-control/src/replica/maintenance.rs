//! Maintains the membership of a log while its replica is the leader.

use std::time;

use indexmap::IndexMap;
use yucca_log::{membership, node};
use yucca_wire::id;

use crate::directory;
use crate::replica::{Rule, run};

/// Interval of membership checks.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time without contact after which a member counts as dead and is replaced, and after which a
/// request to join is forgotten.
const CONTACT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum number of voters of a log that is spread over the domains.
const MAX_SPREAD_VOTERS: usize = 5;

impl run::Run {
    /// Starts the next change of membership or leadership, if this replica leads and one is due.
    pub fn maintain_members(&mut self) {
        let now = self.now();
        self.maintenance_at = now + INTERVAL;
        let Some(since) = self.leads_since else {
            return;
        };
        self.joining
            .retain(|_, requested| *requested + CONTACT_TIMEOUT > now);
        self.report_tolerance(now, since);
        let directory = (self.parts.hosts)();
        let statuses = self.statuses(&directory, now, since);
        if let Some(local) = self.better_leader(&statuses) {
            log::info!("log={} transferring leadership to {local}", self.parts.log);
            self.step(node::Input::Transfer { to: Some(local) });
            return;
        }
        let members = self.node.members();
        let change = match &self.parts.rule {
            Rule::Local(_) => membership::next_change(members, self.node.replica(), &statuses),
            Rule::Spread => next_spread(members, self.node.replica(), &statuses, &directory),
        };
        if let Some(change) = change {
            let request_id = self.next_request_id();
            log::info!("log={} {change}", self.parts.log);
            metrics::counter!("yucca_control_membership_changes_total").increment(1);
            self.step(node::Input::Change { request_id, change });
        }
    }

    /// Returns the time since the last contact with a member.
    fn silence(
        &self,
        replica: &membership::Replica,
        now: time::Duration,
        since: time::Duration,
    ) -> time::Duration {
        let silence = self.node.time_since_contact(replica);
        silence.unwrap_or(now.saturating_sub(since))
    }

    /// Logs a change of the number of losses that the log tolerates, with the voters that do not
    /// reply.
    fn report_tolerance(&mut self, now: time::Duration, since: time::Duration) {
        let members = self.node.members();
        let silent = members.voters().iter().filter(|voter| {
            *voter != self.node.replica() && self.silence(voter, now, since) >= CONTACT_TIMEOUT
        });
        let silent: Vec<String> = silent.map(ToString::to_string).collect();
        let (voters, quorum) = (members.voters().len(), members.quorum());
        let alive = voters - silent.len();
        let tolerated = alive.saturating_sub(quorum);
        let log = self.parts.log.to_string();
        metrics::gauge!("yucca_control_tolerated_losses", "log" => log.clone())
            .set(tolerated as f64);
        if self.tolerated.replace(tolerated) == Some(tolerated) {
            return;
        }
        let silent = silent.join(", ");
        log::info!(
            "log={log} tolerates the loss of {tolerated} voters: {alive} of {voters} reply, \
             a quorum is {quorum}; silent=[{silent}]"
        );
    }

    /// Returns the host that should lead in place of this one: a witness hands over to a replica in
    /// the domain, which the domain's hosts reach without a connection to another domain.
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
            let silence = self.silence(replica, now, since);
            let alive = replica == self.node.replica() || silence < CONTACT_TIMEOUT;
            statuses.extend(self.status(directory, replica, alive));
        }
        for replica in self.joining.keys() {
            if !self.node.members().contains(replica) {
                statuses.extend(self.status(directory, replica, true));
            }
        }
        statuses
    }

    /// Returns the status of a replica; `None`, which counts as dead, if the directory no longer
    /// has its host.
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
        status(learner).is_some_and(|s| s.caught_up) && !has_voter(members, &learner.host)
    });
    let dead = members.voters().iter().find(|voter| !alive(voter));
    match (dead, ready) {
        // The replacement catches up first, so that the log lacks a voter only for one change.
        (Some(dead), Some(_)) => Some(membership::Change::Remove(dead.clone())),
        (Some(dead), None) if members.learners().is_empty() => {
            add_spare(members, statuses, directory).or_else(|| remove_restarted(dead, statuses))
        }
        (None, Some(ready)) if members.voters().len() < MAX_SPREAD_VOTERS => {
            Some(membership::Change::Promote(ready.clone()))
        }
        (None, None)
            if members.voters().len() < MAX_SPREAD_VOTERS && members.learners().is_empty() =>
        {
            add_spare(members, statuses, directory)
        }
        _ => None,
    }
}

fn has_voter(members: &membership::Members, host: &id::Host) -> bool {
    members.voters().iter().any(|voter| voter.host == *host)
}

/// Removes a dead voter whose host runs a new replica without the old records.
///
/// This is the last resort if no other host can replace the voter.
fn remove_restarted(
    dead: &membership::Replica,
    statuses: &[membership::Status],
) -> Option<membership::Change> {
    let back = statuses
        .iter()
        .any(|s| s.replica.host == dead.host && s.replica != *dead && s.alive);
    back.then(|| membership::Change::Remove(dead.clone()))
}

/// Adds a host with a disk as a learner, from the domain with the fewest voters.
fn add_spare(
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
        s.alive && s.disk && !members.contains(&s.replica) && !has_voter(members, &s.replica.host)
    });
    let voters_in_domain = |s: &&membership::Status| {
        let domain = directory
            .hosts
            .get(&s.replica.host)
            .map(|host| &host.domain);
        domain
            .and_then(|domain| voters.get(domain))
            .copied()
            .unwrap_or(0)
    };
    let best = free.min_by_key(voters_in_domain)?;
    Some(membership::Change::AddLearner(best.replica.clone()))
}
