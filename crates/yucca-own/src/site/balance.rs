//! How much work each key brings and how fast each target is, as entry hosts measure it.
//!
//! Load pattern: targets of one service differ in speed by more than two, and a run of
//! neighbouring keys can get a third of the requests for some seconds. Shared out by number, slow
//! owners and owners of busy keys are overloaded while others idle. Shared out by work and speed,
//! all reach their limit together.

use std::time;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::site::{item, range, target};

/// The time over which demand is averaged. Over less, most of what is measured is chance: a target
/// of a large service gets five requests a second.
const DEMAND_SPAN: time::Duration = time::Duration::from_millis(4_000);

/// How much a new sample weighs in a target's mean time, for each request of it.
const SAMPLE_WEIGHT: f64 = 0.04;

/// The part of the demand that is presumed to be spread evenly, so that idle keys count, too.
const EVEN_SHARE: f64 = 0.25;

/// The presumed demand of a service without any, in requests a second over all keys.
const IDLE_RATE: f64 = 10.0;

/// A key that is asked for less often than this, in requests a second, is forgotten.
const FORGOTTEN_RATE: f64 = 0.01;

/// Demand is kept relative to a moment that is moved on after this time.
const REBASE_AFTER: time::Duration = time::Duration::from_secs(10);

/// The greatest difference in speed that is believed, either way.
const MAX_SPEED_RATIO: f64 = 3.0;

/// What one entry host has measured since its last report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests by service and key.
    pub demand: Vec<(item::Name, Vec<(u16, u32)>)>,
    /// Targets with the number of requests measured and their whole time in microseconds.
    pub times: Vec<(target::Number, u32, u64)>,
}

impl Report {
    /// Tells whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.demand.is_empty() && self.times.is_empty()
    }
}

/// The demand of one service. Rates grow with the time since `base` instead of all others being
/// decayed at each report.
#[derive(Debug, Clone, Default)]
struct Demand {
    /// Requests a second by key, as of `base`.
    rates: IndexMap<u16, f64>,
    base: time::Duration,
}

/// What was measured lately.
#[derive(Debug, Clone, Default)]
pub struct Balance {
    demand: IndexMap<item::Name, Demand>,
    /// The mean time of a request at each target, in seconds.
    times: IndexMap<target::Number, f64>,
}

impl Balance {
    /// Takes in a report.
    pub fn record_report(&mut self, report: &Report, now: time::Duration) {
        for (service, counts) in &report.demand {
            let demand = self.demand.entry(service.clone()).or_default();
            demand.add(counts, now);
        }
        for (number, count, micros) in &report.times {
            if *count > 0 {
                self.record_time(*number, *count, *micros);
            }
        }
    }

    fn record_time(&mut self, number: target::Number, count: u32, micros: u64) {
        let mean = micros as f64 / f64::from(count) / 1e6;
        let known = self.times.entry(number).or_insert(mean);
        let weight = (f64::from(count) * SAMPLE_WEIGHT).min(1.0);
        *known += (mean - *known) * weight;
    }

    /// Returns the scale on which a service's stripes are weighed.
    pub fn scale(&self, service: &item::Name, map: &range::Map, now: time::Duration) -> Scale {
        let mut stripes: IndexMap<u32, f64> = IndexMap::new();
        let mut asked = 0.0;
        if let Some(demand) = self.demand.get(service) {
            let kept = demand.kept(now);
            for (key, rate) in &demand.rates {
                *stripes.entry(map.stripe_of(*key)).or_default() += rate * kept;
                asked += rate * kept;
            }
        }
        for weight in stripes.values_mut() {
            *weight *= 1.0 - EVEN_SHARE;
        }
        let even = asked * EVEN_SHARE + IDLE_RATE;
        Scale {
            stripes,
            even: even / f64::from(range::KEYS),
            total: asked + IDLE_RATE,
        }
    }

    /// Returns the share of a service's work that each target should have.
    pub fn shares(&self, eligible: &[&target::Record]) -> IndexMap<target::Number, f64> {
        let mean = self.mean_time(eligible);
        let capacities: Vec<f64> = eligible
            .iter()
            .map(|kept| self.capacity(kept, mean))
            .collect();
        let all: f64 = capacities.iter().sum();
        let shares = eligible.iter().zip(capacities);
        shares
            .map(|(kept, capacity)| (kept.number, capacity / all))
            .collect()
    }

    fn capacity(&self, kept: &target::Record, mean: f64) -> f64 {
        let time = self.times.get(&kept.number).copied().unwrap_or(mean);
        let time = time.clamp(mean / MAX_SPEED_RATIO, mean * MAX_SPEED_RATIO);
        f64::from(kept.target.slots.max(1)) / time.max(1e-6)
    }

    fn mean_time(&self, eligible: &[&target::Record]) -> f64 {
        let known: Vec<f64> = eligible
            .iter()
            .filter_map(|kept| self.times.get(&kept.number).copied())
            .collect();
        if known.is_empty() {
            return 1.0;
        }
        known.iter().sum::<f64>() / known.len() as f64
    }
}

/// Weighs the stripes of one service by the work that they bring, in requests a second.
#[derive(Debug, Clone, Default)]
pub struct Scale {
    /// The part of each stripe's work that was measured.
    stripes: IndexMap<u32, f64>,
    /// The presumed part, for each key.
    even: f64,
    total: f64,
}

impl Scale {
    /// Returns the work of one stripe.
    pub fn weight(&self, map: &range::Map, stripe: u32) -> f64 {
        let keys = map.keys(stripe).len() as f64;
        self.measured(stripe) + self.even * keys
    }

    /// Returns the part of a stripe's work that was measured.
    pub fn measured(&self, stripe: u32) -> f64 {
        self.stripes.get(&stripe).copied().unwrap_or(0.0)
    }

    /// Returns how many requests so much work was measured by.
    pub fn requests(&self, measured: f64) -> f64 {
        measured * DEMAND_SPAN.as_secs_f64()
    }

    /// Returns the standard deviation of measured work: that of a count is its root.
    pub fn deviation(&self, measured: f64) -> f64 {
        measured / self.requests(measured).max(1.0).sqrt()
    }

    /// Returns the work of some stripes.
    pub fn sum(&self, map: &range::Map, stripes: impl Iterator<Item = u32>) -> f64 {
        stripes.map(|stripe| self.weight(map, stripe)).sum()
    }

    /// Returns the work of the whole service.
    pub fn total(&self) -> f64 {
        self.total
    }
}

impl Demand {
    /// Returns the part of a rate as of `base` that is left.
    fn kept(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.base).as_secs_f64();
        (-passed / DEMAND_SPAN.as_secs_f64()).exp()
    }

    fn add(&mut self, counts: &[(u16, u32)], now: time::Duration) {
        if now > self.base + REBASE_AFTER {
            self.rebase(now);
        }
        let scale = 1.0 / (DEMAND_SPAN.as_secs_f64() * self.kept(now));
        for (key, count) in counts {
            *self.rates.entry(*key).or_default() += f64::from(*count) * scale;
        }
    }

    fn rebase(&mut self, now: time::Duration) {
        let kept = self.kept(now);
        for rate in self.rates.values_mut() {
            *rate *= kept;
        }
        self.rates.retain(|_, rate| *rate > FORGOTTEN_RATE);
        self.base = now;
    }
}
