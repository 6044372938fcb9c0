//! The replicated log: a few replicas of the product's own `Node::step`, and a network that
//! delivers in any order, late or never.
//!
//! Time stands still; what a timer would start is a step of its own. Leaders are elected without
//! regard to pre-votes and leases, so what is shown here does not rest on either.

mod state;

use std::time::Duration;

use yucca_log::{entry, membership, node};

use crate::search;

pub use state::State;

/// A fault put into the model to show that the search would find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// None: the product as it is.
    None,
    /// Records are reported as synced and not kept.
    SyncSkipped,
    /// A host without a disk comes back under its old incarnation.
    IncarnationReused,
    /// Every pre-vote is granted.
    PreVoteSkipped,
}

/// The bounds of a search.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The number of replicas.
    pub hosts: usize,
    /// The replicas that may campaign, in any order, each so many times.
    pub campaigns: Vec<u8>,
    /// How often each replica may restart.
    pub crashes: Vec<u8>,
    /// How many proposals may be made.
    pub proposals: u8,
    /// How many messages may be delivered twice.
    pub duplicates: u8,
    /// The membership changes that leaders may make, each once, in any order.
    pub changes: Vec<membership::Change>,
    /// The replica without a disk, if any.
    pub diskless: Option<usize>,
    /// Whether syncs take time, so that other steps may come before them.
    pub slow_sync: bool,
    /// The search starts with replica 0 leading and the replica given here cut off from it.
    pub cut: Option<usize>,
    /// The fault put in.
    pub mutant: Mutant,
}

impl Setup {
    /// Returns a search of so many replicas in which nothing happens.
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

    /// Leases hold only where a cut is searched.
    fn election(&self) -> Duration {
        match self.cut {
            Some(_) => Duration::from_millis(250),
            None => Duration::ZERO,
        }
    }

    /// Whether pre-votes go through the network, rather than being granted.
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
        let raised = raised.then(|| "terms rose behind a partial cut".to_owned());
        state.violation().or(raised)
    }

    fn label(&self, state: &State) -> String {
        state.label().into()
    }
}

/// Returns the replicas of a search in their first life.
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

/// Tells whether a replica leads.
fn leads(node: &node::Node) -> bool {
    node.role() == node::Role::Leader
}
