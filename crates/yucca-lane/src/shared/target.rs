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

/// The service time that is presumed where nothing is known of a service yet.
pub const PRESUMED_TIME: time::Duration = time::Duration::from_millis(150);

/// An owner of keys whose average load is over this part of its slots is busy all the time.
const BUSY_SHARE: f64 = 0.9;

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
    /// Whether its last refusal came while slots were free, as far as is known.
    shed_with_room: bool,
    times: estimate::Estimate,
    /// The requests of this domain's hosts, averaged over the last second.
    near: estimate::Level,
    /// The average of all hosts' requests, as far as it is known.
    average: f64,
    /// Answers since the last report, for the balance of keys.
    measured: Measurement,
    /// Answers since the last digest, for the other hosts of this domain.
    unshared: Measurement,
}

/// A number of answers and their whole time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Measurement {
    /// How many there were.
    pub count: u32,
    /// The sum of their service times.
    pub time: time::Duration,
}

impl Measurement {
    fn add(&mut self, took: time::Duration) {
        self.count += 1;
        self.time += took;
    }

    /// Returns the mean time; none without any answer.
    pub fn mean(&self) -> Option<time::Duration> {
        self.time.checked_div(self.count)
    }
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
            shed_with_room: false,
            times: estimate::Estimate::default(),
            near: estimate::Level::default(),
            average: 0.0,
            measured: Measurement::default(),
            unshared: Measurement::default(),
        }
    }

    /// Takes in the requests of the other hosts of this domain, where hosts elsewhere are presumed
    /// to have `far` times as many as this domain has on average.
    pub fn note_others(&mut self, near: u32, far: f64, now: time::Duration) {
        self.near.update(f64::from(near + self.own), now);
        let elsewhere = self.near.average() * far;
        self.average = self.near.average() + elsewhere;
        self.others = near + elsewhere.round() as u32;
    }

    /// Tells whether its slots have been in use all the time lately.
    pub fn is_busy(&self) -> bool {
        self.average >= f64::from(self.facts.slots) * BUSY_SHARE
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

    /// Returns how long it takes for a request, once it has a slot; `typical` is that of its service.
    pub fn time(&self, typical: time::Duration) -> time::Duration {
        self.times.mean_or(typical)
    }

    /// Returns how long a further request would take.
    pub fn expected(&self, typical: time::Duration) -> time::Duration {
        let slots = self.facts.slots.max(1);
        let ahead = (self.load() + 1).saturating_sub(slots);
        let time = self.time(typical);
        time + time * ahead / slots
    }

    /// Takes in that a request was answered. Tells whether that says something of its speed: a wait at
    /// the target is no part of it.
    pub fn answered(&mut self, took: time::Duration) -> bool {
        self.failures = 0;
        self.refusals = 0;
        self.paused_until = time::Duration::ZERO;
        let alone = self.load() <= self.facts.slots;
        if alone {
            self.times.sample(took);
            self.measured.add(took);
            self.unshared.add(took);
        }
        alone
    }

    /// Takes in what another host of this domain measured.
    pub fn add_measurement(&mut self, measure: Measurement) {
        if let Some(mean) = measure.mean() {
            self.times.batch(measure.count, mean);
        }
    }

    /// Returns what was measured since the last call, for the balance of keys.
    pub fn take_measured(&mut self) -> Measurement {
        std::mem::take(&mut self.measured)
    }

    /// Returns what was measured since the last call, for the other hosts of this domain.
    pub fn take_unshared(&mut self) -> Measurement {
        std::mem::take(&mut self.unshared)
    }

    /// Takes in that it had no room, and pauses it until a slot should be free; for longer each time.
    /// Load pattern: a faulty target refuses a part of its requests with slots free. Paused like a
    /// full one it would stand idle, so it rests for the shortest time only.
    pub fn refused(&mut self, typical: time::Duration, now: time::Duration) {
        self.shed_with_room = self.load() <= self.facts.slots;
        if self.shed_with_room {
            self.paused_until = self.paused_until.max(now + SHORTEST_REST);
            return;
        }
        let rest = self.time(typical) / self.facts.slots.max(1);
        let rest = rest.max(SHORTEST_REST) * 2u32.saturating_pow(self.refusals.min(3));
        self.refusals = self.refusals.saturating_add(1);
        self.paused_until = self.paused_until.max(now + rest.min(LONGEST_REST));
    }

    /// Takes in that it said that it does not hold a key. A target that lost its lease says so of all
    /// its keys, so it rests like one that is full.
    pub fn denied(&mut self, typical: time::Duration, now: time::Duration) {
        self.refused(typical, now);
        self.shed_with_room = false;
    }

    /// Tells whether it last refused a request though it had slots free.
    pub fn has_shed_with_room(&self) -> bool {
        self.shed_with_room
    }

    /// Takes in that it could not be reached, or fell silent, and pauses it for longer each time.
    pub fn failed(&mut self, now: time::Duration) {
        let pause = FIRST_PAUSE * 2u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }
}
