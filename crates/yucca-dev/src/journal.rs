//! Journal of all runs of requests at the mock targets.
//!
//! Tests and the fault API use it to find work that ran more than once, and keys whose requests ran
//! at two targets at the same time.

use std::collections::VecDeque;
use std::sync;
use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::Serialize;
use yucca_wire::id;

/// Maximum number of ids that are retained; the oldest is removed first.
const MAX_IDS: usize = 1 << 20;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// The run has not ended.
    Running,
    /// The work is done and was answered.
    Answered,
    /// The connection was closed or the stream reset before the work was done.
    Cancelled,
    /// The deadline passed before the work was done.
    Deadline,
}

/// One run of a request at a target.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// Target that runs the request.
    pub target: id::Target,
    /// Service of the target.
    pub service: id::Service,
    /// The key, for keyed services.
    pub key: Option<String>,
    /// Request id that the lane sent.
    pub request: Option<String>,
    /// Number of runs with that id so far, including this one.
    pub count: u32,
    /// Start time in microseconds since the Unix epoch.
    pub started_us: u64,
    /// End time in microseconds since the Unix epoch; `None` while the request runs.
    pub ended_us: Option<u64>,
    /// How the run ended.
    pub end: End,
    /// Whether another target ran a request for the same key at an overlapping time.
    pub overlap: bool,
}

/// Properties of a run that are known when it starts.
#[derive(Debug, Clone)]
pub struct Start {
    /// Target that runs the request.
    pub target: id::Target,
    /// Service of the target.
    pub service: id::Service,
    /// The key, for keyed services.
    pub key: Option<Bytes>,
    /// Request id that the lane sent.
    pub request: Option<String>,
    /// The value of the caller's `x-echo` header.
    pub echo: Option<String>,
    /// Whether the request is idempotent, so that repeated runs do no harm.
    pub idempotent: bool,
}

/// Sums over all runs so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Number of runs that started.
    pub runs: u64,
    /// Number of runs of non-idempotent requests whose id had run before.
    pub repeats: u64,
    /// Number of runs that started while another target ran a request for the same key.
    pub overlaps: u64,
}

/// Journal of runs.
#[derive(Debug, Default)]
pub struct Journal {
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    totals: Totals,
    counts: IndexMap<String, u32>,
    count_order: VecDeque<String>,
    runs: IndexMap<String, Vec<Run>>,
    run_order: VecDeque<String>,
    open: IndexMap<ServiceKey, Vec<OpenRun>>,
}

/// A key of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ServiceKey {
    service: id::Service,
    key: Bytes,
}

/// A run that has not ended.
#[derive(Debug, Clone)]
struct OpenRun {
    target: id::Target,
    location: Option<Location>,
}

/// Position of a recorded run in the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Location {
    echo: String,
    index: usize,
}

impl Journal {
    /// Records the start of a run.
    pub fn begin(self: &sync::Arc<Self>, start: Start) -> RunGuard {
        let mut state = lock(&self.state);
        state.totals.runs += 1;
        let count = state.count(start.request.as_deref());
        if count > 1 && !start.idempotent {
            state.totals.repeats += 1;
        }
        let service_key = start.key.clone().map(|key| ServiceKey {
            service: start.service.clone(),
            key,
        });
        let overlap = state.overlap(service_key.as_ref(), &start.target);
        let target = start.target.clone();
        let location = start.echo.clone().map(|echo| {
            let run = run(start, count, overlap);
            state.record(echo, run)
        });
        if let Some(service_key) = &service_key {
            let open = OpenRun {
                target: target.clone(),
                location: location.clone(),
            };
            state
                .open
                .entry(service_key.clone())
                .or_default()
                .push(open);
        }
        RunGuard {
            journal: self.clone(),
            service_key,
            target,
            location,
            count,
            end: End::Cancelled,
        }
    }

    /// Returns the runs of one `x-echo` id, oldest first.
    pub fn runs(&self, echo: &str) -> Vec<Run> {
        lock(&self.state)
            .runs
            .get(echo)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the sums over all runs so far.
    pub fn totals(&self) -> Totals {
        lock(&self.state).totals
    }
}

impl State {
    fn count(&mut self, request: Option<&str>) -> u32 {
        let Some(request) = request else {
            return 1;
        };
        if let Some(count) = self.counts.get_mut(request) {
            *count += 1;
            return *count;
        }
        self.counts.insert(request.into(), 1);
        self.count_order.push_back(request.into());
        if self.count_order.len() > MAX_IDS
            && let Some(oldest) = self.count_order.pop_front()
        {
            self.counts.swap_remove(&oldest);
        }
        1
    }

    fn overlap(&mut self, service_key: Option<&ServiceKey>, target: &id::Target) -> bool {
        let Some(open) = service_key.and_then(|service_key| self.open.get(service_key)) else {
            return false;
        };
        let others = open.iter().filter(|run| run.target != *target);
        let others: Vec<OpenRun> = others.cloned().collect();
        for location in others.iter().filter_map(|other| other.location.as_ref()) {
            if let Some(run) = self.run(location) {
                run.overlap = true;
            }
        }
        let found = !others.is_empty();
        self.totals.overlaps += u64::from(found);
        found
    }

    fn record(&mut self, echo: String, run: Run) -> Location {
        if !self.runs.contains_key(&echo) {
            self.run_order.push_back(echo.clone());
        }
        if self.run_order.len() > MAX_IDS
            && let Some(oldest) = self.run_order.pop_front()
        {
            self.runs.swap_remove(&oldest);
        }
        let runs = self.runs.entry(echo.clone()).or_default();
        runs.push(run);
        Location {
            echo,
            index: runs.len() - 1,
        }
    }

    fn run(&mut self, location: &Location) -> Option<&mut Run> {
        self.runs.get_mut(&location.echo)?.get_mut(location.index)
    }

    fn end(&mut self, active: &RunGuard) {
        if let Some(location) = &active.location
            && let Some(run) = self.run(location)
        {
            run.ended_us = Some(now_us());
            run.end = active.end;
        }
        let Some(service_key) = &active.service_key else {
            return;
        };
        let Some(open) = self.open.get_mut(service_key) else {
            return;
        };
        let same = |run: &OpenRun| run.target == active.target && run.location == active.location;
        if let Some(index) = open.iter().position(same) {
            open.swap_remove(index);
        }
        if open.is_empty() {
            self.open.swap_remove(service_key);
        }
    }
}

/// A run that has not ended. Dropping it records the end, as cancelled unless
/// [`RunGuard::finish`] was called.
#[derive(Debug)]
pub struct RunGuard {
    journal: sync::Arc<Journal>,
    service_key: Option<ServiceKey>,
    target: id::Target,
    location: Option<Location>,
    count: u32,
    end: End,
}

impl RunGuard {
    /// Returns the number of runs with the request's id so far, including this one.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Ends the run as `end` states.
    pub fn finish(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let journal = self.journal.clone();
        lock(&journal.state).end(self);
    }
}

fn run(start: Start, count: u32, overlap: bool) -> Run {
    Run {
        target: start.target,
        service: start.service,
        key: start
            .key
            .map(|key| String::from_utf8_lossy(&key).into_owned()),
        request: start.request,
        count,
        started_us: now_us(),
        ended_us: None,
        end: End::Running,
        overlap,
    }
}

fn now_us() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
