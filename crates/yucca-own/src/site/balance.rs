//! Work of each key and speed of each target, as measured by the entry hosts.
//!
//! Load pattern: targets of one service differ in speed by a factor of more than two, and a run of
//! neighbouring keys can get a third of the requests for some seconds. If each target has the same
//! number of keys, slow owners and owners of busy keys are overloaded while others are idle. If keys
//! are distributed by work and speed, all targets reach their limit together.

use std::time;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::site::{item, range, target};

/// Time over which demand is averaged. Over a shorter time the measurement is mostly noise: a target
/// of a large service gets five requests per second.
const DEMAND_WINDOW: time::Duration = time::Duration::from_millis(4_000);

/// Weight of a new sample in a target's mean time, per request in the sample.
const SAMPLE_WEIGHT: f64 = 0.04;

/// Fraction of the demand that is assumed to be evenly distributed, so that idle keys count, too.
const UNIFORM_FRACTION: f64 = 0.25;

/// Assumed base demand of a service, in requests per second over all keys.
const BASE_RATE: f64 = 10.0;

/// The demand of a key below this rate, in requests per second, is dropped.
const MIN_KEY_RATE: f64 = 0.01;

/// Rates are stored as of a base time, which is moved forward after this time. This limits the
/// factor by which new requests are scaled up.
const REBASE_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Maximum factor by which a target counts as faster or slower than the mean.
const MAX_SPEED_RATIO: f64 = 3.0;

/// Measurements of one entry host since its last report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests by service and key.
    pub demand: Vec<(item::Name, Vec<(u16, u32)>)>,
    /// Targets with the number of measured requests and their total time in microseconds.
    pub times: Vec<(target::Number, u32, u64)>,
}

impl Report {
    /// Returns whether there are no measurements.
    pub fn is_empty(&self) -> bool {
        self.demand.is_empty() && self.times.is_empty()
    }
}

/// Demand of one service. New requests are scaled up by the time since `base`, so that the other
/// rates need not be decayed at each report.
#[derive(Debug, Clone, Default)]
struct Demand {
    /// Requests per second by key, as of `base`.
    rates: IndexMap<u16, f64>,
    base: time::Duration,
}

/// Recent measurements of all services.
#[derive(Debug, Clone, Default)]
pub struct Balance {
    demand: IndexMap<item::Name, Demand>,
    /// Mean time of a request at each target, in seconds.
    times: IndexMap<target::Number, f64>,
}

impl Balance {
    /// Records a report.
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

    /// Returns the weights of a service's stripes.
    pub fn scale(&self, service: &item::Name, map: &range::Map, now: time::Duration) -> Scale {
        let mut stripes: IndexMap<u32, f64> = IndexMap::new();
        let mut measured = 0.0;
        if let Some(demand) = self.demand.get(service) {
            let decay = demand.decay(now);
            for (key, rate) in &demand.rates {
                *stripes.entry(map.stripe_of(*key)).or_default() += rate * decay;
                measured += rate * decay;
            }
        }
        for weight in stripes.values_mut() {
            *weight *= 1.0 - UNIFORM_FRACTION;
        }
        let uniform = measured * UNIFORM_FRACTION + BASE_RATE;
        Scale {
            stripes,
            per_key: uniform / f64::from(range::KEYS),
            total: measured + BASE_RATE,
        }
    }

    /// Returns the share of a service's work that each target should have.
    pub fn shares(&self, eligible: &[&target::Record]) -> IndexMap<target::Number, f64> {
        let mean = self.mean_time(eligible);
        let capacities: Vec<f64> = eligible
            .iter()
            .map(|record| self.capacity(record, mean))
            .collect();
        let all: f64 = capacities.iter().sum();
        let shares = eligible.iter().zip(capacities);
        shares
            .map(|(record, capacity)| (record.number, capacity / all))
            .collect()
    }

    fn capacity(&self, record: &target::Record, mean: f64) -> f64 {
        let time = self.times.get(&record.number).copied().unwrap_or(mean);
        let time = time.clamp(mean / MAX_SPEED_RATIO, mean * MAX_SPEED_RATIO);
        f64::from(record.target.slots.max(1)) / time.max(1e-6)
    }

    fn mean_time(&self, eligible: &[&target::Record]) -> f64 {
        let known: Vec<f64> = eligible
            .iter()
            .filter_map(|record| self.times.get(&record.number).copied())
            .collect();
        if known.is_empty() {
            return 1.0;
        }
        known.iter().sum::<f64>() / known.len() as f64
    }
}

/// Weights of the stripes of one service: their work in requests per second.
#[derive(Debug, Clone, Default)]
pub struct Scale {
    /// Measured part of the work, by stripe.
    stripes: IndexMap<u32, f64>,
    /// Assumed part of the work of each key.
    per_key: f64,
    total: f64,
}

impl Scale {
    /// Returns the work of one stripe.
    pub fn weight(&self, map: &range::Map, stripe: u32) -> f64 {
        let keys = map.keys(stripe).len() as f64;
        self.measured(stripe) + self.per_key * keys
    }

    /// Returns the part of a stripe's work that was measured.
    pub fn measured(&self, stripe: u32) -> f64 {
        self.stripes.get(&stripe).copied().unwrap_or(0.0)
    }

    /// Returns the number of requests by which an amount of work was measured.
    pub fn requests(&self, measured: f64) -> f64 {
        measured * DEMAND_WINDOW.as_secs_f64()
    }

    /// Returns the standard deviation of measured work. That of a count is its square root.
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
    /// Returns the factor by which rates as of `base` have decayed.
    fn decay(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.base).as_secs_f64();
        (-passed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn add(&mut self, counts: &[(u16, u32)], now: time::Duration) {
        if now > self.base + REBASE_INTERVAL {
            self.rebase(now);
        }
        let scale = 1.0 / (DEMAND_WINDOW.as_secs_f64() * self.decay(now));
        for (key, count) in counts {
            *self.rates.entry(*key).or_default() += f64::from(*count) * scale;
        }
    }

    fn rebase(&mut self, now: time::Duration) {
        let decay = self.decay(now);
        for rate in self.rates.values_mut() {
            *rate *= decay;
        }
        self.rates.retain(|_, rate| *rate > MIN_KEY_RATE);
        self.base = now;
    }
}
