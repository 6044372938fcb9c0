//! Exhaustive search of the acceptance of tickets by the real state machine of the global log.
//! Operators submit different tickets with equal numbers and resend them, answers are lost, and
//! the state is restored from snapshots.

use std::hash;

use pathfinding::directed::bfs;
use yucca_own::global;
use yucca_own::ticket;
use yucca_wire::id;

/// The tickets that operators send repeatedly and in any order. Two of the numbers have two
/// contents each.
const TICKETS: [&str; 5] = [
    r#"{"number": 1, "services": {"s": {"prefix": "/s", "deadline": "1s",
        "kind": {"keyed": {"key": {"segment": 0}, "shards": 1}}}}}"#,
    r#"{"number": 2, "pins": {"s": {"k": "a"}}}"#,
    r#"{"number": 2, "pins": {"s": {"k": "b"}}}"#,
    r#"{"number": 3, "pins": {"s": {"k": "c"}}}"#,
    r#"{"number": 3, "pins": {"s": {"k": "d"}}}"#,
];

/// Result of a search.
#[derive(Debug)]
pub struct Outcome {
    /// Number of states that were expanded.
    pub states: usize,
    /// Shortest path to a violation of an invariant, if there is one: indexes of the submitted
    /// tickets.
    pub counterexample: Option<Vec<usize>>,
}

/// A state of the search.
#[derive(Debug, Clone)]
struct State {
    global: global::State,
    /// The encoded form of `global`.
    encoded: Vec<u8>,
    version: u64,
    /// Version in the first answer to each ticket that was accepted.
    answers: [Option<id::Version>; TICKETS.len()],
    violated: bool,
    /// The ticket that was submitted last; not compared.
    last: usize,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.encoded == other.encoded
            && self.answers == other.answers
            && self.violated == other.violated
    }
}

impl Eq for State {}

impl hash::Hash for State {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.encoded.hash(state);
        self.answers.hash(state);
    }
}

/// Searches every order of tickets. Without `checks_numbers`, each submission gets a new number, so
/// that a resent ticket counts as a new one, which the search must detect.
pub fn search(checks_numbers: bool) -> Outcome {
    let tickets: Vec<ticket::Checked> = TICKETS
        .iter()
        .filter_map(|text| ticket::check(text.as_bytes(), ticket::Format::Json).ok())
        .collect();
    let mut states = 0;
    let start = State {
        global: global::State::default(),
        encoded: Vec::new(),
        version: 0,
        answers: [None; TICKETS.len()],
        violated: false,
        last: 0,
    };
    let successors = |state: &State| {
        states += 1;
        let after = |(index, ticket)| submit(state, index, ticket, checks_numbers);
        let next: Vec<State> = tickets.iter().enumerate().map(after).collect();
        next
    };
    let path = bfs::bfs(&start, successors, |state| state.violated);
    let applied = |path: Vec<State>| path.iter().skip(1).map(|state| state.last).collect();
    Outcome {
        states,
        counterexample: path.map(applied),
    }
}

fn submit(state: &State, index: usize, ticket: &ticket::Checked, checks_numbers: bool) -> State {
    let mut next = state.clone();
    next.last = index;
    // Every command is applied to a state that was restored from its encoded form.
    if let Ok(restored) = rmp_serde::from_slice(&state.encoded) {
        next.global = restored;
    }
    let mut ticket = ticket.clone();
    if !checks_numbers {
        ticket.number = id::Ticket(ticket.number.0 + 100 * (state.version + 1));
    }
    let submit = global::Command::Submit {
        ticket: Box::new(ticket),
        sender: "search".into(),
    };
    let version = id::Version(state.version + 1);
    let before = next.global.table();
    let reply = next.global.apply(version, &submit);
    let changed = next.global.table() != before;
    next.check_reply(index, &reply, changed);
    if changed {
        next.version = version.0;
    }
    next.encoded = rmp_serde::to_vec(&next.global).unwrap_or_default();
    next
}

impl State {
    /// Checks an answer: later answers to a ticket repeat the first one, only the first acceptance
    /// of a number changes the table, and a number is never accepted with two contents.
    fn check_reply(&mut self, index: usize, reply: &global::Reply, changed: bool) {
        match (reply, self.answers[index]) {
            (global::Reply::Accepted { version, .. }, None) => {
                self.violated |= self
                    .rival(index)
                    .is_some_and(|rival| self.answers[rival].is_some());
                self.answers[index] = Some(*version);
            }
            (global::Reply::Accepted { version, .. }, Some(first)) => {
                self.violated |= *version != first || changed;
            }
            (_, first) => self.violated |= first.is_some() || changed,
        }
    }

    /// Returns the index of the other ticket with the same number, if there is one.
    fn rival(&self, index: usize) -> Option<usize> {
        match index {
            1 => Some(2),
            2 => Some(1),
            3 => Some(4),
            4 => Some(3),
            _ => None,
        }
    }
}
