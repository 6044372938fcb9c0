//! Exhaustive search of send permits: one non-idempotent request, its lane, the standby that takes
//! over, and the target.
//!
//! The lane and the standby are the product's own step functions. The network is an unordered
//! collection of messages: any of them may be delivered next, or never, and a few of them twice.
//! So loss, reordering, a crash, and a pause with a later return need no steps of their own. A
//! process that pauses between its decision and its send is modelled by a late delivery.

use std::fmt;
use std::hash;
use std::time::Duration;

use pathfinding::prelude;
use yucca_lane::lane;
use yucca_lane::request;
use yucca_lane::standby;
use yucca_wire::id;

use config::{config, host, token};
use message::{Message, Side};

mod config;
mod event;
mod message;
mod step;

/// The only request.
const ID: id::Request = id::Request(1);

/// Window of the ledgers; no time passes in the model.
const WINDOW: Duration = Duration::from_secs(600);

/// Deadline of every arrival.
const DEADLINE: Duration = Duration::from_secs(60);

/// Time of every step.
const NOW: Duration = Duration::ZERO;

/// Maximum number of events of each kind in one history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Arrivals of the request at the lane, from several entry hosts.
    pub arrivals: u8,
    /// Arrivals at the lane that takes over.
    pub arrivals_after: u8,
    /// Messages to and from the standby that are delivered twice.
    pub duplicates: u8,
    /// Callers that cancel their request.
    pub cancels: u8,
    /// Attempts whose connection to the target breaks.
    pub breaks: u8,
    /// Requests that the target refuses before running them.
    pub refusals: u8,
    /// Restarts of the standby, which lose its state.
    pub restarts: u8,
    /// Permit requests that are reported as undelivered although they may still arrive.
    pub unreachable: u8,
}

impl Budget {
    /// Returns the budget for histories in which the standby restarts.
    pub fn with_restart() -> Self {
        Self {
            arrivals: 2,
            arrivals_after: 1,
            duplicates: 1,
            cancels: 0,
            breaks: 0,
            refusals: 0,
            restarts: 1,
            unreachable: 0,
        }
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            arrivals: 2,
            arrivals_after: 1,
            duplicates: 1,
            cancels: 1,
            breaks: 1,
            refusals: 1,
            restarts: 0,
            unreachable: 1,
        }
    }
}

/// A fault built into the protocol, to show that the search detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// No fault.
    None,
    /// The lane sends without waiting for a permit.
    PermitSkipped,
    /// The standby grants permits after it has taken over.
    PermitAfterTakeover,
    /// The lane that takes over sends requests again for which the old lane had a permit.
    PendingResent,
    /// A request whose connection broke after it was sent counts as not run.
    LostCountsAsNotRun,
    /// A permit for an earlier permit request counts for the latest one.
    StalePermit,
    /// A restarted standby accepts messages that were sent to it before its restart.
    MessageAcrossRestart,
}

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// The request ran twice.
    RanTwice,
    /// A caller received "not run" although its request ran.
    NotRunRan,
    /// The standby granted a permit after it had taken over.
    PermitAfterTakeover,
    /// A caller received the answer to a request that had not run.
    AnswerWithoutRun,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RanTwice => "the request ran twice",
            Self::NotRunRan => "a caller received not-run although its request ran",
            Self::PermitAfterTakeover => "a permit was granted after the takeover",
            Self::AnswerWithoutRun => "an answer was replayed although no request had run",
        })
    }
}

/// A state of the search.
///
/// The lanes contain maps that cannot be hashed, so states are compared by the debug text of their
/// fields. Messages are sorted first: the order in which they were sent makes no difference.
#[derive(Clone)]
pub struct State {
    mutant: Mutant,
    budget: Budget,
    /// The lane before the takeover.
    old: lane::Lane,
    /// The lane that takes over.
    new: Option<lane::Lane>,
    standby: standby::Standby,
    /// Number of restarts of the standby.
    incarnation: u8,
    network: Vec<Message>,
    /// Number of times that the request ran.
    runs: u8,
    /// Number of callers so far.
    callers: u64,
    /// Callers whose requests ran.
    ran: Vec<request::Caller>,
    /// Callers that received the answer that their request did not run.
    not_run: Vec<request::Caller>,
    /// Sequence number of the old lane's latest permit request.
    latest_seq: u64,
    violation: Option<Violation>,
    /// Debug text of the other fields, by which states are compared.
    text: String,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for State {}

impl hash::Hash for State {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let runs = self.runs;
        write!(f, "runs {runs}, taken over {}", self.new.is_some())?;
        write!(f, ", not-run {:?}, in flight:", self.not_run)?;
        for message in &self.network {
            write!(f, "\n    {message:?}")?;
        }
        Ok(())
    }
}

impl State {
    /// Returns the initial state, in which the standby has a complete copy of the empty ledger, or
    /// `None` if the configuration of the lane is invalid.
    pub fn new(mutant: Mutant, budget: Budget) -> Option<Self> {
        let mut state = Self {
            mutant,
            budget,
            old: lane::Lane::new(config(token(1), host())?, NOW),
            new: None,
            standby: standby::Standby::new(WINDOW, 4),
            incarnation: 0,
            network: Vec::new(),
            runs: 0,
            callers: 0,
            ran: Vec::new(),
            not_run: Vec::new(),
            latest_seq: 0,
            violation: None,
            text: String::new(),
        };
        state.step_lane(Side::Old, lane::Input::Tick);
        let copy = state.network.clone();
        while let Some(message) = state.network.pop() {
            state.deliver(message);
        }
        if budget.restarts > 0 {
            // The first copy of the ledger may arrive a second time.
            state.network = copy;
        }
        state.normalize();
        Some(state)
    }

    /// Returns the violation on the path to this state, if any.
    pub fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Returns every state that one step leads to; none after a violation.
    pub fn successors(&self) -> Vec<Self> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = self.deliveries();
        next.extend(self.events());
        next.iter_mut().for_each(Self::normalize);
        next
    }

    /// Sorts the messages and callers and updates the debug text.
    fn normalize(&mut self) {
        self.network.sort_by_cached_key(|one| format!("{one:?}"));
        self.ran.sort();
        self.not_run.sort();
        self.text = format!(
            "{:?} {:?} {:?} {:?} {} {:?} {} {} {:?} {:?} {} {:?}",
            self.budget,
            self.old,
            self.new,
            self.standby,
            self.incarnation,
            self.network,
            self.runs,
            self.callers,
            self.ran,
            self.not_run,
            self.latest_seq,
            self.violation,
        );
    }
}

/// Result of a search.
#[derive(Debug)]
pub struct Outcome {
    /// Number of states that were expanded: all reachable ones if no violation was found.
    pub states: usize,
    /// Shortest path to a violation, if there is one.
    pub counterexample: Option<Vec<State>>,
}

/// Searches every history within the budget, or up to the first violation.
pub fn search(start: &State) -> Outcome {
    let mut states = 0;
    let successors = |state: &State| {
        states += 1;
        state.successors()
    };
    let violated = |state: &State| state.violation().is_some();
    let counterexample = prelude::bfs(start, successors, violated);
    Outcome {
        states,
        counterexample,
    }
}
