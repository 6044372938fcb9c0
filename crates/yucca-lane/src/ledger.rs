//! The ledger: what became of non-idempotent requests, by id.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::queue;
use crate::request;

/// How a request stands in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// The standby's leave was asked for; the request may be on its way to the target.
    #[serde(rename = "Leave")]
    Pending,
    /// The target answered with this status.
    Answered(request::Status),
    /// The target may have run it.
    Unknown,
    /// It surely did not run; only told to the standby, never kept.
    Withdrawn,
}

/// A line of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub id: id::Request,
    /// A hash of what it asks for.
    pub fingerprint: u64,
    /// Rises with each entry that the lane writes; an older one never replaces a newer one.
    pub seq: u64,
    /// The shard of its key, where the service is divided by key.
    pub shard: Option<id::Shard>,
    /// How long the request may still run.
    pub remaining: Duration,
    /// How it stands.
    pub state: State,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} seq {} {:?}", self.id, self.seq, self.state)
    }
}

/// A span in which an earlier lane may have sent work whose fate is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gap {
    /// The shard; the whole target where absent.
    pub shard: Option<id::Shard>,
    /// How long it lasts.
    pub remaining: Duration,
}

/// A copy of a ledger, as it passes between lanes and standbys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The entries.
    pub entries: Vec<Entry>,
    /// What the ledger does not know.
    pub gaps: Vec<Gap>,
}

/// A line without its id, which is the map's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Line {
    fingerprint: u64,
    seq: u64,
    shard: Option<id::Shard>,
    state: State,
    /// When it may be forgotten.
    due: Duration,
}

impl Line {
    fn entry(&self, id: id::Request) -> Entry {
        Entry {
            id,
            fingerprint: self.fingerprint,
            seq: self.seq,
            shard: self.shard,
            remaining: Duration::ZERO,
            state: self.state,
        }
    }
}

/// The lines of one lane, bounded in number.
///
/// A line is kept for the whole window after the request can no longer run. Where there is no
/// room, nothing is forgotten: the lane refuses new non-idempotent work.
#[derive(Debug, Clone)]
pub struct Ledger {
    window: Duration,
    capacity: usize,
    lines: IndexMap<id::Request, Line>,
    expiries: queue::Queue,
}

impl Ledger {
    /// Returns an empty ledger that keeps at most `capacity` lines, each for `window`.
    pub fn new(window: Duration, capacity: usize) -> Self {
        Self {
            window,
            capacity,
            lines: IndexMap::new(),
            expiries: queue::Queue::default(),
        }
    }

    /// Returns how many lines it holds.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Tells whether it holds no line.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns how many more lines it may hold.
    pub fn room(&self) -> usize {
        self.capacity.saturating_sub(self.lines.len())
    }

    /// Returns the line of an id.
    pub fn get(&self, id: id::Request) -> Option<Entry> {
        self.lines.get(&id).map(|line| line.entry(id))
    }

    /// Returns the highest sequence number.
    pub fn last_seq(&self) -> u64 {
        let seqs = self.lines.values().map(|line| line.seq);
        seqs.max().unwrap_or_default()
    }

    /// Writes a line unless a newer one stands. A withdrawn line is removed.
    ///
    /// Returns whether the line was written.
    pub fn write(&mut self, entry: &Entry, now: Duration) -> bool {
        let known = self.lines.get(&entry.id).copied();
        if known.is_some_and(|line| supersedes(&line, entry)) {
            return false;
        }
        if entry.state == State::Withdrawn {
            return self.withdraw(entry);
        }
        if let Some(line) = known {
            self.expiries.remove(line.due, line.seq);
        }
        let due = now + entry.remaining + self.window;
        self.lines.insert(
            entry.id,
            Line {
                fingerprint: entry.fingerprint,
                seq: entry.seq,
                shard: entry.shard,
                state: entry.state,
                due,
            },
        );
        self.expiries.insert(queue::Entry {
            due,
            order: entry.seq,
            id: entry.id,
        });
        true
    }

    /// Forgets lines whose window has passed.
    pub fn expire(&mut self, now: Duration) {
        while let Some(expiry) = self.expiries.first().copied() {
            if expiry.due > now {
                return;
            }
            self.expiries.remove(expiry.due, expiry.order);
            self.lines.swap_remove(&expiry.id);
        }
    }

    /// Returns when the next line is forgotten.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|expiry| expiry.due)
    }

    /// Iterates over the lines.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.lines.iter().map(|(id, line)| line.entry(*id))
    }

    fn withdraw(&mut self, entry: &Entry) -> bool {
        let same = self
            .lines
            .get(&entry.id)
            .filter(|line| line.seq == entry.seq);
        let Some(due) = same.map(|line| line.due) else {
            return false;
        };
        self.expiries.remove(due, entry.seq);
        self.lines.swap_remove(&entry.id);
        true
    }
}

/// Tells whether a line stands against a message that came later.
fn supersedes(line: &Line, entry: &Entry) -> bool {
    let newer = line.seq > entry.seq;
    let finished = line.seq == entry.seq && line.state != State::Pending;
    newer || (finished && entry.state == State::Pending)
}
