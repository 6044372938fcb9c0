//! What one host knows of one target that it shares with others.

use std::time;

use yucca_own::site::target;

use crate::estimate;

/// The first pause after a target could not be reached.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(400);

/// The longest pause.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(5);

/// The shortest pause after a target had no room, where a slot would be free even sooner.
const SHORTEST_REST: time::Duration = time::Duration::from_millis(25);

/// The longest such pause.
const LONGEST_REST: time::Duration = time::Duration::from_millis(300);

/// The service time that is presumed where nothing is known yet.
pub const PRESUMED_TIME: time::Duration = time::Duration::from_millis(150);

/// What is told of a target when it becomes known or changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Facts {
    /// The target.
    pub number: target::Number,
    /// Whether it is in this host's failure domain.
    pub near: bool,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub open: bool,
}

/// A target as this host sees it.
#[derive(Debug, Clone)]
pub struct Target {
    /// What was told of it.
    pub facts: Facts,
    /// The requests that this host has sent and that are not answered.
    pub own: u32,
    /// The same, of the other hosts, as they last said.
    pub others: u32,
    /// Until when it gets no request after failures.
    pub paused_until: time::Duration,
    failures: u32,
    refusals: u32,
    times: estimate::Estimate,
    /// The requests of this domain's hosts, averaged over the last second.
    near: estimate::Level,
    /// Requests measured since the last report, and their whole time.
    measured: (u32, time::Duration),
}

impl Target {
    /// Returns a target of which nothing more is known.
    pub fn new(facts: Facts) -> Self {
        Self {
            facts,
            own: 0,
            others: 0,
            paused_until: time::Duration::ZERO,
            failures: 0,
            refusals: 0,
            times: estimate::Estimate::default(),
            near: estimate::Level::default(),
            measured: (0, time::Duration::ZERO),
        }
    }

    /// Takes in the requests of the other hosts of this domain, and returns the average of all of the
    /// domain's requests.
    pub fn note_near(&mut self, others: u32, now: time::Duration) -> f64 {
        self.near.update(f64::from(others + self.own), now);
        self.near.average()
    }

    /// Returns the requests that the target has, as far as is known.
    pub fn load(&self) -> u32 {
        self.own + self.others
    }

    /// Tells whether it may get a request.
    pub fn is_usable(&self, now: time::Duration) -> bool {
        self.facts.open && now >= self.paused_until
    }

    /// Tells whether only earlier failures speak against sending to it.
    pub fn is_suspect(&self) -> bool {
        self.facts.open && self.failures > 0 && self.refusals == 0
    }

    /// Tells whether it could not be reached and is not tried again before `until`.
    pub fn is_out_of_reach(&self, until: time::Duration) -> bool {
        self.failures > 0 && self.paused_until > until
    }

    /// Returns how long it takes for a request, once it has a slot.
    pub fn time(&self) -> time::Duration {
        self.times.mean().unwrap_or(PRESUMED_TIME)
    }

    /// Returns how long a further request would take.
    pub fn expected(&self) -> time::Duration {
        let slots = self.facts.slots.max(1);
        let ahead = (self.load() + 1).saturating_sub(slots);
        let time = self.time();
        time + time * ahead / slots
    }

    /// Takes in that a request was answered.
    pub fn answered(&mut self, took: time::Duration) {
        self.failures = 0;
        self.refusals = 0;
        self.paused_until = time::Duration::ZERO;
        // A wait at the target is no part of its speed.
        if self.load() <= self.facts.slots {
            self.times.sample(took);
            self.measured.0 += 1;
            self.measured.1 += took;
        }
    }

    /// Returns how many requests were measured since the last call, and their whole time.
    pub fn take_measured(&mut self) -> (u32, time::Duration) {
        std::mem::take(&mut self.measured)
    }

    /// Takes in that it had no room, and pauses it until a slot should be free; for longer each time.
    /// Load pattern: a faulty target refuses a part of its requests with slots free. Paused like a
    /// full one it would stand idle, so it rests for the shortest time only.
    pub fn refused(&mut self, now: time::Duration) {
        if self.load() <= self.facts.slots {
            self.paused_until = self.paused_until.max(now + SHORTEST_REST);
            return;
        }
        let rest = self.time() / self.facts.slots.max(1);
        let rest = rest.max(SHORTEST_REST) * 2u32.saturating_pow(self.refusals.min(3));
        self.refusals = self.refusals.saturating_add(1);
        self.paused_until = self.paused_until.max(now + rest.min(LONGEST_REST));
    }

    /// Takes in that it could not be reached, or fell silent, and pauses it for longer each time.
    pub fn failed(&mut self, now: time::Duration) {
        let pause = FIRST_PAUSE * 2u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }
}
