//! The rate limit that a target states in its answers, and this host's share of it.
//!
//! The limit applies to the requests of all hosts together, and each host knows only its own. Every
//! host therefore uses a fixed share, so that the sum stays within the limit without
//! communication, also while hosts are cut off from each other.
//!
//! A host may send one request at each of its turns, which are evenly spaced. The turns of different
//! hosts are spread by a random phase, and a turn that is not used in time is lost. With a hundred
//! hosts and a low limit, the requests that all of them could save up would exceed the limit for
//! seconds.

use std::time;

use yucca_wire::unit;

/// Maximum time for which an unused turn may still be used, in seconds. A target counts requests in
/// windows of twice this time, and tolerates one and a half times its limit and [`EXTRA`] requests.
const MAX_SAVED_TIME: f64 = 2.0;

/// Minimum time for which an unused turn may still be used, in seconds.
const MIN_SAVED_TIME: f64 = 0.5;

/// Number of requests in a window that a target tolerates beyond that.
const EXTRA: f64 = 5.0;

/// Number of standard deviations by which the number of turns in a window may exceed its mean.
const DEVIATIONS: f64 = 3.0;

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

/// The part of a limit that one host uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Share of the rate, at most 1.
    pub rate: f64,
    /// Time until the first turn, as a share of the interval between turns, below 1. It should be
    /// random.
    pub phase: f64,
}

/// A stated limit in effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    stated: unit::Rate,
    /// Time between turns of this host.
    interval: time::Duration,
    /// Time for which an unused turn may still be used.
    saved_time: time::Duration,
    /// The first turn that is not used; it may be lost.
    next: time::Duration,
    /// When the limit was first stated.
    since: time::Duration,
    /// Number of requests sent since.
    sent: u32,
}

impl Limit {
    /// Creates a limit of which this host may use `share`.
    pub fn new(stated: unit::Rate, share: Share, now: time::Duration) -> Self {
        let interval = interval(stated, share);
        Self {
            stated,
            interval,
            saved_time: saved_time(stated, share),
            next: now + interval.mul_f64(share.phase.clamp(0.0, 1.0)),
            since: now,
            sent: 0,
        }
    }

    /// Applies another statement of the target, or another share.
    pub fn update(&mut self, stated: unit::Rate, share: Share, now: time::Duration) {
        let before = self.interval;
        self.next = self.turn(now);
        self.stated = stated;
        self.interval = interval(stated, share);
        self.saved_time = saved_time(stated, share);
        if let Some(left) = self.next.checked_sub(now) {
            // Keeps the phase.
            self.next = now + left.mul_f64(self.interval.as_secs_f64() / before.as_secs_f64());
        }
    }

    /// Returns the limit as the target stated it.
    pub fn stated(&self) -> unit::Rate {
        self.stated
    }

    /// Returns the time between two requests of all hosts together.
    pub fn all_interval(&self) -> time::Duration {
        time::Duration::from_secs_f64(1.0 / self.stated.0.max(PROBE_RATE))
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
        self.turn(now) <= now
    }

    /// Returns when the next request may be sent.
    pub fn next_at(&self, now: time::Duration) -> time::Duration {
        now.max(self.turn(now))
    }

    /// Returns the number of requests that may be sent until `until`.
    pub fn turns(&self, until: time::Duration, now: time::Duration) -> u32 {
        let Some(time) = until.checked_sub(self.turn(now)) else {
            return 0;
        };
        // Converting to an integer saturates.
        ((time.as_secs_f64() / self.interval.as_secs_f64()) as u32).saturating_add(1)
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: time::Duration) {
        self.next = self.turn(now) + self.interval;
        self.sent += 1;
    }

    /// Takes back the count of a request that was not sent after all.
    pub fn give_back(&mut self) {
        self.next = self.next.saturating_sub(self.interval);
        self.sent = self.sent.saturating_sub(1);
    }

    /// Returns the first turn that is neither used nor lost.
    fn turn(&self, now: time::Duration) -> time::Duration {
        let oldest = now.saturating_sub(self.saved_time);
        let Some(lost) = oldest.checked_sub(self.next) else {
            return self.next;
        };
        let turns = (lost.as_secs_f64() / self.interval.as_secs_f64()).ceil();
        self.next + self.interval.mul_f64(turns)
    }
}

fn interval(stated: unit::Rate, share: Share) -> time::Duration {
    // The divisor is not zero.
    let rate = stated.0.max(PROBE_RATE) * share.rate.clamp(MIN_SHARE, 1.0);
    time::Duration::from_secs_f64(1.0 / rate).max(time::Duration::from_nanos(1))
}

/// Returns the time for which an unused turn may still be used.
///
/// Load pattern: requests arrive at all hosts at once after these were idle. In a window the turns
/// of its time and of the saved time are used. Phases are random, and with one host for each share
/// their number has a standard deviation of half the square root of the number of hosts at most.
fn saved_time(stated: unit::Rate, share: Share) -> time::Duration {
    let hosts = 1.0 / share.rate.clamp(MIN_SHARE, 1.0);
    let deviation = hosts.sqrt() / 2.0;
    let excess = (DEVIATIONS * deviation - EXTRA).max(0.0);
    let saved = MAX_SAVED_TIME - excess / stated.0.max(PROBE_RATE);
    time::Duration::from_secs_f64(saved.max(MIN_SAVED_TIME))
}
