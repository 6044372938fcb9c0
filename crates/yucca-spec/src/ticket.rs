//! Exhaustive search of tickets: operators race with equal numbers and resend, answers are lost,
//! and the state is restored from snapshots. The real state machine of the global log decides.

use std::hash;

use pathfinding::directed::bfs;
use yucca_own::global;
use yucca_own::ticket;
use yucca_wire::id;

/// The tickets that operators send, again and again and in any order: two numbers, each with two
/// contents.
const TICKETS: [&str; 5] = [
    r#"{"number": 1, "services": {"s": {"prefix": "/s", "deadline": "1s",
        "kind": {"keyed": {"key": {"segment": 0}, "shards": 1}}}}}"#,
    r#"{"number": 2, "pins": {"s": {"k": "a"}}}"#,
    r#"{"number": 2, "pins": {"s": {"k": "b"}}}"#,
    r#"{"number": 3, "pins": {"s": {"k": "c"}}}"#,
    r#"{"number": 3, "pins": {"s": {"k": "d"}}}"#,
];

/// What the search found.
#[derive(Debug)]
pub struct Outcome {
    /// How many states were expanded.
    pub states: usize,
    /// The shortest way to a state that breaks an invariant: the tickets applied, by index.
    pub counterexample: Option<Vec<usize>>,
}

/// A state of the search.
#[derive(Debug, Clone)]
struct Node {
    state: global::State,
    encoded: Vec<u8>,
    version: u64,
    /// The first answer to each ticket, where it was accepted.
    answers: [Option<id::Version>; TICKETS.len()],
    broken: bool,
    /// The ticket applied last; states are compared without it.
    last: usize,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.encoded == other.encoded
            && self.answers == other.answers
            && self.broken == other.broken
    }
}

impl Eq for Node {}

impl hash::Hash for Node {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.encoded.hash(state);
        self.answers.hash(state);
    }
}

/// Searches every order of tickets. Without the check of numbers a ticket counts as a new one each
/// time, which the search must find.
pub fn search(checks_numbers: bool) -> Outcome {
    let tickets: Vec<ticket::Checked> = TICKETS
        .iter()
        .filter_map(|text| ticket::check(text.as_bytes(), ticket::Format::Json).ok())
        .collect();
    let mut states = 0;
    let start = Node {
        state: global::State::default(),
        encoded: Vec::new(),
        version: 0,
        answers: [None; TICKETS.len()],
        broken: false,
        last: 0,
    };
    let successors = |node: &Node| {
        states += 1;
        let after = |(index, ticket)| submit(node, index, ticket, checks_numbers);
        let next: Vec<Node> = tickets.iter().enumerate().map(after).collect();
        next
    };
    let path = bfs::bfs(&start, successors, |node| node.broken);
    let applied = |path: Vec<Node>| path.iter().skip(1).map(|node| node.last).collect();
    Outcome {
        states,
        counterexample: path.map(applied),
    }
}

fn submit(node: &Node, index: usize, ticket: &ticket::Checked, checks_numbers: bool) -> Node {
    let mut next = node.clone();
    next.last = index;
    // Each command meets a state restored from its encoded form.
    if let Ok(restored) = rmp_serde::from_slice(&node.encoded) {
        next.state = restored;
    }
    let mut ticket = ticket.clone();
    if !checks_numbers {
        ticket.number = id::Ticket(ticket.number.0 + 100 * (node.version + 1));
    }
    let submit = global::Command::Submit {
        ticket: Box::new(ticket),
        sender: "search".into(),
    };
    let version = id::Version(node.version + 1);
    let before = next.state.table();
    let reply = next.state.apply(version, &submit);
    let changed = next.state.table() != before;
    next.note(index, &reply, changed);
    if changed {
        next.version = version.0;
    }
    next.encoded = rmp_serde::to_vec(&next.state).unwrap_or_default();
    next
}

impl Node {
    /// Checks the answer: the first one stands for ever, only the first acceptance of a number
    /// changes anything, and a number never stands for two contents.
    fn note(&mut self, index: usize, reply: &global::Reply, changed: bool) {
        match (reply, self.answers[index]) {
            (global::Reply::Accepted { version, .. }, None) => {
                self.broken |= self
                    .rival(index)
                    .is_some_and(|rival| self.answers[rival].is_some());
                self.answers[index] = Some(*version);
            }
            (global::Reply::Accepted { version, .. }, Some(first)) => {
                self.broken |= *version != first || changed;
            }
            (_, first) => self.broken |= first.is_some() || changed,
        }
    }

    /// Returns the other ticket with the same number.
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
