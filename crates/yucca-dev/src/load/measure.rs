//! Measures of a run: imbalance, churn, unavailable time, and service while demand exceeds
//! capacity.

use std::time;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::table;

use super::tally;
use crate::fleet;

/// Seconds in an hour.
const HOUR: f64 = 3600.0;

/// Capacity of a target: slot-microseconds of work per second, with 3 slots.
const TARGET_WORK_US: u64 = 3_000_000;

/// How unevenly work is spread over the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Imbalance {
    /// Coefficient of variation of the work per target; mean over the windows.
    pub variation: f64,
    /// Largest work of a target divided by the mean; mean over the windows.
    pub peak: f64,
}

/// Returns the imbalance of each service.
///
/// Each sample holds the cumulative work of all targets, in the same order; a window lies between
/// two consecutive samples. Windows without work are left out.
pub fn imbalance(samples: &[Vec<fleet::Listing>]) -> IndexMap<id::Service, Imbalance> {
    let mut windows: IndexMap<id::Service, Vec<Imbalance>> = IndexMap::new();
    for pair in samples.windows(2) {
        for (service, work) in work_done(&pair[0], &pair[1]) {
            if let Some(imbalance) = window_imbalance(&work) {
                windows.entry(service).or_default().push(imbalance);
            }
        }
    }
    let services = windows.into_iter();
    services
        .map(|(service, all)| (service, mean(&all)))
        .collect()
}

fn work_done(
    before: &[fleet::Listing],
    after: &[fleet::Listing],
) -> IndexMap<id::Service, Vec<f64>> {
    let mut work: IndexMap<id::Service, Vec<f64>> = IndexMap::new();
    for (old, new) in before.iter().zip(after) {
        let done = new.work_us.saturating_sub(old.work_us) as f64;
        work.entry(new.service.clone()).or_default().push(done);
    }
    work
}

fn window_imbalance(work: &[f64]) -> Option<Imbalance> {
    let count = work.len() as f64;
    let mean = work.iter().sum::<f64>() / count;
    if mean.is_nan() || mean <= 0.0 {
        return None;
    }
    let squares = work.iter().map(|done| (done - mean).powi(2));
    let variance = squares.sum::<f64>() / count;
    let largest = work.iter().copied().fold(0.0, f64::max);
    Some(Imbalance {
        variation: variance.sqrt() / mean,
        peak: largest / mean,
    })
}

fn mean(windows: &[Imbalance]) -> Imbalance {
    let count = windows.len() as f64;
    Imbalance {
        variation: windows.iter().map(|one| one.variation).sum::<f64>() / count,
        peak: windows.iter().map(|one| one.peak).sum::<f64>() / count,
    }
}

/// Returns the churn: owner changes per key and hour, weighted by the number of answered requests
/// for the key.
pub fn churn(totals: &tally::Totals, length: time::Duration) -> f64 {
    let keys = totals.keys.values();
    let answered: u64 = keys.clone().map(|key| key.answered).sum();
    let changed: u64 = keys.map(|key| key.answered * key.changes).sum();
    if answered == 0 {
        return 0.0;
    }
    changed as f64 / answered as f64 * HOUR / length.as_secs_f64()
}

/// Returns the unavailable time of all keys, in key-seconds per hour.
pub fn unavailable(totals: &tally::Totals, length: time::Duration) -> f64 {
    let keys = totals.keys.values();
    let seconds: f64 = keys.map(|key| key.unavailable(length).as_secs_f64()).sum();
    seconds * HOUR / length.as_secs_f64()
}

/// Service of one kind of work in the seconds in which the demand on its service exceeds capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Crest {
    /// Number of those seconds.
    pub seconds: u64,
    /// Share of the requests that were answered in time.
    pub in_time: f64,
    /// Work answered in time, divided by the sum over those seconds of the lesser of this kind's
    /// demand and the capacity.
    pub goodput: f64,
}

/// Returns the service at demand above capacity, by kind of work.
///
/// Capacity is counted from `targets`.
pub fn crest(totals: &tally::Totals, targets: &[fleet::Listing]) -> IndexMap<tally::Kind, Crest> {
    let mut crests = IndexMap::new();
    for kind in totals.rows.keys() {
        let serving = targets.iter().filter(|one| one.service == kind.service);
        let capacity_us = serving.count() as u64 * TARGET_WORK_US;
        crests.insert(kind.clone(), crest_of(totals, kind, capacity_us));
    }
    crests
}

fn crest_of(totals: &tally::Totals, kind: &tally::Kind, capacity_us: u64) -> Crest {
    let none = Vec::new();
    let kind_seconds = totals.seconds.get(kind).unwrap_or(&none);
    let mut sum = tally::Second::default();
    let mut achievable_us = 0;
    let mut seconds = 0;
    for (index, second) in kind_seconds.iter().enumerate() {
        if demand_us(totals, &kind.service, index) <= capacity_us {
            continue;
        }
        seconds += 1;
        sum.arrived += second.arrived;
        sum.in_time += second.in_time;
        sum.done_us += second.done_us;
        achievable_us += second.demand_us.min(capacity_us);
    }
    Crest {
        seconds,
        in_time: share(sum.in_time, sum.arrived),
        goodput: share(sum.done_us, achievable_us),
    }
}

/// Returns the demand on a service, summed over its work classes, in one second of the run.
fn demand_us(totals: &tally::Totals, service: &id::Service, second: usize) -> u64 {
    let classes = [table::Class::Short, table::Class::Long];
    let kinds = classes.map(|class| tally::Kind {
        service: service.clone(),
        class,
    });
    let seconds = kinds.iter().filter_map(|kind| totals.seconds.get(kind));
    let demands = seconds.filter_map(|seconds| seconds.get(second));
    demands.map(|second| second.demand_us).sum()
}

/// Returns `part` divided by `whole`, or NaN if `whole` is 0.
pub fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return f64::NAN;
    }
    part as f64 / whole as f64
}
