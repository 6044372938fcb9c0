//! Leave to send: one non-idempotent request, its lane, the standby that takes over, the target.
//!
//! The lane and the standby are the product's own step functions. The network is a bag of
//! messages: any of them may be delivered next, a few of them twice, or never, so that loss,
//! reordering, a crash and a pause with a later return need no steps of their own. A process that
//! is paused between its decision and its send is a send that is delivered late.

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

/// The one request.
const ID: id::Request = id::Request(1);

/// The window of the ledgers; no time passes in the model.
const WINDOW: Duration = Duration::from_secs(600);

/// The deadline of every arrival.
const DEADLINE: Duration = Duration::from_secs(60);

/// The one moment at which everything happens.
const NOW: Duration = Duration::ZERO;

/// How often each kind of trouble may come in one history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Arrivals of the request at the lane, from several entry hosts.
    pub arrivals: u8,
    /// Arrivals at the lane that takes over.
    pub arrivals_after: u8,
    /// Messages to and from the standby that are delivered twice.
    pub duplicates: u8,
    /// Callers that hang up.
    pub cancels: u8,
    /// Exchanges with the target whose connection breaks.
    pub breaks: u8,
    /// Requests that the target refuses before running them.
    pub refusals: u8,
    /// Restarts of the standby, which forgets everything.
    pub restarts: u8,
    /// Questions to the standby that are reported as undelivered although they may still arrive.
    pub unreachable: u8,
}

impl Budget {
    /// Returns the budget of histories in which the standby restarts.
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

/// A fault built into the protocol, to show that the search finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// None.
    None,
    /// The lane sends without waiting for leave.
    PermitSkipped,
    /// The standby gives leave after it took over.
    PermitAfterTakeover,
    /// The lane that takes over runs what the old lane had leave for.
    PendingResent,
    /// A request whose connection broke after it was sent counts as not run.
    LostCountsAsNotRun,
    /// Leave for an earlier question counts for the present one.
    StalePermit,
    /// A restarted standby takes in messages that were sent to it before its restart.
    MessageAcrossRestart,
}

/// What went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// The request ran twice.
    RanTwice,
    /// A caller was told "not run" and its request ran.
    NotRunRan,
    /// The standby gave leave after it had taken over.
    PermitAfterTakeover,
    /// A caller was given the answer of a request that never ran.
    AnswerWithoutRun,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RanTwice => "the request ran twice",
            Self::NotRunRan => "a caller was told not-run and its request ran",
            Self::PermitAfterTakeover => "leave was given after the takeover",
            Self::AnswerWithoutRun => "an answer was replayed and nothing had run",
        })
    }
}

/// A state of the whole.
///
/// The lanes hold maps that have no hash; two states are the same where all their fields print
/// the same, in whatever order the messages were sent.
#[derive(Clone)]
pub struct State {
    mutant: Mutant,
    budget: Budget,
    old: lane::Lane,
    new: Option<lane::Lane>,
    standby: standby::Standby,
    /// How often the standby restarted.
    incarnation: u8,
    network: Vec<Message>,
    runs: u8,
    callers: u64,
    /// The callers whose requests ran.
    ran: Vec<request::Caller>,
    /// The callers that were told that their request did not run.
    not_run: Vec<request::Caller>,
    /// The sequence number of the old lane's latest question.
    asked: u64,
    violation: Option<Violation>,
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
        write!(f, ", not-run {:?}, on the way:", self.not_run)?;
        for message in &self.network {
            write!(f, "\n    {message:?}")?;
        }
        Ok(())
    }
}

impl State {
    /// Returns the first state: the standby has a whole copy of the empty ledger.
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
            asked: 0,
            violation: None,
            text: String::new(),
        };
        state.step_lane(Side::Old, lane::Input::Tick);
        let copy = state.network.clone();
        while let Some(message) = state.network.pop() {
            state.deliver(message);
        }
        if budget.restarts > 0 {
            // The first copy of the ledger may arrive once more.
            state.network = copy;
        }
        state.seal();
        Some(state)
    }

    /// Returns what went wrong on the way to this state.
    pub fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Returns every state that may come next; none after a violation.
    pub fn successors(&self) -> Vec<Self> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = self.deliveries();
        next.extend(self.troubles());
        next.iter_mut().for_each(Self::seal);
        next
    }

    fn seal(&mut self) {
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
            self.asked,
            self.violation,
        );
    }
}

/// What a search found.
#[derive(Debug)]
pub struct Outcome {
    /// How many states were looked at: all that can be reached, where no violation was found.
    pub states: usize,
    /// The shortest way to a violation.
    pub counterexample: Option<Vec<State>>,
}

/// Searches every history that the budget allows, until it finds a violation.
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
