//! Exhaustive breadth-first search of a model, with the shortest path to a violation.

use std::cell;
use std::fmt;
use std::hash;

use pathfinding::directed::bfs;

/// A model: states, the steps between them, and what must hold in each.
pub trait Model {
    /// A state; equal states are visited once.
    type State: Clone + Eq + hash::Hash;

    /// Returns the states to start from.
    fn initial_states(&self) -> Vec<Self::State>;

    /// Returns all states that one step leads to.
    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns what the state violates, if anything.
    fn violation(&self, state: &Self::State) -> Option<String>;

    /// Returns the step that led to the state, for the reader.
    fn label(&self, state: &Self::State) -> String;
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The number of states whose steps were all taken.
    pub states: usize,
    /// The number of steps taken, those to known states included.
    pub steps: usize,
    /// The shortest way to a violation.
    pub counterexample: Option<Counterexample>,
}

/// The steps to a violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// What is violated.
    pub violation: String,
    /// The steps.
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

/// Searches a model to its end, or to the first violation.
pub fn run<M: Model>(model: &M) -> Outcome {
    let states = cell::Cell::new(0);
    let steps = cell::Cell::new(0);
    // The search starts from one node; `None` stands before all starts.
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
