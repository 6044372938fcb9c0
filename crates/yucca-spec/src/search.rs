//! Exhaustive breadth-first search of a model, with the shortest path to a violation.

use std::cell;
use std::fmt;
use std::hash;

use pathfinding::directed::bfs;

/// A model: its states, the steps between them, and the invariants.
pub trait Model {
    /// A state; equal states are visited once.
    type State: Clone + Eq + hash::Hash;

    /// Returns the initial states.
    fn initial_states(&self) -> Vec<Self::State>;

    /// Returns every state that one step from this one leads to.
    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns the invariant that the state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;

    /// Returns a description of the step that led to the state.
    fn label(&self, state: &Self::State) -> String;
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Number of states whose successors were all generated.
    pub states: usize,
    /// Number of steps taken, including those to states that were already known.
    pub steps: usize,
    /// Shortest path to a violation, if there is one.
    pub counterexample: Option<Counterexample>,
}

/// A path to a violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// The violated invariant.
    pub violation: String,
    /// Descriptions of the steps, beginning with the initial state.
    pub steps: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.violation)?;
        for step in &self.steps {
            writeln!(f, "  {step}")?;
        }
        Ok(())
    }
}

/// Searches all reachable states of a model, or up to the first violation.
pub fn run<M: Model>(model: &M) -> Outcome {
    let states = cell::Cell::new(0);
    let steps = cell::Cell::new(0);
    // `bfs` starts from a single node: `None` precedes all initial states.
    let successors = |state: &Option<M::State>| {
        let next = match state {
            None => model.initial_states(),
            Some(state) => model.successors(state),
        };
        states.set(states.get() + 1);
        steps.set(steps.get() + next.len());
        next.into_iter().map(Some)
    };
    let violated = |state: &Option<M::State>| {
        state
            .as_ref()
            .is_some_and(|state| model.violation(state).is_some())
    };
    let path = bfs::bfs(&None, successors, violated);
    Outcome {
        states: states.get() - 1,
        steps: steps.get(),
        counterexample: path.and_then(|path| explain(model, &path)),
    }
}

fn explain<M: Model>(model: &M, path: &[Option<M::State>]) -> Option<Counterexample> {
    let last = path.last()?.as_ref()?;
    let steps = path.iter().flatten().map(|state| model.label(state));
    Some(Counterexample {
        violation: model.violation(last)?,
        steps: steps.collect(),
    })
}
