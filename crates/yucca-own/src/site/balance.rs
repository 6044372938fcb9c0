//! How much work each stripe brings and how fast each target is, as entry hosts measure it.
//!
//! Load pattern: targets of one service differ in speed by more than two, and a run of
//! neighbouring keys can get a third of the requests for some seconds. Shared out by number, slow
//! owners and owners of busy keys are overloaded while others idle. Shared out by work and speed,
//! all reach their limit together.

use std::time;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::site::{item, range, target};

/// The time over which demand is averaged; busy keys change within a few seconds.
const DEMAND_SPAN: time::Duration = time::Duration::from_millis(2_500);

/// How much a new sample weighs in a target's mean time, for each request of it.
const SAMPLE_WEIGHT: f64 = 0.04;

/// The part of the demand that is presumed to be spread evenly, so that idle stripes count, too.
const EVEN_SHARE: f64 = 0.5;

/// The presumed demand of a service without any, in requests a second for each stripe.
const IDLE_RATE: f64 = 0.01;

/// The greatest difference in speed that is believed, either way.
const MAX_SPEED_RATIO: f64 = 3.0;

/// What one entry host has measured since its last report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests by service and stripe.
    pub demand: Vec<(item::Name, Vec<(u32, u32)>)>,
    /// Targets with the number of requests measured and their whole time in microseconds.
    pub times: Vec<(target::Number, u32, u64)>,
}

impl Report {
    /// Tells whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.demand.is_empty() && self.times.is_empty()
    }
}

/// The demand of one service.
#[derive(Debug, Clone, Default)]
struct Demand {
    /// Requests a second by stripe.
    rates: IndexMap<u32, f64>,
    total: f64,
    updated: time::Duration,
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
    pub fn note(&mut self, report: &Report, now: time::Duration) {
        for (service, counts) in &report.demand {
            let demand = self.demand.entry(service.clone()).or_default();
            demand.decay(now);
            for (stripe, count) in counts {
                demand.add(*stripe, f64::from(*count));
            }
        }
        for (number, count, micros) in &report.times {
            if *count > 0 {
                self.note_time(*number, *count, *micros);
            }
        }
    }

    fn note_time(&mut self, number: target::Number, count: u32, micros: u64) {
        let mean = micros as f64 / f64::from(count) / 1e6;
        let known = self.times.entry(number).or_insert(mean);
        let weight = (f64::from(count) * SAMPLE_WEIGHT).min(1.0);
        *known += (mean - *known) * weight;
    }

    /// Returns the scale on which a service's stripes are weighed.
    pub fn scale(&self, service: &item::Name, map: &range::Map) -> Scale<'_> {
        let demand = self.demand.get(service);
        let total = demand.map_or(0.0, |demand| demand.total);
        let count = f64::from(map.count().max(1));
        Scale {
            rates: demand.map(|demand| &demand.rates),
            even: total / count * EVEN_SHARE + IDLE_RATE,
            total: total + IDLE_RATE * count,
        }
    }

    /// Returns the share of a service's work that each target should have.
    pub fn shares(&self, eligible: &[&target::Kept]) -> IndexMap<target::Number, f64> {
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

    fn capacity(&self, kept: &target::Kept, mean: f64) -> f64 {
        let time = self.times.get(&kept.number).copied().unwrap_or(mean);
        let time = time.clamp(mean / MAX_SPEED_RATIO, mean * MAX_SPEED_RATIO);
        f64::from(kept.target.slots.max(1)) / time.max(1e-6)
    }

    fn mean_time(&self, eligible: &[&target::Kept]) -> f64 {
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
#[derive(Debug, Clone, Copy)]
pub struct Scale<'a> {
    rates: Option<&'a IndexMap<u32, f64>>,
    even: f64,
    total: f64,
}

impl Scale<'_> {
    /// Returns the work of one stripe.
    pub fn weight(&self, stripe: u32) -> f64 {
        let rate = self.rates.and_then(|rates| rates.get(&stripe));
        rate.copied().unwrap_or(0.0) * (1.0 - EVEN_SHARE) + self.even
    }

    /// Returns the work of some stripes.
    pub fn sum(&self, stripes: impl Iterator<Item = u32>) -> f64 {
        stripes.map(|stripe| self.weight(stripe)).sum()
    }

    /// Returns the work of the whole service.
    pub fn total(&self) -> f64 {
        self.total
    }
}

impl Demand {
    fn decay(&mut self, now: time::Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let kept = (-passed / DEMAND_SPAN.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            *rate *= kept;
        }
        self.rates.retain(|_, rate| *rate > IDLE_RATE);
        self.total *= kept;
    }

    fn add(&mut self, stripe: u32, count: f64) {
        let rate = count / DEMAND_SPAN.as_secs_f64();
        *self.rates.entry(stripe).or_default() += rate;
        self.total += rate;
    }
}
