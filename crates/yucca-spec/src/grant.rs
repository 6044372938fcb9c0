//! Exhaustive search of grants and moves: one shard, two targets, two hosts, and the real state
//! machine of a domain's log.
//!
//! Reports of lanes stay in the network for ever and may be delivered at any time, any number of
//! times and in any order, which covers loss, duplication and reordering. Hosts take in the newest
//! table whenever they get to it. A lease expiries at any time; a host without one does nothing,
//! except that where `Options::pauses` is set a send that was checked before may still arrive.

mod action;
mod state;
mod step;

use pathfinding::directed::bfs;

pub use state::State;

/// What the search may do, how often, and which safeguard is left out.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The most moves of the shard.
    pub moves: u8,
    /// The most leases that lapse.
    pub expiries: u8,
    /// The most starts of targets with an empty memory.
    pub restarts: u8,
    /// The most lanes that are handed over as planned.
    pub handovers: u8,
    /// A host may be paused between its check of its lease and its send.
    pub pauses: bool,
    /// Targets refuse lower tokens, and work of shards that they were not granted.
    pub checks_tokens: bool,
    /// The safeguard that is left out.
    pub mutant: Option<Mutant>,
}

/// A safeguard that is left out, to show that the search would find its lack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Targets take requests of any lane.
    FenceDropped,
    /// Lanes release a shard while work of it is in flight.
    RevokeNotAwaited,
    /// Hosts are declared lost while their leases last.
    LeaseNotAwaited,
    /// A release counts whatever grant it is about.
    StaleReleaseAccepted,
}

/// What a search found.
#[derive(Debug)]
pub struct Outcome {
    /// How many states were expanded.
    pub states: usize,
    /// How many of them had work of the shard at a target other than the first owner.
    pub moved: usize,
    /// The shortest way to a state that breaks an invariant: the steps, in order.
    pub counterexample: Option<Vec<String>>,
}

/// Searches all states within the options, or up to the first that breaks an invariant.
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
        stepper.all()
    };
    let path = bfs::bfs(&start, successors, State::is_broken);
    let steps = |path: Vec<State>| path.into_iter().map(|state| state.label()).collect();
    Outcome {
        states,
        moved,
        counterexample: path.map(steps),
    }
}
