//! Exact accounting of a target's slots.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::table;

/// By how much the limit shrinks when the target sheds.
const SHED_FACTOR: f64 = 0.5;

/// How long the target must shed nothing before the limit grows by one slot.
const CALM: Duration = Duration::from_millis(250);

/// The slots of a target and who holds them.
#[derive(Debug, Clone, PartialEq)]
pub struct Slots {
    total: u16,
    reserve: u16,
    warm: f32,
    /// How many slots the lane lets itself use after the target shed.
    limit: f64,
    /// When the limit may grow next.
    grows_at: Duration,
    short: u16,
    long: u16,
    predecessor_slots: u16,
}

impl Slots {
    /// Returns the slots of a target of which none is held.
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

    /// Changes what the target has. Work that runs is not touched.
    ///
    /// A target with one slot has no reserve, as long work could never run there.
    pub fn configure(&mut self, total: id::Slots, reserve: id::Slots, warm: f32) {
        let shrunk = self.limit < f64::from(self.total);
        self.total = total.0;
        self.reserve = reserve.0.min(total.0.saturating_sub(1));
        self.warm = warm;
        if !shrunk || self.limit > f64::from(total.0) {
            self.limit = f64::from(total.0);
        }
    }

    /// Returns how many slots the lane may use now, at least one unless the target has none.
    pub fn usable(&self) -> u16 {
        let total = f64::from(self.total);
        let warm = total * f64::from(self.warm).clamp(0.0, 1.0);
        let allowed = warm.min(self.limit).floor().max(1.0);
        (allowed as u16)
            .min(self.total)
            .saturating_sub(self.predecessor_slots)
    }

    /// Returns how many slots are held by this lane.
    pub fn held(&self) -> u16 {
        self.short + self.long
    }

    /// Returns how many slots long work holds.
    pub fn held_long(&self) -> u16 {
        self.long
    }

    /// Returns how many slots long work may hold.
    pub fn long_limit(&self) -> u16 {
        self.usable().saturating_sub(self.reserve)
    }

    /// Tells whether work of this class may take a slot.
    pub fn has_room(&self, class: table::Class) -> bool {
        let any = self.held() < self.usable();
        match class {
            table::Class::Short => any,
            table::Class::Long => any && self.long < self.long_limit(),
        }
    }

    /// Takes a slot.
    pub fn take(&mut self, class: table::Class) {
        *self.count(class) += 1;
    }

    /// Gives a slot back.
    pub fn give_back(&mut self, class: table::Class) {
        let count = self.count(class);
        *count = count.saturating_sub(1);
    }

    /// States how many slots an earlier lane still holds.
    pub fn set_predecessor_slots(&mut self, slots: id::Slots) {
        self.predecessor_slots = slots.0;
    }

    /// Halves the slots in use because the target shed work, for at least `retry_after`.
    ///
    /// Several refusals at one time count once.
    pub fn shed(&mut self, retry_after: Duration, now: Duration) {
        let fresh = now >= self.grows_at || self.limit >= f64::from(self.total);
        if fresh {
            self.limit = (self.limit * SHED_FACTOR).max(1.0);
        }
        self.grows_at = self.grows_at.max(now + retry_after.max(CALM));
    }

    /// Lets the limit grow with time.
    pub fn grow(&mut self, now: Duration) {
        let total = f64::from(self.total);
        while self.limit < total && now >= self.grows_at {
            self.limit = (self.limit + 1.0).min(total);
            self.grows_at += CALM;
        }
    }

    /// Returns when the limit grows next.
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
