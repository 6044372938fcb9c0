//! What a leader knows of another member.

use std::time::Duration;

use yucca_wire::id;

use crate::entry;
use crate::message;

/// The most appends sent to a member and not answered.
const WINDOW: u32 = 4;

/// How far a member's log is known to agree with the leader's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The member's synced log is the leader's up to here.
    pub matched: id::Version,
    /// The next entry to send.
    pub next: id::Version,
    /// The newest commit version sent.
    pub commit_sent: id::Version,
    /// The newest heartbeat round answered.
    pub round: u64,
    /// When the newest answered round was sent.
    pub heard: Duration,
    /// Whether it answered at all in this term.
    pub answered: bool,
    /// Whether it is not known where the logs agree; one append at a time finds out.
    pub probing: bool,
    /// Appends sent and not answered.
    pub inflight: u32,
    /// The snapshot being sent.
    pub sending: Option<Sending>,
}

/// A snapshot on its way to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Sending {
    pub snapshot: entry::Snapshot,
    /// How many bytes the member holds.
    pub held: u64,
    /// When to send the chunk again.
    pub retry_at: Duration,
}

impl Progress {
    pub fn new(last: id::Version, now: Duration) -> Self {
        Self {
            matched: id::Version(0),
            next: entry::after(last),
            commit_sent: id::Version(0),
            round: 0,
            heard: now,
            answered: false,
            probing: false,
            inflight: 0,
            sending: None,
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
        let arrived = self.sending.as_ref().map(|s| s.snapshot.position.version);
        if arrived.is_some_and(|version| version <= self.matched) {
            self.sending = None;
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

    /// Notes that so many entries were sent.
    pub fn sent(&mut self, count: u64) {
        if count == 0 {
            return;
        }
        self.inflight += 1;
        if !self.probing {
            self.next = id::Version(self.next.0.saturating_add(count));
        }
    }

    pub fn has_room(&self) -> bool {
        let window = if self.probing { 1 } else { WINDOW };
        self.inflight < window
    }
}
