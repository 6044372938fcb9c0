//! Exhaustive search of grants and moves: one shard, two targets, two hosts, and the real state
//! machine of a domain's log.
//!
//! Reports of lanes are never removed from the network and may be delivered at any time, any number
//! of times and in any order, which covers loss, duplication and reordering. A host applies the
//! newest table in a step of its own, at any time. A lease may expire at any time. A host without a
//! lease takes no step, except that with [`Options::pauses`] a request that it has checked before
//! may still arrive at the target.

mod action;
mod state;
mod step;

use pathfinding::directed::bfs;

pub use state::State;

/// Bounds of a search, and the safeguard that is left out.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum number of moves of the shard.
    pub moves: u8,
    /// Maximum number of leases that expire.
    pub expiries: u8,
    /// Maximum number of restarts of targets, which lose their memory.
    pub restarts: u8,
    /// Maximum number of planned handovers of lanes.
    pub handovers: u8,
    /// Whether a host may pause between checking its lease and sending.
    pub pauses: bool,
    /// Whether targets reject lower tokens, and requests for shards that they were not granted.
    pub checks_tokens: bool,
    /// The safeguard that is left out, if any.
    pub mutant: Option<Mutant>,
}

/// A safeguard that is left out, to show that the search detects its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Targets accept requests of any lane.
    FenceDropped,
    /// Lanes release a shard while requests for it are in flight.
    RevokeNotAwaited,
    /// Hosts are declared lost before their leases have expired.
    LeaseNotAwaited,
    /// A release is accepted whichever grant it refers to.
    StaleReleaseAccepted,
}

/// Result of a search.
#[derive(Debug)]
pub struct Outcome {
    /// Number of states that were expanded.
    pub states: usize,
    /// Number of these in which the second target, not the first owner, works on the shard.
    pub moved: usize,
    /// Shortest path to a violation of an invariant, if there is one: descriptions of the steps.
    pub counterexample: Option<Vec<String>>,
}

/// Searches all states within the bounds, or up to the first that violates an invariant.
pub fn search(options: Options) -> Outcome {
    let (mut states, mut moved) = (0, 0);
    let mut logs = state::Logs::default();
    let start = State::start(&mut logs);
    let successors = |state: &State| {
        states += 1;
        moved += usize::from(state.is_moved());
        let stepper = step::Stepper {
            state,
            options: &options,
            logs: &mut logs,
            next: Vec::new(),
        };
        stepper.successors()
    };
    let path = bfs::bfs(&start, successors, State::is_violation);
    let steps = |path: Vec<State>| path.into_iter().map(|state| state.label()).collect();
    Outcome {
        states,
        moved,
        counterexample: path.map(steps),
    }
}
