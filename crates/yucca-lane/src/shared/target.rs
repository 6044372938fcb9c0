//! State of a shared target as one host sees it.

use std::time;

use yucca_own::site::target;
use yucca_wire::unit;

use crate::estimate;
use crate::shared::limit;

/// Pause after the first failure to reach a target. It doubles with each further failure.
const FIRST_FAILURE_PAUSE: time::Duration = time::Duration::from_millis(400);

/// Maximum pause after failures to reach a target.
const MAX_FAILURE_PAUSE: time::Duration = time::Duration::from_secs(5);

/// Minimum pause after a target refused a request, even if a slot should be free sooner.
const MIN_FULL_PAUSE: time::Duration = time::Duration::from_millis(25);

/// Maximum pause after a target refused a request.
const MAX_FULL_PAUSE: time::Duration = time::Duration::from_millis(300);

/// Assumed service time of a service without measurements.
pub const DEFAULT_SERVICE_TIME: time::Duration = time::Duration::from_millis(150);

/// Share of a target's slots from which on its average load counts as busy.
const BUSY_SHARE: f64 = 0.9;

/// Age of a limit from which on keys move to other targets.
const LASTING_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Time for which a target that leaves still gets requests that no other target can take: its keys
/// are handed over within two heartbeats. It is shorter than the shortest time for which leaving
/// targets are known to serve.
const LEAVING_GRACE: time::Duration = time::Duration::from_millis(1_500);

/// Properties of a target, from the configuration and its announcements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Facts {
    /// The target.
    pub number: target::Number,
    /// Whether it is in this host's failure domain.
    pub near: bool,
    /// Number of requests that it processes at a time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub open: bool,
}

/// A target as this host sees it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its properties.
    pub facts: Facts,
    /// Number of unanswered requests that this host has sent.
    pub own: u32,
    /// Estimated number of unanswered requests of all other hosts.
    pub others: u32,
    /// Whether this host's group sends requests without a key here first.
    pub preferred: bool,
    /// Time until which it gets no request, after failures or refusals.
    pub paused_until: time::Duration,
    failures: u32,
    refusals: u32,
    /// Whether it last refused a request while slots were free, as far as this host knows.
    shed_with_room: bool,
    times: estimate::Estimate,
    /// Number of requests of the hosts whose load is known, averaged over about the last second.
    near: estimate::Average,
    /// Estimated average number of requests of all hosts.
    average: f64,
    /// Answers since the last report, for balancing keys.
    measured: Measurement,
    /// Answers since the last digest, for the other hosts of the group.
    unshared: Measurement,
    /// The limit that it states, if any.
    limit: Option<limit::Limit>,
    /// Time until which it wants no request from this host.
    rests_until: time::Duration,
    /// When it first said that it leaves, if it did. It never stays after that.
    leaves_since: Option<time::Duration>,
}

/// Number of answers and their total service time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Measurement {
    /// Number of answers.
    pub count: u32,
    /// Sum of their service times.
    pub time: time::Duration,
}

impl Measurement {
    fn add(&mut self, took: time::Duration) {
        self.count += 1;
        self.time += took;
    }

    /// Returns the mean service time, or `None` without answers.
    pub fn mean(&self) -> Option<time::Duration> {
        self.time.checked_div(self.count)
    }
}

impl Target {
    /// Creates a target without load or measurements.
    pub fn new(facts: Facts) -> Self {
        Self {
            facts,
            own: 0,
            others: 0,
            preferred: facts.near,
            paused_until: time::Duration::ZERO,
            failures: 0,
            refusals: 0,
            shed_with_room: false,
            times: estimate::Estimate::default(),
            near: estimate::Average::default(),
            average: 0.0,
            measured: Measurement::default(),
            unshared: Measurement::default(),
            limit: None,
            rests_until: time::Duration::ZERO,
            leaves_since: None,
        }
    }

    /// Sets the number of requests of the other hosts whose load is known. All others are assumed to
    /// have `far` times as many as those and this host have on average.
    pub fn set_others(&mut self, near: u32, far: f64, now: time::Duration) {
        self.near.update(f64::from(near + self.own), now);
        let elsewhere = self.near.average() * far;
        self.average = self.near.average() + elsewhere;
        self.others = near + elsewhere.round() as u32;
    }

    /// Returns whether nearly all of its slots have recently been in use all the time.
    pub fn is_busy(&self) -> bool {
        self.average >= f64::from(self.facts.slots) * BUSY_SHARE
    }

    /// Returns the estimated number of requests that the target has from all hosts.
    pub fn load(&self) -> u32 {
        self.own + self.others
    }

    /// Returns whether it may get a request.
    pub fn is_usable(&self, now: time::Duration) -> bool {
        self.is_up(now) && self.limit_allows(now) && !self.rests(now) && !self.has_left(now)
    }

    /// Returns whether it said that it leaves.
    pub fn leaves(&self) -> bool {
        self.leaves_since.is_some()
    }

    /// Returns whether it gets no further request because it leaves.
    pub fn has_left(&self, now: time::Duration) -> bool {
        let since = self.leaves_since;
        since.is_some_and(|since| now >= since + LEAVING_GRACE)
    }

    /// Records that it said that it leaves.
    pub fn leave(&mut self, now: time::Duration) {
        self.leaves_since.get_or_insert(now);
    }

    /// Returns whether it wants no request at this time.
    pub fn rests(&self, at: time::Duration) -> bool {
        at < self.rests_until
    }

    /// Returns the time until which it wants no request.
    pub fn rests_until(&self) -> time::Duration {
        self.rests_until
    }

    /// Records that it wants no request from this host until a time. Answers to requests that it
    /// got before don't end the rest.
    pub fn rest_until(&mut self, until: time::Duration) {
        self.rests_until = self.rests_until.max(until);
    }

    /// Returns whether it may get a request, apart from the limit that it states.
    pub fn is_up(&self, now: time::Duration) -> bool {
        self.facts.open && now >= self.paused_until
    }

    /// Returns whether the limit that it states, if any, allows this host a request.
    pub fn limit_allows(&self, now: time::Duration) -> bool {
        self.limit.is_none_or(|limit| limit.allows(now))
    }

    /// Returns the number of requests that the limit that it states allows this host until `until`,
    /// or `None` without a limit.
    pub fn turns(&self, until: time::Duration, now: time::Duration) -> Option<u32> {
        self.limit.map(|limit| limit.turns(until, now))
    }

    /// Returns the limit that it states, if any.
    pub fn limit(&self) -> Option<&limit::Limit> {
        self.limit.as_ref()
    }

    /// Applies the limit that it stated in an answer, of which this host may use `share`, or the end
    /// of its limit. Returns whether that began or ended a limit.
    pub fn set_limit(
        &mut self,
        stated: Option<unit::Rate>,
        share: limit::Share,
        now: time::Duration,
    ) -> Option<limit::Change> {
        match (stated, &mut self.limit) {
            (Some(stated), Some(limit)) => {
                limit.update(stated, share, now);
                None
            }
            (Some(stated), None) => {
                self.limit = Some(limit::Limit::new(stated, share, now));
                Some(limit::Change::Started(stated))
            }
            (None, _) => self.limit.take().map(limit::Change::Ended),
        }
    }

    /// Counts a request that is sent.
    pub fn record_send(&mut self, now: time::Duration) {
        self.own += 1;
        if let Some(limit) = &mut self.limit {
            limit.take(now);
        }
    }

    /// Takes back the count of a request that was not sent after all.
    pub fn cancel_send(&mut self) {
        self.own = self.own.saturating_sub(1);
        if let Some(limit) = &mut self.limit {
            limit.give_back();
        }
    }

    /// Returns whether it is open and earlier failures are the only reason not to send to it.
    pub fn is_suspect(&self) -> bool {
        self.facts.open && self.failures > 0 && self.refusals == 0
    }

    /// Returns whether it could not be reached and is paused beyond `until`.
    pub fn is_out_of_reach(&self, until: time::Duration) -> bool {
        self.failures > 0 && self.paused_until > until
    }

    /// Returns its service time, without waiting for a slot. `typical` is the service time of its
    /// service.
    pub fn service_time(&self, typical: time::Duration) -> time::Duration {
        self.times.mean_or(typical)
    }

    /// Returns the expected time for one more request, including the wait for a slot.
    pub fn expected_time(&self, typical: time::Duration) -> time::Duration {
        let slots = self.facts.slots.max(1);
        let ahead = (self.load() + 1).saturating_sub(slots);
        let time = self.service_time(typical);
        time + time * ahead / slots
    }

    /// Records that a request was answered after `took`. Returns whether the time counts as a
    /// service time: it does not while requests wait at the target, because it may then include a
    /// wait.
    pub fn record_answer(&mut self, took: time::Duration) -> bool {
        self.failures = 0;
        self.refusals = 0;
        self.paused_until = time::Duration::ZERO;
        let no_wait = self.load() <= self.facts.slots;
        if no_wait {
            self.times.record(took);
            self.measured.add(took);
            self.unshared.add(took);
        }
        no_wait
    }

    /// Adds a measurement of another host of the group.
    pub fn add_measurement(&mut self, measure: Measurement) {
        if let Some(mean) = measure.mean() {
            self.times.record_batch(measure.count, mean);
        }
    }

    /// Returns the measurement since the last call, for balancing keys. With a limit, the time for
    /// which each request uses a slot includes the wait for the limit, so that keys move to targets
    /// without one; not at once, because moving keys there and back costs more than a short limit.
    pub fn take_measured(&mut self, now: time::Duration) -> Measurement {
        let mut measured = std::mem::take(&mut self.measured);
        let limit = self.limit.as_ref();
        if let Some(limit) = limit.filter(|limit| limit.age(now) >= LASTING_LIMIT) {
            let slots = self.facts.slots.max(1);
            let limited = limit.all_interval() * slots * measured.count;
            measured.time = measured.time.max(limited);
        }
        measured
    }

    /// Returns the measurement since the last call, for the other hosts of the group.
    pub fn take_unshared(&mut self) -> Measurement {
        std::mem::take(&mut self.unshared)
    }

    /// Records that it refused a request, and pauses it until a slot should be free; longer each
    /// time. Load pattern: a faulty target refuses some requests while slots are free. With the
    /// pause of a full target it would be idle, so it gets the minimum pause.
    pub fn record_refusal(&mut self, typical: time::Duration, now: time::Duration) {
        self.shed_with_room = self.load() <= self.facts.slots;
        if self.shed_with_room {
            self.paused_until = self.paused_until.max(now + MIN_FULL_PAUSE);
            return;
        }
        let pause = self.service_time(typical) / self.facts.slots.max(1);
        let pause = pause.max(MIN_FULL_PAUSE) * 2u32.saturating_pow(self.refusals.min(3));
        self.refusals = self.refusals.saturating_add(1);
        self.paused_until = self.paused_until.max(now + pause.min(MAX_FULL_PAUSE));
    }

    /// Records that it answered that it does not hold a key, and pauses it like after a refusal. A
    /// target that lost its lease gives this answer for all of its keys.
    pub fn record_not_owner(&mut self, typical: time::Duration, now: time::Duration) {
        self.record_refusal(typical, now);
        self.shed_with_room = false;
    }

    /// Returns whether it last refused a request while it had free slots.
    pub fn has_shed_with_room(&self) -> bool {
        self.shed_with_room
    }

    /// Records that it could not be reached or stopped answering, and pauses it; longer each time.
    pub fn record_failure(&mut self, now: time::Duration) {
        let pause = FIRST_FAILURE_PAUSE * 2u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(MAX_FAILURE_PAUSE);
    }
}
