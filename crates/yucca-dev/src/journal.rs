//! The record of every run of every request at the stand-in targets.
//!
//! Tests and the faults address read from it whether work ran more than once, or one key at two
//! targets at once.

use std::collections::VecDeque;
use std::sync;
use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::Serialize;
use yucca_wire::id;

/// The most ids that are remembered; the oldest is forgotten first.
const MAX_IDS: usize = 1 << 20;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// It has not ended.
    Running,
    /// It ended and was answered.
    Answered,
    /// The sender hung up.
    Cancelled,
    /// Its deadline passed.
    Deadline,
}

/// One run of a request at a target.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// The target.
    pub target: id::Target,
    /// The service.
    pub service: id::Service,
    /// The key, for services divided by key.
    pub key: Option<String>,
    /// The id under which it was sent.
    pub request: Option<String>,
    /// How often that id has run, this run included.
    pub count: u32,
    /// When it started, in microseconds since the Unix epoch.
    pub started_us: u64,
    /// When it ended, in microseconds since the Unix epoch.
    pub ended_us: Option<u64>,
    /// How it ended.
    pub end: End,
    /// Whether another target ran the same key at an overlapping time.
    pub overlap: bool,
}

/// What is known of a run when it starts.
#[derive(Debug, Clone)]
pub struct Start {
    /// The target.
    pub target: id::Target,
    /// The service.
    pub service: id::Service,
    /// The key, for services divided by key.
    pub key: Option<Bytes>,
    /// The id under which it was sent.
    pub request: Option<String>,
    /// The value of the caller's `x-echo` header.
    pub echo: Option<String>,
    /// Whether running it again does no harm.
    pub idempotent: bool,
}

/// Sums over all runs so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Runs that started.
    pub runs: u64,
    /// Runs of non-idempotent work whose id had run before.
    pub repeats: u64,
    /// Runs that started while another target ran the same key.
    pub overlaps: u64,
}

/// The record of runs.
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
    live: IndexMap<Owned, Vec<Live>>,
}

/// A key of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Owned {
    service: id::Service,
    key: Bytes,
}

/// A run that has not ended.
#[derive(Debug, Clone)]
struct Live {
    target: id::Target,
    record: Option<Record>,
}

/// Where a run is recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Record {
    echo: String,
    index: usize,
}

impl Journal {
    /// Records the start of a run.
    pub fn begin(self: &sync::Arc<Self>, start: Start) -> Active {
        let mut state = lock(&self.state);
        state.totals.runs += 1;
        let count = state.count(start.request.as_deref());
        if count > 1 && !start.idempotent {
            state.totals.repeats += 1;
        }
        let owned = start.key.clone().map(|key| Owned {
            service: start.service.clone(),
            key,
        });
        let overlap = state.overlap(owned.as_ref(), &start.target);
        let target = start.target.clone();
        let record = start.echo.clone().map(|echo| {
            let run = run(start, count, overlap);
            state.record(echo, run)
        });
        if let Some(owned) = &owned {
            let live = Live {
                target: target.clone(),
                record: record.clone(),
            };
            state.live.entry(owned.clone()).or_default().push(live);
        }
        Active {
            journal: self.clone(),
            owned,
            target,
            record,
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

    /// Returns the sums over all runs.
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

    fn overlap(&mut self, owned: Option<&Owned>, target: &id::Target) -> bool {
        let Some(live) = owned.and_then(|owned| self.live.get(owned)) else {
            return false;
        };
        let others = live.iter().filter(|run| run.target != *target);
        let others: Vec<Live> = others.cloned().collect();
        for record in others.iter().filter_map(|other| other.record.as_ref()) {
            if let Some(run) = self.run(record) {
                run.overlap = true;
            }
        }
        let found = !others.is_empty();
        self.totals.overlaps += u64::from(found);
        found
    }

    fn record(&mut self, echo: String, run: Run) -> Record {
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
        Record {
            echo,
            index: runs.len() - 1,
        }
    }

    fn run(&mut self, record: &Record) -> Option<&mut Run> {
        self.runs.get_mut(&record.echo)?.get_mut(record.index)
    }

    fn end(&mut self, active: &Active) {
        if let Some(record) = &active.record
            && let Some(run) = self.run(record)
        {
            run.ended_us = Some(now_us());
            run.end = active.end;
        }
        let Some(owned) = &active.owned else {
            return;
        };
        let Some(live) = self.live.get_mut(owned) else {
            return;
        };
        let same = |run: &Live| run.target == active.target && run.record == active.record;
        if let Some(index) = live.iter().position(same) {
            live.swap_remove(index);
        }
        if live.is_empty() {
            self.live.swap_remove(owned);
        }
    }
}

/// A run that has not ended; its drop records the end.
#[derive(Debug)]
pub struct Active {
    journal: sync::Arc<Journal>,
    owned: Option<Owned>,
    target: id::Target,
    record: Option<Record>,
    count: u32,
    end: End,
}

impl Active {
    /// Returns how often the request's id has run, this run included.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Ends the run.
    pub fn finish(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Active {
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
