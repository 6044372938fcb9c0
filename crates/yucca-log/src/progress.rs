//! Replication progress of a member, as tracked by the leader.

use std::time::Duration;

use yucca_wire::id;

use crate::entry;
use crate::message;

/// Maximum number of unanswered appends to a member.
const MAX_INFLIGHT_APPENDS: u32 = 4;

/// Replication progress of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Version up to which the member's synced log is known to match the leader's.
    pub matched: id::Version,
    /// Version of the next entry to send.
    pub next: id::Version,
    /// Newest commit version sent.
    pub commit_sent: id::Version,
    /// Newest heartbeat round answered.
    pub round: u64,
    /// Time at which the newest answered round was sent, since process start; before any reply,
    /// the time at which the leader started to track the member.
    pub last_contact: Duration,
    /// Whether the member has replied in this term.
    pub answered: bool,
    /// Whether the leader is searching for the point up to which the logs match. It then sends one
    /// append at a time.
    pub probing: bool,
    /// Number of unanswered appends.
    pub inflight: u32,
    /// The snapshot that is being sent, if any.
    pub outgoing: Option<Outgoing>,
}

/// A snapshot that is being sent to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Outgoing {
    pub snapshot: entry::Snapshot,
    /// Number of bytes that the member has received.
    pub held: u64,
    /// Time at which to send the chunk again, since process start.
    pub retry_at: Duration,
}

impl Progress {
    pub fn new(last: id::Version, now: Duration) -> Self {
        Self {
            matched: id::Version(0),
            next: entry::after(last),
            commit_sent: id::Version(0),
            round: 0,
            last_contact: now,
            answered: false,
            probing: false,
            inflight: 0,
            outgoing: None,
        }
    }

    pub fn previous(&self) -> id::Version {
        id::Version(self.next.0.saturating_sub(1))
    }

    pub fn accept(&mut self, matched: id::Version) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(entry::after(matched));
        self.inflight = self.inflight.saturating_sub(1);
        self.probing = false;
        if self.matched == self.previous() {
            self.inflight = 0;
        }
        let arrived = self.outgoing.as_ref().map(|o| o.snapshot.position.version);
        if arrived.is_some_and(|version| version <= self.matched) {
            self.outgoing = None;
        }
    }

    pub fn reject(&mut self, mismatch: message::Mismatch, last: id::Version) {
        let stale = mismatch.previous <= self.matched;
        let answered = self.probing && mismatch.previous != self.previous();
        if stale || answered {
            return;
        }
        self.probing = true;
        let retry_after = mismatch.retry_after.min(last).max(self.matched);
        self.next = entry::after(retry_after);
        self.inflight = 0;
    }

    /// Records that an append with this number of entries was sent.
    pub fn record_sent(&mut self, count: u64) {
        if count == 0 {
            return;
        }
        self.inflight += 1;
        if !self.probing {
            self.next = id::Version(self.next.0.saturating_add(count));
        }
    }

    pub fn has_room(&self) -> bool {
        let window = if self.probing {
            1
        } else {
            MAX_INFLIGHT_APPENDS
        };
        self.inflight < window
    }
}
