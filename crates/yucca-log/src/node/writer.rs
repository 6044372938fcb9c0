//! What waits for the disk: records to keep and the effects that depend on them.

use std::collections::VecDeque;
use std::time::Duration;

use yucca_wire::id;

use crate::entry;
use crate::message;
use crate::storage;

/// How long a full disk is left alone before the records are tried again.
const FULL_RETRY: Duration = Duration::from_millis(500);

/// Something that may happen only after all records before it are synced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Sends a message.
    Send {
        to: id::Host,
        message: message::Message,
    },
    /// Counts the replica's vote for itself.
    OwnVote(entry::Term),
}

/// Records handed to the owner and not synced yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Batch {
    sequence: u64,
    records: Vec<storage::Record>,
    /// The log is synced up to here once the batch is.
    last: id::Version,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Gated {
    sequence: u64,
    effect: Effect,
}

/// Gathers records while a sync is under way, so that many share the next one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Writer {
    sequence: u64,
    buffered: Vec<storage::Record>,
    in_flight: Option<Batch>,
    effects: VecDeque<Gated>,
    durable: id::Version,
    retry_at: Option<Duration>,
}

/// Records for the owner to keep.
pub(crate) struct Work {
    pub sequence: u64,
    pub records: Vec<storage::Record>,
}

impl Writer {
    pub fn new(durable: id::Version) -> Self {
        Self {
            sequence: 0,
            buffered: Vec::new(),
            in_flight: None,
            effects: VecDeque::new(),
            durable,
            retry_at: None,
        }
    }

    /// Returns the version up to which the log is synced.
    pub fn durable(&self) -> id::Version {
        self.durable
    }

    /// Tells whether the disk is full.
    pub fn is_full(&self) -> bool {
        self.retry_at.is_some()
    }

    pub fn retry_at(&self) -> Option<Duration> {
        self.retry_at
    }

    pub fn push(&mut self, record: storage::Record) {
        if let storage::Record::Append(entries) = &record
            && let Some(storage::Record::Append(last)) = self.buffered.last_mut()
            && follows(last, entries)
        {
            last.extend(entries.iter().cloned());
            return;
        }
        self.buffered.push(record);
    }

    /// Notes that the log now ends at a version.
    pub fn truncate(&mut self, version: id::Version) {
        self.durable = self.durable.min(version);
        if let Some(batch) = &mut self.in_flight {
            batch.last = batch.last.min(version);
        }
    }

    /// Queues an effect behind the records pushed so far; returns it where none is left to sync.
    pub fn gate(&mut self, effect: Effect) -> Option<Effect> {
        let sequence = if !self.buffered.is_empty() {
            self.sequence + 1
        } else if let Some(batch) = &self.in_flight {
            batch.sequence
        } else {
            return Some(effect);
        };
        self.effects.push_back(Gated { sequence, effect });
        None
    }

    /// Returns the records to keep next, unless a batch is under way.
    pub fn take(&mut self, last: id::Version) -> Option<Work> {
        if self.in_flight.is_some() || self.buffered.is_empty() {
            return None;
        }
        self.sequence += 1;
        let records = std::mem::take(&mut self.buffered);
        self.in_flight = Some(Batch {
            sequence: self.sequence,
            records: records.clone(),
            last,
        });
        Some(Work {
            sequence: self.sequence,
            records,
        })
    }

    /// Notes a sync and returns the effects that it lets happen.
    pub fn synced(&mut self, upto: u64) -> Vec<Effect> {
        let Some(batch) = self.in_flight.take_if(|batch| batch.sequence <= upto) else {
            return Vec::new();
        };
        self.durable = batch.last;
        self.retry_at = None;
        let free = self
            .effects
            .partition_point(|g| g.sequence <= batch.sequence);
        self.effects.drain(..free).map(|g| g.effect).collect()
    }

    /// Notes that there was no room for a batch.
    pub fn full(&mut self, sequence: u64, now: Duration) {
        let current = self.in_flight.as_ref().map(|batch| batch.sequence);
        if current == Some(sequence) {
            self.retry_at = Some(now + FULL_RETRY);
        }
    }

    /// Returns the batch to try again, once it is due.
    pub fn retry(&mut self, now: Duration) -> Option<Work> {
        if self.retry_at.is_none_or(|at| now < at) {
            return None;
        }
        let batch = self.in_flight.as_ref()?;
        self.retry_at = Some(now + FULL_RETRY);
        Some(Work {
            sequence: batch.sequence,
            records: batch.records.clone(),
        })
    }
}

fn follows(before: &[entry::Entry], after: &[entry::Entry]) -> bool {
    match (before.last(), after.first()) {
        (Some(last), Some(first)) => entry::after(last.version()) == first.version(),
        _ => false,
    }
}
