//! Records that wait for the disk, and the effects that depend on them.

use std::collections::VecDeque;
use std::time::Duration;

use yucca_wire::id;

use crate::entry;
use crate::message;
use crate::storage;

/// Interval between attempts to write to a full disk.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An effect that may happen only after all records before it are synced.
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

/// Records passed to the owner and not synced yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Batch {
    sequence: u64,
    records: Vec<storage::Record>,
    /// Version up to which the log is synced once the batch is.
    last: id::Version,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Deferred {
    sequence: u64,
    effect: Effect,
}

/// Buffers records while a sync is in progress, so that many records share the next sync.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Writer {
    sequence: u64,
    buffered: Vec<storage::Record>,
    in_flight: Option<Batch>,
    effects: VecDeque<Deferred>,
    durable: id::Version,
    retry_at: Option<Duration>,
}

/// Records for the owner to write.
pub(crate) struct Write {
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

    /// Returns whether the disk is full.
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

    /// Records that the log now ends at a version.
    pub fn truncate(&mut self, version: id::Version) {
        self.durable = self.durable.min(version);
        if let Some(batch) = &mut self.in_flight {
            batch.last = batch.last.min(version);
        }
    }

    /// Queues an effect behind the records pushed so far. Returns it if no record is left to sync.
    pub fn defer(&mut self, effect: Effect) -> Option<Effect> {
        let sequence = if !self.buffered.is_empty() {
            self.sequence + 1
        } else if let Some(batch) = &self.in_flight {
            batch.sequence
        } else {
            return Some(effect);
        };
        self.effects.push_back(Deferred { sequence, effect });
        None
    }

    /// Returns the records to write next, unless a batch is in flight.
    pub fn next_write(&mut self, last: id::Version) -> Option<Write> {
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
        Some(Write {
            sequence: self.sequence,
            records,
        })
    }

    /// Records a sync and returns the effects that waited for it.
    pub fn synced(&mut self, upto: u64) -> Vec<Effect> {
        let Some(batch) = self.in_flight.take_if(|batch| batch.sequence <= upto) else {
            return Vec::new();
        };
        self.durable = batch.last;
        self.retry_at = None;
        let ready = self
            .effects
            .partition_point(|d| d.sequence <= batch.sequence);
        self.effects.drain(..ready).map(|d| d.effect).collect()
    }

    /// Records that the disk had no space for a batch.
    pub fn mark_full(&mut self, sequence: u64, now: Duration) {
        let current = self.in_flight.as_ref().map(|batch| batch.sequence);
        if current == Some(sequence) {
            self.retry_at = Some(now + FULL_RETRY_INTERVAL);
        }
    }

    /// Returns the batch to retry, if a retry is due.
    pub fn retry(&mut self, now: Duration) -> Option<Write> {
        if self.retry_at.is_none_or(|at| now < at) {
            return None;
        }
        let batch = self.in_flight.as_ref()?;
        self.retry_at = Some(now + FULL_RETRY_INTERVAL);
        Some(Write {
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
