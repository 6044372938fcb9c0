//! The rate limit that a target states in its answers, and this host's share of it.
//!
//! The limit applies to the requests of all hosts together, and each host knows only its own. Every
//! host therefore uses a fixed share, so that the sum stays within the limit without
//! communication, also while hosts are cut off from each other.

use std::time;

use yucca_wire::unit;

/// Minimum number of requests that a host may save up while it sends none.
const MIN_SAVED: f64 = 1.0;

/// Time for which unused parts of the share are saved up.
const SAVED_TIME: time::Duration = time::Duration::from_millis(500);

/// Rate at which all hosts together try a target whose limit is lower, to learn when it ends.
const PROBE_RATE: f64 = 0.5;

/// Minimum share of a host, so that its rate is never zero.
const MIN_SHARE: f64 = 1e-6;

/// A statement that began or ended a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The target states a limit.
    Started(unit::Rate),
    /// The target no longer states one.
    Ended(Limit),
}

/// A stated limit in effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    stated: unit::Rate,
    /// Requests per second that this host may send.
    rate: f64,
    /// Requests that this host may send now; a fraction of one accumulates.
    tokens: f64,
    updated: time::Duration,
    /// When the limit was first stated.
    since: time::Duration,
    /// Number of requests sent since.
    sent: u32,
}

impl Limit {
    /// Creates a limit of which this host may use `share`, at most 1.
    pub fn new(stated: unit::Rate, share: f64, now: time::Duration) -> Self {
        let mut limit = Self {
            stated,
            rate: 0.0,
            tokens: 0.0,
            updated: now,
            since: now,
            sent: 0,
        };
        limit.update(stated, share, now);
        limit.tokens = limit.capacity();
        limit
    }

    /// Applies another statement of the target, or another share.
    pub fn update(&mut self, stated: unit::Rate, share: f64, now: time::Duration) {
        self.tokens = self.tokens(now);
        self.updated = now;
        self.stated = stated;
        self.rate = stated.0.max(PROBE_RATE) * share.clamp(MIN_SHARE, 1.0);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the limit as the target stated it.
    pub fn stated(&self) -> unit::Rate {
        self.stated
    }

    /// Returns how long the limit has been stated.
    pub fn age(&self, now: time::Duration) -> time::Duration {
        now.saturating_sub(self.since)
    }

    /// Returns the number of requests that this host has sent since the limit was first stated.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: time::Duration) -> bool {
        self.next_at(0) <= now
    }

    /// Returns when a request may be sent, after `ahead` others.
    pub fn next_at(&self, ahead: u32) -> time::Duration {
        let lacking = f64::from(ahead) + 1.0 - self.tokens;
        if lacking <= 0.0 {
            return self.updated;
        }
        // Both are finite and the rate is not zero.
        self.updated + time::Duration::from_secs_f64(lacking / self.rate)
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: time::Duration) {
        self.tokens = self.tokens(now) - 1.0;
        self.updated = now;
        self.sent += 1;
    }

    /// Takes back the count of a request that was not sent after all.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity());
        self.sent = self.sent.saturating_sub(1);
    }

    fn capacity(&self) -> f64 {
        (self.rate * SAVED_TIME.as_secs_f64()).max(MIN_SAVED)
    }

    fn tokens(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        (self.tokens + self.rate * passed).min(self.capacity())
    }
}
