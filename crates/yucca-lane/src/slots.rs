//! Accounting of a target's slots.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::table;

/// Factor by which the limit shrinks when the target sheds a request.
const SHED_FACTOR: f64 = 0.5;

/// Time without shedding after which the limit grows by one slot.
const GROWTH_INTERVAL: Duration = Duration::from_millis(250);

/// The slots of a target and their use.
#[derive(Debug, Clone, PartialEq)]
pub struct Slots {
    total: u16,
    reserve: u16,
    warm: f32,
    /// Maximum number of slots in use, reduced after the target shed a request.
    limit: f64,
    /// Time at which the limit may next grow.
    grows_at: Duration,
    short: u16,
    long: u16,
    predecessor_slots: u16,
}

impl Slots {
    /// Creates the slots of a target, all free.
    pub fn new(total: id::Slots, reserve: id::Slots, warm: f32) -> Self {
        let mut slots = Self {
            total: 0,
            reserve: 0,
            warm,
            limit: f64::from(total.0),
            grows_at: Duration::ZERO,
            short: 0,
            long: 0,
            predecessor_slots: 0,
        };
        slots.configure(total, reserve, warm);
        slots
    }

    /// Changes the number of slots, the reserve for short requests and the warm-up progress.
    /// Running requests are not affected.
    ///
    /// A target with one slot has no reserve, because long requests could never run there.
    pub fn configure(&mut self, total: id::Slots, reserve: id::Slots, warm: f32) {
        let shrunk = self.limit < f64::from(self.total);
        self.total = total.0;
        self.reserve = reserve.0.min(total.0.saturating_sub(1));
        self.warm = warm;
        if !shrunk || self.limit > f64::from(total.0) {
            self.limit = f64::from(total.0);
        }
    }

    /// Returns the number of slots that the lane may use now. An earlier lane's slots are
    /// subtracted; without them it is at least one unless the target has none.
    pub fn usable(&self) -> u16 {
        let total = f64::from(self.total);
        let warm = total * f64::from(self.warm).clamp(0.0, 1.0);
        let allowed = warm.min(self.limit).floor().max(1.0);
        (allowed as u16)
            .min(self.total)
            .saturating_sub(self.predecessor_slots)
    }

    /// Returns the number of slots that this lane occupies.
    pub fn held(&self) -> u16 {
        self.short + self.long
    }

    /// Returns the number of slots that long requests occupy.
    pub fn held_long(&self) -> u16 {
        self.long
    }

    /// Returns the maximum number of slots for long requests.
    pub fn long_limit(&self) -> u16 {
        self.usable().saturating_sub(self.reserve)
    }

    /// Returns whether there is a free slot for a request of this class.
    pub fn has_room(&self, class: table::Class) -> bool {
        let any = self.held() < self.usable();
        match class {
            table::Class::Short => any,
            table::Class::Long => any && self.long < self.long_limit(),
        }
    }

    /// Occupies a slot.
    pub fn acquire(&mut self, class: table::Class) {
        *self.count(class) += 1;
    }

    /// Frees a slot.
    pub fn release(&mut self, class: table::Class) {
        let count = self.count(class);
        *count = count.saturating_sub(1);
    }

    /// Sets the number of slots that an earlier lane still occupies.
    pub fn set_predecessor_slots(&mut self, slots: id::Slots) {
        self.predecessor_slots = slots.0;
    }

    /// Halves the limit because the target shed a request, for at least `retry_after`.
    ///
    /// Further shed requests do not halve it again before it may grow.
    pub fn record_shed(&mut self, retry_after: Duration, now: Duration) {
        let first = now >= self.grows_at || self.limit >= f64::from(self.total);
        if first {
            self.limit = (self.limit * SHED_FACTOR).max(1.0);
        }
        self.grows_at = self.grows_at.max(now + retry_after.max(GROWTH_INTERVAL));
    }

    /// Raises the limit according to the time that has passed.
    pub fn grow(&mut self, now: Duration) {
        let total = f64::from(self.total);
        while self.limit < total && now >= self.grows_at {
            self.limit = (self.limit + 1.0).min(total);
            self.grows_at += GROWTH_INTERVAL;
        }
    }

    /// Returns the time at which the limit next grows.
    pub fn next_growth(&self) -> Option<Duration> {
        (self.limit < f64::from(self.total)).then_some(self.grows_at)
    }

    fn count(&mut self, class: table::Class) -> &mut u16 {
        match class {
            table::Class::Short => &mut self.short,
            table::Class::Long => &mut self.long,
        }
    }
}
