//! What became of the requests of a run.

use std::sync;
use std::time;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;

use super::client;
use super::trace;

/// The significant digits of the histograms.
const DIGITS: u8 = 3;

/// The longest latency that the histograms tell apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// What became of a request, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered within the deadline.
    InTime,
    /// Refused, and not run.
    NotRun,
    /// Perhaps run.
    Unknown,
    /// No whole answer within the deadline.
    Late,
    /// Another failure.
    Failed,
}

impl Outcome {
    /// Reads an answer, or its lack.
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

/// One kind of work: a class of a service.
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
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests answered within the deadline.
    pub in_time: u64,
    /// Requests refused and not run.
    pub not_run: u64,
    /// Requests that perhaps ran.
    pub unknown: u64,
    /// Requests without a whole answer within the deadline.
    pub late: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// From arrival to the whole answer, in microseconds, for requests answered in time.
    pub latency: Option<Histogram<u64>>,
    /// The same less the target's work.
    pub overhead: Option<Histogram<u64>>,
}

/// Demand and success in one second of the run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    /// Requests that arrived.
    pub arrived: u64,
    /// Those answered within the deadline.
    pub in_time: u64,
    /// The work that arrived, in slot-microseconds.
    pub demand_us: u64,
    /// The work answered within the deadline, in slot-microseconds.
    pub done_us: u64,
}

/// What happened to one key.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Requests for it that were answered.
    pub answered: u64,
    /// How often another target than the last answered.
    pub changes: u64,
    /// The target that answered last, and the arrival of its request.
    owner: Option<id::Target>,
    newest: time::Duration,
    /// The arrivals of requests that were not answered in time.
    lost: Vec<time::Duration>,
    /// The arrivals of requests that were.
    served: Vec<time::Duration>,
}

/// A key of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// The service.
    pub service: id::Service,
    /// The number of the key.
    pub key: u64,
}

/// What became of all requests of a run.
#[derive(Debug, Default)]
pub struct Tally {
    state: sync::Mutex<Totals>,
}

/// The counts of a run.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    /// By kind of work.
    pub rows: IndexMap<Kind, Row>,
    /// By kind of work, its seconds.
    pub seconds: IndexMap<Kind, Vec<Second>>,
    /// By key.
    pub keys: IndexMap<Key, History>,
}

impl Tally {
    /// Takes in one request.
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

    /// Returns the counts so far.
    pub fn totals(&self) -> Totals {
        self.lock().clone()
    }

    /// Returns how many requests came to an end so far, and how many of them in time.
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

    /// Returns a quantile of the latency, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        quantile_ms(self.latency.as_ref(), quantile)
    }

    /// Returns a quantile of the latency less the target's work, in milliseconds.
    pub fn overhead_ms(&self, quantile: f64) -> f64 {
        quantile_ms(self.overhead.as_ref(), quantile)
    }
}

fn record(histogram: &mut Option<Histogram<u64>>, value: time::Duration) {
    if histogram.is_none() {
        *histogram = Histogram::new_with_max(LONGEST_US, DIGITS).ok();
    }
    if let Some(histogram) = histogram {
        histogram.saturating_record(value.as_micros() as u64);
    }
}

fn quantile_ms(histogram: Option<&Histogram<u64>>, quantile: f64) -> f64 {
    histogram.map_or(f64::NAN, |found| {
        found.value_at_quantile(quantile) as f64 / 1000.0
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
            self.lost.push(at);
            return;
        }
        self.served.push(at);
        self.answered += 1;
        // Requests end in another order than they arrive; only a newer arrival tells of a change.
        if at < self.newest {
            return;
        }
        self.newest = at;
        if self.owner.is_some() && self.owner.as_ref() != target {
            self.changes += 1;
        }
        self.owner = target.cloned();
    }

    /// Returns for how long the key was not served: from the arrival of each request that failed
    /// to the next that was answered in time, or to the end of the run.
    pub fn unavailable(&self, end: time::Duration) -> time::Duration {
        let mut lost = self.lost.clone();
        lost.sort_unstable();
        let mut served = self.served.clone();
        served.sort_unstable();
        let mut total = time::Duration::ZERO;
        let mut until = time::Duration::ZERO;
        for at in lost {
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
