//! The ledger: outcomes of non-idempotent requests, by id.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::queue;
use crate::request;

/// Status of a request in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// A send permit was requested; the request may have been sent to the target.
    #[serde(rename = "Leave")]
    Pending,
    /// The target answered with this status.
    Answered(request::Status),
    /// The target may have run it.
    Unknown,
    /// It is known not to have run. Sent to the standby but never stored.
    Withdrawn,
}

/// An entry of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub id: id::Request,
    /// A hash of the request's content.
    pub fingerprint: u64,
    /// Sequence number, which rises with each entry that the lane writes. An older entry never
    /// replaces a newer one.
    pub seq: u64,
    /// The shard of its key, if the service is divided by key.
    pub shard: Option<id::Shard>,
    /// Time for which the request may still run.
    pub remaining: Duration,
    /// Status of the request.
    pub state: State,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} seq {} {:?}", self.id, self.seq, self.state)
    }
}

/// A gap in a ledger: an earlier lane may have sent requests that the ledger does not contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gap {
    /// The shard, or `None` for the whole target.
    pub shard: Option<id::Shard>,
    /// Time until the gap ends.
    pub remaining: Duration,
}

/// A copy of a ledger, as it is sent between lanes and standbys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The entries.
    pub entries: Vec<Entry>,
    /// The gaps.
    pub gaps: Vec<Gap>,
}

/// An entry without its id, which is the key of the map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    fingerprint: u64,
    seq: u64,
    shard: Option<id::Shard>,
    state: State,
    /// Time at which it is removed.
    due: Duration,
}

impl Record {
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

/// The entries of one lane, limited in number.
///
/// An entry is stored for the whole window after the request can no longer run. A full ledger
/// removes nothing early: the lane refuses new non-idempotent requests.
#[derive(Debug, Clone)]
pub struct Ledger {
    window: Duration,
    capacity: usize,
    records: IndexMap<id::Request, Record>,
    expiries: queue::Queue,
}

impl Ledger {
    /// Creates an empty ledger for at most `capacity` entries, each stored for `window`.
    pub fn new(window: Duration, capacity: usize) -> Self {
        Self {
            window,
            capacity,
            records: IndexMap::new(),
            expiries: queue::Queue::default(),
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of entries that can still be added.
    pub fn room(&self) -> usize {
        self.capacity.saturating_sub(self.records.len())
    }

    /// Returns the entry of an id.
    pub fn get(&self, id: id::Request) -> Option<Entry> {
        self.records.get(&id).map(|record| record.entry(id))
    }

    /// Returns the highest sequence number.
    pub fn last_seq(&self) -> u64 {
        let seqs = self.records.values().map(|record| record.seq);
        seqs.max().unwrap_or_default()
    }

    /// Writes an entry unless a newer one of the same id exists. A withdrawn entry is removed.
    ///
    /// Returns whether the ledger was changed.
    pub fn write(&mut self, entry: &Entry, now: Duration) -> bool {
        let known = self.records.get(&entry.id).copied();
        if known.is_some_and(|record| supersedes(&record, entry)) {
            return false;
        }
        if entry.state == State::Withdrawn {
            return self.withdraw(entry);
        }
        if let Some(record) = known {
            self.expiries.remove(record.due, record.seq);
        }
        let due = now + entry.remaining + self.window;
        self.records.insert(
            entry.id,
            Record {
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

    /// Removes entries whose window has passed.
    pub fn expire(&mut self, now: Duration) {
        while let Some(expiry) = self.expiries.first().copied() {
            if expiry.due > now {
                return;
            }
            self.expiries.remove(expiry.due, expiry.order);
            self.records.swap_remove(&expiry.id);
        }
    }

    /// Returns the time at which the next entry is removed.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|expiry| expiry.due)
    }

    /// Returns an iterator over the entries.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.records.iter().map(|(id, record)| record.entry(*id))
    }

    fn withdraw(&mut self, entry: &Entry) -> bool {
        let same = self
            .records
            .get(&entry.id)
            .filter(|record| record.seq == entry.seq);
        let Some(due) = same.map(|record| record.due) else {
            return false;
        };
        self.expiries.remove(due, entry.seq);
        self.records.swap_remove(&entry.id);
        true
    }
}

/// Returns whether a stored record takes precedence over an entry that arrived after it.
fn supersedes(record: &Record, entry: &Entry) -> bool {
    let newer = record.seq > entry.seq;
    let finished = record.seq == entry.seq && record.state != State::Pending;
    newer || (finished && entry.state == State::Pending)
}
