//! Exhaustive search of the replicated log: a few replicas that run the product's own `Node::step`,
//! and a network that delivers messages in any order, late, or never.
//!
//! No time passes; the expiry of a timer is a step of its own. Unless [`Setup::cut`] is set, all
//! pre-votes count as granted and leases have no length, so the results do not depend on either.

mod state;

use std::time::Duration;

use yucca_log::{entry, membership, node};

use crate::search;

pub use state::State;

/// A fault built into the model, to show that the search detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault: the product's own code.
    None,
    /// Records are reported as synced but not stored.
    SyncSkipped,
    /// A host without a disk restarts under its old incarnation.
    IncarnationReused,
    /// Every pre-vote is granted.
    PreVoteSkipped,
}

/// The bounds of a search.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of replicas.
    pub hosts: usize,
    /// Maximum number of campaigns of each replica.
    pub campaigns: Vec<u8>,
    /// Maximum number of restarts of each replica.
    pub crashes: Vec<u8>,
    /// Maximum number of proposals.
    pub proposals: u8,
    /// Maximum number of messages that are delivered twice.
    pub duplicates: u8,
    /// Membership changes that leaders may make, each once, in any order.
    pub changes: Vec<membership::Change>,
    /// The replica without a disk, if any.
    pub diskless: Option<usize>,
    /// Whether syncs take time, so that other steps may come before them.
    pub slow_sync: bool,
    /// The replica that is cut off from replica 0, which leads at the start, if any.
    pub cut: Option<usize>,
    /// The built-in fault.
    pub mutant: Mutant,
}

impl Setup {
    /// Returns the bounds of a search with this number of replicas in which no step is possible.
    pub fn new(hosts: usize) -> Self {
        Self {
            hosts,
            campaigns: vec![0; hosts],
            crashes: vec![0; hosts],
            proposals: 0,
            duplicates: 0,
            changes: Vec::new(),
            diskless: None,
            slow_sync: false,
            cut: None,
            mutant: Mutant::None,
        }
    }

    /// Returns the election timeout. Leases have a length only in searches with a cut.
    fn election_timeout(&self) -> Duration {
        match self.cut {
            Some(_) => Duration::from_millis(250),
            None => Duration::ZERO,
        }
    }

    /// Returns whether pre-votes are sent over the network. Otherwise all count as granted.
    fn asks_pre_votes(&self) -> bool {
        self.cut.is_some() && self.mutant != Mutant::PreVoteSkipped
    }
}

impl search::Model for Setup {
    type State = State;

    fn initial_states(&self) -> Vec<State> {
        vec![State::new(self)]
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for host in 0..self.hosts {
            next.extend(state.campaign(self, host));
            next.extend(state.sync(self, host));
            next.extend(state.propose(self, host));
            next.extend(state.crash(self, host, false));
            next.extend(state.crash(self, host, true));
            for change in 0..self.changes.len() {
                next.extend(state.change(self, host, change));
            }
        }
        for index in 0..state.message_count() {
            next.extend(state.deliver(self, index, false));
            next.extend(state.deliver(self, index, true));
        }
        next
    }

    fn violation(&self, state: &State) -> Option<String> {
        let raised = self.cut.is_some() && state.term() > entry::Term(1);
        let raised = raised.then(|| "terms rose during a partial cut".to_owned());
        state.violation().or(raised)
    }

    fn label(&self, state: &State) -> String {
        state.label().into()
    }
}

/// Returns the replicas of a search in their first incarnation.
pub fn replicas(hosts: usize) -> Vec<membership::Replica> {
    let names = ["a", "b", "c", "d", "e"].into_iter().take(hosts);
    let parsed = names.filter_map(|name| name.parse().ok());
    parsed
        .map(|host| membership::Replica {
            host,
            incarnation: 1,
        })
        .collect()
}

/// Returns whether a replica is the leader.
fn leads(node: &node::Node) -> bool {
    node.role() == node::Role::Leader
}
