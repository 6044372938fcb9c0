//! Requests that crash the targets that run them.
//!
//! Callers repeat a request that got no answer, at any host, so that one request can crash one
//! target after the other. A host sees few of these crashes. Hosts therefore tell each other which
//! instances ended while they ran which request, and once [`CRASHES`] instances have, all hosts
//! refuse the request for a time.
//!
//! Other requests run on a target when it crashes, and are suspected too. A target that crashes
//! answers nothing, so an answer clears a request.
//!
//! Load pattern: one request that is repeated at random hosts while its targets restart, beside
//! frequent requests that run on the same targets.

use std::fmt;
use std::time;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;
use yucca_own::site::target;

/// Number of instances that a request may crash before it is refused.
pub const CRASHES: usize = 3;

/// Number of crashes from which on all hosts look for an answer that clears a request.
pub const SUSPECT_CRASHES: usize = 2;

/// Maximum number of instances stored for a request.
const MAX_TARGETS: usize = 8;

/// Maximum number of requests in a table. Each needs a crash to get there.
const MAX_RECORDS: usize = 1024;

/// Time after the last crash for which a request is refused. Each further crash doubles it.
const REFUSAL_TIME: time::Duration = time::Duration::from_secs(10 * 60);

/// Time after the last crash for which a request that is not refused is stored.
const SUSPICION_TIME: time::Duration = time::Duration::from_secs(10 * 60);

/// Time after the last crash for which a request that was refused is stored.
const MEMORY_TIME: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Digest of the parts of a request that callers repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Returns the digest of a request.
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128().to_be_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// What one host tells others of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The request.
    pub digest: Digest,
    /// The instances that crashed while they ran it.
    pub targets: Vec<target::Number>,
    /// Time since the last of these crashes.
    pub age: time::Duration,
}

/// Changes that one host tells others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Requests during which instances crashed.
    pub crashes: Vec<Evidence>,
    /// Requests that were answered.
    pub cleared: Vec<Digest>,
}

impl News {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }
}

#[derive(Debug, Clone)]
struct Record {
    targets: Vec<target::Number>,
    last: time::Duration,
}

impl Record {
    /// Returns the time after the last crash for which the request is refused.
    fn refusal_time(&self) -> Option<time::Duration> {
        let further = self.targets.len().checked_sub(CRASHES)?;
        Some(REFUSAL_TIME * (1 << further))
    }

    fn is_current(&self, now: time::Duration) -> bool {
        let time = match self.refusal_time() {
            Some(_) => MEMORY_TIME,
            None => SUSPICION_TIME,
        };
        now < self.last + time
    }
}

/// Requests during which instances crashed.
#[derive(Debug, Clone, Default)]
pub struct Table {
    records: IndexMap<Digest, Record>,
}

impl Table {
    /// Returns whether no request is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests that are refused.
    pub fn refused_count(&self, now: time::Duration) -> usize {
        let digests = self.records.keys();
        digests
            .filter(|digest| self.is_refused(digest, now))
            .count()
    }

    /// Returns whether a request is to be refused.
    pub fn is_refused(&self, digest: &Digest, now: time::Duration) -> bool {
        self.records.get(digest).is_some_and(|record| {
            let time = record.refusal_time();
            time.is_some_and(|time| now < record.last + time)
        })
    }

    /// Adds what another host, or this one, has seen. Returns all that is known of the request if
    /// that is more than before.
    pub fn merge(&mut self, seen: &Evidence, now: time::Duration) -> Option<Evidence> {
        self.records.retain(|_, record| record.is_current(now));
        let last = now.saturating_sub(seen.age);
        if !self.records.contains_key(&seen.digest) {
            self.make_room();
        }
        let record = self.records.entry(seen.digest).or_insert(Record {
            targets: Vec::new(),
            last,
        });
        let before = record.targets.len();
        for target in &seen.targets {
            if record.targets.len() < MAX_TARGETS && !record.targets.contains(target) {
                record.targets.push(*target);
            }
        }
        if record.targets.len() == before {
            return None;
        }
        record.last = record.last.max(last);
        self.evidence(&seen.digest, now)
    }

    /// Forgets a request that was answered. Returns whether it was known.
    pub fn clear(&mut self, digest: &Digest) -> bool {
        self.records.swap_remove(digest).is_some()
    }

    /// Returns all that is known, for a host that may know less.
    pub fn all(&self, now: time::Duration) -> Vec<Evidence> {
        let digests = self.records.keys();
        digests
            .filter_map(|digest| self.evidence(digest, now))
            .collect()
    }

    fn evidence(&self, digest: &Digest, now: time::Duration) -> Option<Evidence> {
        let record = self.records.get(digest)?;
        Some(Evidence {
            digest: *digest,
            targets: record.targets.clone(),
            age: now.saturating_sub(record.last),
        })
    }

    /// Removes the request with the fewest and oldest crashes from a full table.
    fn make_room(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let records = self.records.iter();
        let least = records.min_by_key(|(_, record)| (record.targets.len(), record.last));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.records.swap_remove(&digest);
        }
    }
}
