//! Maintains the membership of a log while its replica is the leader.

use std::time;

use yucca_log::membership::spread;
use yucca_log::{membership, node};
use yucca_wire::id;

use crate::directory;
use crate::replica::{Rule, run};

/// Interval of membership checks.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time without contact after which a member counts as dead and is replaced, and after which a
/// request to join or a report of a voter that is about to stop is forgotten.
const CONTACT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time without contact after which a voter of a log that is spread over the domains counts as
/// dead. It is shorter, as such a voter is only replaced, and may return as a learner.
const REPLACE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

impl run::Run {
    /// Starts the next change of membership or leadership, if this replica leads and one is due.
    pub fn maintain_members(&mut self) {
        let now = self.now();
        self.maintenance_at = now + INTERVAL;
        if self.node.role() != node::Role::Leader {
            return;
        }
        self.joining
            .retain(|_, requested| *requested + CONTACT_TIMEOUT > now);
        self.leaving
            .retain(|_, reported| *reported + CONTACT_TIMEOUT > now);
        self.report_tolerance();
        let directory = (self.parts.hosts)();
        let change = match &self.parts.rule {
            Rule::Local(_) => self.next_local(&directory),
            Rule::Spread => self.next_spread(&directory),
        };
        if let Some(change) = change {
            let request_id = self.next_request_id();
            log::info!("log={} {change}", self.parts.log);
            metrics::counter!("yucca_control_membership_changes_total").increment(1);
            self.step(node::Input::Change { request_id, change });
        }
    }

    fn next_local(&mut self, directory: &directory::Directory) -> Option<membership::Change> {
        let statuses = self.statuses(directory);
        if let Some(local) = self.better_leader(&statuses) {
            log::info!("log={} transferring leadership to {local}", self.parts.log);
            self.step(node::Input::Transfer { to: Some(local) });
            return None;
        }
        membership::next_change(self.node.members(), self.node.replica(), &statuses)
    }

    fn next_spread(&self, directory: &directory::Directory) -> Option<membership::Change> {
        let members = self.node.members().iter();
        let joining = self.joining.keys();
        let joining = joining.filter(|replica| !self.node.members().contains(replica));
        let statuses = members.chain(joining);
        let statuses = statuses.filter_map(|replica| self.spread_status(directory, replica));
        let statuses: Vec<spread::Status> = statuses.collect();
        spread::next_change(self.node.members(), self.node.replica(), &statuses)
    }

    /// Returns the status of a replica; `None`, which counts as dead, if the directory does not
    /// have its host.
    fn spread_status(
        &self,
        directory: &directory::Directory,
        replica: &membership::Replica,
    ) -> Option<spread::Status> {
        let host = directory.hosts.get(&replica.host)?;
        Some(spread::Status {
            replica: replica.clone(),
            domain: host.domain.clone(),
            disk: host.disk,
            alive: self.is_alive(replica, REPLACE_TIMEOUT),
            caught_up: self.node.is_caught_up(replica),
            leaving: self.leaving.contains_key(replica),
        })
    }

    /// Returns whether a replica is this one, has replied within the timeout, or asks to join.
    fn is_alive(&self, replica: &membership::Replica, timeout: time::Duration) -> bool {
        let silence = self.node.time_since_contact(replica);
        silence.is_none_or(|silence| silence < timeout)
    }

    /// Logs a change of the number of losses that the log tolerates, with the voters that do not
    /// reply.
    fn report_tolerance(&mut self) {
        let members = self.node.members();
        let voters = members.voters().iter();
        let silent = voters.filter(|voter| !self.is_alive(voter, CONTACT_TIMEOUT));
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
        if !statuses.iter().any(is_witness) {
            return None;
        }
        let members = self.node.members();
        let mut locals = statuses.iter();
        let local = locals.find(|s| s.local && s.alive && members.is_voter(&s.replica))?;
        Some(local.replica.host.clone())
    }

    fn statuses(&self, directory: &directory::Directory) -> Vec<membership::Status> {
        let mut statuses = Vec::new();
        for replica in self.node.members().iter() {
            let alive = self.is_alive(replica, CONTACT_TIMEOUT);
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
