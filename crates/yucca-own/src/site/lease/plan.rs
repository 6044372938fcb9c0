//! How a service's work should be spread over its targets.
//!
//! Load pattern: hundreds of targets announce themselves each second, and the demand for single keys
//! is noise for the most part. Weighing all stripes at each heartbeat takes the leader more time
//! than it has; so a plan is made a few times a second and record up to date in between. It moves work
//! from targets that have clearly too much, and from others only as much as the poorest lack.

use std::time;

use indexmap::IndexMap;

use crate::site::{balance, range, target};

/// A plan is made anew after this time, a small part of the time over which demand is averaged.
const MAX_AGE: time::Duration = time::Duration::from_millis(250);

/// A target gives stripes away when its work exceeds its share by this factor.
const SURPLUS_FACTOR: f64 = 1.25;

/// A target with less than this part of its share is helped by all that exceed theirs.
const POOR_FACTOR: f64 = 0.6;

/// Of its surplus, a target with clearly too much gives this part away at one heartbeat.
const SHED_PART: f64 = 0.7;

/// A stripe that has more than this part of its owner's share is split, if the owner has too much.
const SPLIT_PART: f64 = 0.25;

/// A stripe is split only where so many requests show that it is busy.
const SPLIT_REQUESTS: f64 = 4.0;

/// One target in a plan.
#[derive(Debug, Clone, Copy)]
pub(super) struct Entry {
    /// Its work, in requests a second.
    pub work: f64,
    /// The standard deviation of its work, as that was measured by few requests.
    pub deviation: f64,
    /// What it should have.
    pub quota: f64,
    /// Whether it can take further stripes.
    pub room: bool,
    /// How much it is to give away.
    pub surplus: f64,
}

impl Entry {
    fn excess(&self) -> f64 {
        self.work - self.quota
    }

    /// Tells whether it should take a stripe of this weight.
    pub(super) fn takes(&self, weight: f64) -> bool {
        let fits = self.work + weight <= self.quota * SURPLUS_FACTOR;
        self.work < self.quota && (fits || self.work < self.quota * POOR_FACTOR)
    }
}

/// How the work of one service should be spread.
#[derive(Debug, Clone, Default)]
pub(super) struct Plan {
    made: time::Duration,
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
        spread(&mut entries, scale.total());
        Self {
            made: now,
            entries,
            scale,
        }
    }

    /// Tells whether the plan is still good for these targets.
    pub(super) fn fits(&self, eligible: &[&target::Record], now: time::Duration) -> bool {
        let same = eligible.iter().map(|record| &record.number);
        now < self.made + MAX_AGE && same.eq(self.entries.keys())
    }

    /// Returns one target.
    pub(super) fn entry(&self, number: target::Number) -> Option<&Entry> {
        self.entries.get(&number)
    }

    /// Returns how many targets there are.
    pub(super) fn targets(&self) -> usize {
        self.entries.len()
    }

    /// Returns the scale on which stripes are weighed.
    pub(super) fn scale(&self) -> &balance::Scale {
        &self.scale
    }

    /// Notes that a target gets work.
    pub(super) fn take(&mut self, number: target::Number, work: f64) {
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.work += work;
        }
    }

    /// Returns the stripes among `owned` that a target is to give away now.
    pub(super) fn give(
        &mut self,
        number: target::Number,
        map: &range::Map,
        mut owned: Vec<u32>,
    ) -> Vec<u32> {
        let scale = &self.scale;
        let Some(entry) = self.entries.get_mut(&number).filter(|e| e.surplus > 0.0) else {
            return Vec::new();
        };
        // The heaviest first, so that few change hands; one that is too heavy stays.
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

    /// Returns the stripes among `owned` that should be split, so that their keys can be spread.
    pub(super) fn split(
        &self,
        number: target::Number,
        map: &range::Map,
        owned: impl Iterator<Item = u32>,
    ) -> Vec<u32> {
        let Some(entry) = self.entry(number).filter(|entry| entry.surplus > 0.0) else {
            return Vec::new();
        };
        let heavy = entry.quota * SPLIT_PART;
        let is_heavy = |stripe: &u32| {
            let work = self.scale.measured(*stripe);
            work > heavy && self.scale.requests(work) >= SPLIT_REQUESTS
        };
        owned
            .filter(|stripe| is_heavy(stripe) && !map.is_single(*stripe))
            .collect()
    }
}

/// Decides how much each target is to give away.
fn spread(entries: &mut IndexMap<target::Number, Entry>, total: f64) {
    let work: f64 = entries.values().map(|entry| entry.work).sum();
    // What has no owner among these targets is about to be taken by those that lack work.
    let coming = (total - work).max(0.0);
    let lacking = |poor: f64| {
        let all = entries.values().filter(|entry| entry.room);
        let poor = all.filter(|entry| entry.work < entry.quota * poor);
        let lack: f64 = poor.map(|entry| -entry.excess()).sum();
        (lack - coming).max(0.0)
    };
    let mut wanted = lacking(1.0);
    let mut urgent = lacking(POOR_FACTOR);
    let mut order: Vec<target::Number> = entries.keys().copied().collect();
    order.sort_by(|one, other| entries[other].excess().total_cmp(&entries[one].excess()));
    for number in order {
        let entry = &mut entries[&number];
        let excess = entry.excess();
        if excess <= 0.0 || wanted <= 0.0 {
            break;
        }
        let rich = entry.work > entry.quota * SURPLUS_FACTOR + entry.deviation;
        let own = if rich { excess * SHED_PART } else { 0.0 };
        entry.surplus = own.max(excess.min(urgent)).min(wanted);
        wanted -= entry.surplus;
        urgent -= entry.surplus;
    }
}
