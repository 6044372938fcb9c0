//! Plan for the distribution of a service's work over its targets.
//!
//! Load pattern: hundreds of targets send heartbeats each second, and most of the measured demand for
//! single keys is noise. Weighing all stripes at each heartbeat would take more time than the leader
//! has, so it makes a plan a few times a second and updates it in between. The plan moves work away
//! from targets with significantly too much, and from other overloaded targets only as much as the
//! most underloaded ones lack.

use std::time;

use indexmap::IndexMap;

use crate::site::{balance, range, target};

/// Maximum age of a plan, a small part of the time over which demand is averaged.
const MAX_AGE: time::Duration = time::Duration::from_millis(250);

/// Factor of its quota that the work of a target may reach by a further stripe. A target is
/// significantly overloaded if its work exceeds this by more than the standard deviation of its work.
const SURPLUS_FACTOR: f64 = 1.25;

/// A target with less than this fraction of its quota gets work from all targets that exceed theirs,
/// and may get a stripe that takes its work above [`SURPLUS_FACTOR`].
const UNDERLOAD_FACTOR: f64 = 0.6;

/// Fraction of its excess that a significantly overloaded target hands over at one heartbeat.
const SHED_FRACTION: f64 = 0.7;

/// A stripe with more than this fraction of its owner's quota is split if the owner is overloaded.
const SPLIT_FRACTION: f64 = 0.25;

/// Minimum number of measured requests before a stripe is split.
const MIN_SPLIT_REQUESTS: f64 = 4.0;

/// One target in a plan.
#[derive(Debug, Clone, Copy)]
pub(super) struct Entry {
    /// Its work, in requests per second.
    pub work: f64,
    /// Standard deviation of its work, in requests per second. The fewer requests were measured, the
    /// larger it is relative to the work.
    pub deviation: f64,
    /// The work that it should have, in requests per second.
    pub quota: f64,
    /// Whether it has room for further stripes.
    pub has_room: bool,
    /// Work that it should hand over, in requests per second.
    pub surplus: f64,
}

impl Entry {
    fn excess(&self) -> f64 {
        self.work - self.quota
    }

    /// Returns whether it should get a stripe of this weight.
    pub(super) fn accepts(&self, weight: f64) -> bool {
        let fits = self.work + weight <= self.quota * SURPLUS_FACTOR;
        self.work < self.quota && (fits || self.work < self.quota * UNDERLOAD_FACTOR)
    }
}

/// Plan for the distribution of one service's work.
#[derive(Debug, Clone, Default)]
pub(super) struct Plan {
    made_at: time::Duration,
    entries: IndexMap<target::Number, Entry>,
    scale: balance::Scale,
}

impl Plan {
    /// Returns a plan for targets with their present work.
    pub(super) fn new(
        mut entries: IndexMap<target::Number, Entry>,
        scale: balance::Scale,
        now: time::Duration,
    ) -> Self {
        set_surpluses(&mut entries, scale.total());
        Self {
            made_at: now,
            entries,
            scale,
        }
    }

    /// Returns whether the plan is recent enough and made for these targets.
    pub(super) fn is_current(&self, eligible: &[&target::Record], now: time::Duration) -> bool {
        let same = eligible.iter().map(|record| &record.number);
        now < self.made_at + MAX_AGE && same.eq(self.entries.keys())
    }

    /// Returns the entry of a target.
    pub(super) fn entry(&self, number: target::Number) -> Option<&Entry> {
        self.entries.get(&number)
    }

    /// Returns the number of targets.
    pub(super) fn targets(&self) -> usize {
        self.entries.len()
    }

    /// Returns the weights of the stripes.
    pub(super) fn scale(&self) -> &balance::Scale {
        &self.scale
    }

    /// Adds work to a target.
    pub(super) fn add_work(&mut self, number: target::Number, work: f64) {
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.work += work;
        }
    }

    /// Returns the stripes among `owned` that a target should release now.
    pub(super) fn shed(
        &mut self,
        number: target::Number,
        map: &range::Map,
        mut owned: Vec<u32>,
    ) -> Vec<u32> {
        let scale = &self.scale;
        let Some(entry) = self.entries.get_mut(&number).filter(|e| e.surplus > 0.0) else {
            return Vec::new();
        };
        // The heaviest first, so that few stripes move. A stripe heavier than the surplus stays.
        let weight = |stripe: &u32| scale.weight(map, *stripe);
        owned.sort_by(|one, other| weight(other).total_cmp(&weight(one)));
        owned.retain(|stripe| {
            let weight = weight(stripe);
            let fits = weight <= entry.surplus;
            if fits {
                entry.surplus -= weight;
                entry.work -= weight;
            }
            fits
        });
        owned
    }

    /// Returns the stripes among `owned` that should be split, so that their keys can be distributed.
    pub(super) fn split(
        &self,
        number: target::Number,
        map: &range::Map,
        owned: impl Iterator<Item = u32>,
    ) -> Vec<u32> {
        let Some(entry) = self.entry(number).filter(|entry| entry.surplus > 0.0) else {
            return Vec::new();
        };
        let heavy = entry.quota * SPLIT_FRACTION;
        let is_heavy = |stripe: &u32| {
            let work = self.scale.measured(*stripe);
            work > heavy && self.scale.requests(work) >= MIN_SPLIT_REQUESTS
        };
        owned
            .filter(|stripe| is_heavy(stripe) && !map.is_single(*stripe))
            .collect()
    }
}

/// Sets the surplus of each target.
fn set_surpluses(entries: &mut IndexMap<target::Number, Entry>, total: f64) {
    let work: f64 = entries.values().map(|entry| entry.work).sum();
    // Work without an owner among these targets will go to those that lack work.
    let unassigned = (total - work).max(0.0);
    let shortfall = |factor: f64| {
        let all = entries.values().filter(|entry| entry.has_room);
        let underloaded = all.filter(|entry| entry.work < entry.quota * factor);
        let lack: f64 = underloaded.map(|entry| -entry.excess()).sum();
        (lack - unassigned).max(0.0)
    };
    let mut wanted = shortfall(1.0);
    let mut urgent = shortfall(UNDERLOAD_FACTOR);
    let mut order: Vec<target::Number> = entries.keys().copied().collect();
    order.sort_by(|one, other| entries[other].excess().total_cmp(&entries[one].excess()));
    for number in order {
        let entry = &mut entries[&number];
        let excess = entry.excess();
        if excess <= 0.0 || wanted <= 0.0 {
            break;
        }
        let overloaded = entry.work > entry.quota * SURPLUS_FACTOR + entry.deviation;
        let excess_part = if overloaded {
            excess * SHED_FRACTION
        } else {
            0.0
        };
        entry.surplus = excess_part.max(excess.min(urgent)).min(wanted);
        wanted -= entry.surplus;
        urgent -= entry.surplus;
    }
}
