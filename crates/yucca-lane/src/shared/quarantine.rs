//! Requests that crash the targets that run them.
//!
//! Callers repeat a request that got no answer, at any host, so that one request can crash one
//! target after the other. A host sees few of these crashes. Hosts therefore tell each other which
//! instances ended while they ran which request, and once it was sent again and crashed a target
//! [`CRASHES`] times in a row, all hosts refuse the request for a time.
//!
//! Other requests run on a target when it crashes, and are suspected too. A target that crashes
//! answers nothing, so an answer clears a request. A request that nobody sends gets no answer, so the
//! leader lets one host send it once after [`TRIAL_DELAY`].
//!
//! Load pattern: one request that is repeated at random hosts while its targets restart, beside
//! frequent requests that run on the same targets, and targets that crash together while many copies
//! of a healthy request run on them.

use std::fmt;
use std::time;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;
use yucca_own::site::target;

/// Number of crashes in a row after which a request is refused. They are in a row if the request was
/// sent to the target of each one after the one before: targets that ran copies of the same request
/// and end together may have ended by anything else that they share.
pub const CRASHES: usize = 3;

/// Number of crashes in a row from which on all hosts look for an answer that clears a request.
pub const SUSPECT_CRASHES: usize = 2;

/// Maximum number of crashes stored for a request.
const MAX_CRASHES: usize = 8;

/// Time after the last crash, and after each trial, until the leader lets a host send a refused request
/// once. Each trial without an answer doubles it. If the request does crash targets, it crashes one
/// more, so this must be long compared with the time that a target takes to come back.
pub const TRIAL_DELAY: time::Duration = time::Duration::from_secs(3 * 60);

/// Maximum number of requests in a table. Each needs a crash to get there.
const MAX_RECORDS: usize = 1024;

/// Time after the last crash for which a request is refused. Each further crash doubles it.
const REFUSAL_TIME: time::Duration = time::Duration::from_secs(10 * 60);

/// Time after the last crash for which a request that is not refused is stored.
const SUSPICION_TIME: time::Duration = time::Duration::from_secs(10 * 60);

/// Time after the last crash for which a request that was refused is stored.
const MEMORY_TIME: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Added to the times of a host's clock, which starts with its process, so that earlier times can be
/// told from each other.
const ORIGIN: time::Duration = MEMORY_TIME.saturating_mul(2);

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

/// What one host tells others of a request: instances that crashed while they ran it, and when that
/// was. A crash whose start is known, which is the time at which the request was sent to the instance,
/// is told in two parts, one with each time. A host of an older build takes the later part for a
/// repetition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The request.
    pub digest: Digest,
    /// The instances.
    pub targets: Vec<target::Number>,
    /// Time since then.
    pub age: time::Duration,
}

impl Evidence {
    /// Returns the evidence of one crash: the times since the request was sent to the instance, and
    /// since the instance ended.
    pub fn crash(
        digest: Digest,
        target: target::Number,
        sent: time::Duration,
        ended: time::Duration,
    ) -> [Self; 2] {
        [ended, sent].map(|age| Self {
            digest,
            targets: vec![target],
            age,
        })
    }
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

/// Crash of an instance that ran a request.
#[derive(Debug, Clone, Copy)]
struct Crash {
    /// When the request was first sent to the instance, if that is known, or else its end.
    sent: time::Duration,
    /// When the instance ended.
    ended: time::Duration,
}

impl Crash {
    fn at(time: time::Duration) -> Self {
        Self {
            sent: time,
            ended: time,
        }
    }

    /// Returns the time from the first to the last of several parts of the evidence.
    fn span(self, other: Self) -> Self {
        Self {
            sent: self.sent.min(other.sent),
            ended: self.ended.max(other.ended),
        }
    }

    /// Adds what another host says of the same crash. Returns whether the start was not known before.
    fn update(&mut self, other: &Self) -> bool {
        let more = self.sent == self.ended && other.sent < self.sent;
        self.sent = self.sent.min(other.sent);
        more
    }
}

#[derive(Debug, Clone, Default)]
struct Record {
    crashes: IndexMap<target::Number, Crash>,
    /// End of the last crash.
    last: time::Duration,
    /// Number of trials since then, and the time of the last one.
    trials: u32,
    tried: time::Duration,
}

impl Record {
    /// Returns the instances of the most crashes in a row: each was sent the request after the one
    /// before had ended.
    fn row(&self) -> Vec<target::Number> {
        let mut crashes: Vec<(&target::Number, &Crash)> = self.crashes.iter().collect();
        crashes.sort_by_key(|(_, crash)| (crash.ended, crash.sent));
        let mut row = Vec::new();
        let mut last = time::Duration::ZERO;
        for (number, crash) in crashes {
            if row.is_empty() || crash.sent >= last {
                row.push(*number);
                last = crash.ended;
            }
        }
        row
    }

    /// Adds a crash. Returns whether that is more than before. Beyond [`MAX_CRASHES`], only crashes
    /// that make the row longer are stored, in place of others.
    fn add(&mut self, target: target::Number, crash: Crash) -> bool {
        if let Some(known) = self.crashes.get_mut(&target) {
            return known.update(&crash);
        }
        let before = self.row().len();
        self.crashes.insert(target, crash);
        if self.crashes.len() > MAX_CRASHES {
            let row = self.row();
            let mut numbers = self.crashes.keys().copied();
            let spare = numbers.find(|number| !row.contains(number));
            let dropped = spare.filter(|_| row.len() > before).unwrap_or(target);
            self.crashes.swap_remove(&dropped);
        }
        let stored = self.crashes.contains_key(&target);
        if stored {
            self.last = self.last.max(crash.ended);
        }
        stored
    }

    /// Returns the time after the last crash for which the request is refused.
    fn refusal_time(&self) -> Option<time::Duration> {
        let further = self.row().len().checked_sub(CRASHES)?;
        Some(REFUSAL_TIME * (1 << further))
    }

    fn is_refused(&self, now: time::Duration) -> bool {
        let time = self.refusal_time();
        time.is_some_and(|time| now < self.last + time)
    }

    /// Returns whether one host may send the request once, although it is refused.
    fn is_trial_due(&self, now: time::Duration) -> bool {
        let delay = TRIAL_DELAY.saturating_mul(1u32.checked_shl(self.trials).unwrap_or(u32::MAX));
        self.row().len() == CRASHES && now >= self.last.max(self.tried).saturating_add(delay)
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
        let record = self.records.get(digest);
        record.is_some_and(|record| record.is_refused(ORIGIN + now))
    }

    /// Returns whether one host may send a refused request once, see [`TRIAL_DELAY`].
    pub fn is_trial_due(&self, digest: &Digest, now: time::Duration) -> bool {
        let now = ORIGIN + now;
        let record = self.records.get(digest);
        record.is_some_and(|record| record.is_refused(now) && record.is_trial_due(now))
    }

    /// Records that a host is let to send a refused request once. Returns false if that is not due.
    pub fn start_trial(&mut self, digest: &Digest, now: time::Duration) -> bool {
        if !self.is_trial_due(digest, now) {
            return false;
        }
        if let Some(record) = self.records.get_mut(digest) {
            record.trials += 1;
            record.tried = ORIGIN + now;
        }
        true
    }

    /// Adds what another host, or this one, has seen. Returns all that is known of the request if
    /// that is more than before.
    pub fn merge(&mut self, seen: &Evidence, now: time::Duration) -> Option<Vec<Evidence>> {
        let mut more = self.merge_all(std::slice::from_ref(seen), now);
        more.swap_remove(&seen.digest)
    }

    /// Adds all that another host, or this one, has told. Returns all that is known of each request
    /// of which that is more than before.
    pub fn merge_all(
        &mut self,
        seen: &[Evidence],
        now: time::Duration,
    ) -> IndexMap<Digest, Vec<Evidence>> {
        self.records
            .retain(|_, record| record.is_current(ORIGIN + now));
        let mut crashes: IndexMap<(Digest, target::Number), Crash> = IndexMap::new();
        for part in seen {
            let part_of = Crash::at((ORIGIN + now).saturating_sub(part.age));
            for target in &part.targets {
                let crash = crashes.entry((part.digest, *target)).or_insert(part_of);
                *crash = crash.span(part_of);
            }
        }
        let mut more = IndexSet::new();
        for ((digest, target), crash) in crashes {
            if !self.records.contains_key(&digest) {
                self.make_room();
            }
            if self.records.entry(digest).or_default().add(target, crash) {
                more.insert(digest);
            }
        }
        let known = more.into_iter();
        known
            .map(|digest| (digest, self.evidence(&digest, now)))
            .collect()
    }

    /// Returns whether a request has crashed so many targets in a row that all hosts have to know of
    /// it, to refuse it or to report an answer.
    pub fn concerns_all(&self, digest: &Digest) -> bool {
        let record = self.records.get(digest);
        record.is_some_and(|record| record.row().len() >= SUSPECT_CRASHES)
    }

    /// Returns the instances that a request has crashed in a row.
    pub fn crashed(&self, digest: &Digest) -> Vec<target::Number> {
        let record = self.records.get(digest);
        record.map(Record::row).unwrap_or_default()
    }

    /// Forgets a request that was answered. Returns whether it was known.
    pub fn clear(&mut self, digest: &Digest) -> bool {
        self.records.swap_remove(digest).is_some()
    }

    /// Returns all that is known, for a host that may know less.
    pub fn all(&self, now: time::Duration) -> Vec<Evidence> {
        let digests = self.records.keys();
        digests
            .flat_map(|digest| self.evidence(digest, now))
            .collect()
    }

    /// Returns the evidence of a request: the ends of its crashes, then their starts. Crashes of the
    /// same time are told together.
    fn evidence(&self, digest: &Digest, now: time::Duration) -> Vec<Evidence> {
        let crashes = self.records.get(digest).map(|record| &record.crashes);
        let mut ends: IndexMap<time::Duration, Vec<target::Number>> = IndexMap::new();
        let mut starts = ends.clone();
        for (number, crash) in crashes.into_iter().flatten() {
            ends.entry(crash.ended).or_default().push(*number);
            if crash.sent != crash.ended {
                starts.entry(crash.sent).or_default().push(*number);
            }
        }
        let parts = ends.into_iter().chain(starts);
        let parts = parts.map(|(at, targets)| Evidence {
            digest: *digest,
            targets,
            age: (ORIGIN + now).saturating_sub(at),
        });
        parts.collect()
    }

    /// Removes the request with the fewest and oldest crashes from a full table.
    fn make_room(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let records = self.records.iter();
        let least = records.min_by_key(|(_, record)| (record.row().len(), record.last));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.records.swap_remove(&digest);
        }
    }
}
