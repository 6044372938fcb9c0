//! Counts and latencies of the requests of a run.

use std::sync;
use std::time;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;

use super::client;
use super::trace;

/// Number of significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum latency of the histograms, in microseconds. Longer latencies count as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Outcome of a request, as seen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered within the deadline.
    InTime,
    /// Refused and not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
    /// No complete response within the deadline.
    Late,
    /// Any other failure.
    Failed,
}

impl Outcome {
    /// Returns the outcome for a response or error; `None` means that the deadline passed first.
    pub fn of(answer: Option<&Result<client::Reply, client::Error>>) -> Self {
        match answer {
            None => Self::Late,
            Some(Err(_)) => Self::Failed,
            Some(Ok(reply)) => match reply.outcome {
                _ if (200..300).contains(&reply.status) => Self::InTime,
                Some(problem::Outcome::NotRun) => Self::NotRun,
                Some(problem::Outcome::Unknown) => Self::Unknown,
                Some(problem::Outcome::Ran) | None => Self::Failed,
            },
        }
    }
}

/// A kind of work: a work class of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Kind {
    /// The service.
    pub service: id::Service,
    /// The work class.
    pub class: table::Class,
}

/// Counts and latencies of one kind of work.
#[derive(Debug, Clone, Default)]
pub struct Row {
    /// Requests that arrived and have ended.
    pub arrived: u64,
    /// Requests answered within the deadline.
    pub in_time: u64,
    /// Requests refused and not run.
    pub not_run: u64,
    /// Requests of which it is unknown whether they ran.
    pub unknown: u64,
    /// Requests without a complete response within the deadline.
    pub late: u64,
    /// Requests that failed in any other way.
    pub failed: u64,
    /// Time from arrival to the complete response, in microseconds, of requests answered in time.
    pub latency: Option<Histogram<u64>>,
    /// Latency less the target's service time, in microseconds, of requests answered in time.
    pub overhead: Option<Histogram<u64>>,
}

/// Demand and completed work in one second of the run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    /// Requests that arrived in this second.
    pub arrived: u64,
    /// Number of those that were answered within the deadline.
    pub in_time: u64,
    /// Work that arrived, in slot-microseconds.
    pub demand_us: u64,
    /// Work of the requests answered within the deadline, in slot-microseconds.
    pub done_us: u64,
}

/// Requests for one key and the targets that answered them.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Number of requests answered within the deadline.
    pub answered: u64,
    /// Number of times that the answering target changed.
    pub changes: u64,
    /// Target that answered the latest arrival.
    owner: Option<id::Target>,
    /// Arrival time of the latest request that was answered.
    last_arrival: time::Duration,
    /// Arrival times of requests that were not answered in time.
    failed: Vec<time::Duration>,
    /// Arrival times of requests that were answered in time.
    served: Vec<time::Duration>,
}

/// A key of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// The service.
    pub service: id::Service,
    /// Number of the key.
    pub key: u64,
}

/// Collects the outcomes of all requests of a run.
#[derive(Debug, Default)]
pub struct Tally {
    state: sync::Mutex<Totals>,
}

/// Totals of a run.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    /// Counts and latencies by kind of work.
    pub rows: IndexMap<Kind, Row>,
    /// Seconds of the run by kind of work, indexed by second of arrival.
    pub seconds: IndexMap<Kind, Vec<Second>>,
    /// History by key.
    pub keys: IndexMap<Key, History>,
}

impl Tally {
    /// Adds a request that has ended. `target` is the target that answered it, if known.
    pub fn add(
        &self,
        arrival: &trace::Arrival,
        latency: time::Duration,
        outcome: Outcome,
        target: Option<&id::Target>,
    ) {
        let kind = Kind {
            service: arrival.service.clone(),
            class: arrival.class,
        };
        let mut state = self.lock();
        let row = state.rows.entry(kind.clone()).or_default();
        row.add(arrival, latency, outcome);
        let seconds = state.seconds.entry(kind).or_default();
        let index = arrival.at.as_secs() as usize;
        if seconds.len() <= index {
            seconds.resize(index + 1, Second::default());
        }
        seconds[index].add(arrival, outcome);
        if let Some(key) = arrival.key {
            let service = arrival.service.clone();
            let entry = state.keys.entry(Key { service, key }).or_default();
            entry.add(arrival.at, outcome, target);
        }
    }

    /// Returns a copy of the totals so far.
    pub fn totals(&self) -> Totals {
        self.lock().clone()
    }

    /// Returns the number of requests that have ended, and the number of those answered in time.
    pub fn progress(&self) -> (u64, u64) {
        let state = self.lock();
        let ended = state.rows.values().map(|row| row.arrived).sum();
        let in_time = state.rows.values().map(|row| row.in_time).sum();
        (ended, in_time)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Totals> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Row {
    fn add(&mut self, arrival: &trace::Arrival, latency: time::Duration, outcome: Outcome) {
        self.arrived += 1;
        match outcome {
            Outcome::InTime => self.in_time += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Late => self.late += 1,
            Outcome::Failed => self.failed += 1,
        }
        if outcome == Outcome::InTime {
            record(&mut self.latency, latency);
            record(&mut self.overhead, latency.saturating_sub(arrival.work));
        }
    }

    /// Returns a quantile (0 to 1) of the latency in milliseconds, or NaN if no request was
    /// answered in time.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        quantile_ms(self.latency.as_ref(), quantile)
    }

    /// Returns a quantile of the latency less the target's service time, in milliseconds.
    pub fn overhead_ms(&self, quantile: f64) -> f64 {
        quantile_ms(self.overhead.as_ref(), quantile)
    }
}

fn record(histogram: &mut Option<Histogram<u64>>, value: time::Duration) {
    if histogram.is_none() {
        *histogram = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok();
    }
    if let Some(histogram) = histogram {
        histogram.saturating_record(value.as_micros() as u64);
    }
}

fn quantile_ms(histogram: Option<&Histogram<u64>>, quantile: f64) -> f64 {
    histogram.map_or(f64::NAN, |histogram| {
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    })
}

impl Second {
    fn add(&mut self, arrival: &trace::Arrival, outcome: Outcome) {
        let work = arrival.work.as_micros() as u64;
        self.arrived += 1;
        self.demand_us += work;
        if outcome == Outcome::InTime {
            self.in_time += 1;
            self.done_us += work;
        }
    }
}

impl History {
    fn add(&mut self, at: time::Duration, outcome: Outcome, target: Option<&id::Target>) {
        if outcome != Outcome::InTime {
            self.failed.push(at);
            return;
        }
        self.served.push(at);
        self.answered += 1;
        // Requests may end out of order. Only a request that arrived later than the latest one so
        // far shows a change of owner.
        if at < self.last_arrival {
            return;
        }
        self.last_arrival = at;
        if self.owner.is_some() && self.owner.as_ref() != target {
            self.changes += 1;
        }
        self.owner = target.cloned();
    }

    /// Returns the total time during which the key was unavailable: from the arrival of a failed
    /// request to the next arrival that was answered in time, or to `end`, the end of the run.
    pub fn unavailable(&self, end: time::Duration) -> time::Duration {
        let mut failed = self.failed.clone();
        failed.sort_unstable();
        let mut served = self.served.clone();
        served.sort_unstable();
        let mut total = time::Duration::ZERO;
        let mut until = time::Duration::ZERO;
        for at in failed {
            if at < until {
                continue;
            }
            let next = served.partition_point(|other| *other <= at);
            until = served.get(next).copied().unwrap_or(end);
            total += until.saturating_sub(at);
        }
        total
    }
}
