//! Health and load endpoints of a target, whose reports are old or, on demand, false.

use std::sync;
use std::time;

use serde::{Deserialize, Serialize};

/// Report of the health and load endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the target reports that it is healthy.
    pub healthy: bool,
    /// Reported number of running requests.
    pub running: usize,
    /// Reported number of waiting requests.
    pub waiting: usize,
}

/// State of the health and load endpoints.
#[derive(Debug)]
pub struct Health {
    lag: time::Duration,
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    false_report: Option<Report>,
    cached: Option<Cached>,
}

#[derive(Debug, Clone, Copy)]
struct Cached {
    at: tokio::time::Instant,
    report: Report,
}

impl Health {
    /// Creates endpoints that repeat a report until it is older than `lag`.
    pub fn new(lag: time::Duration) -> Self {
        Self {
            lag,
            state: sync::Mutex::default(),
        }
    }

    /// Sets a false report for the endpoints. `None` restores true reports.
    pub fn mislead(&self, report: Option<Report>) {
        self.lock().false_report = report;
    }

    /// Returns the report that the endpoints send: the false one if set, else the last true one
    /// until it is older than the lag, else `report`, which is true now.
    pub fn report(&self, report: Report) -> Report {
        let mut state = self.lock();
        if let Some(false_report) = state.false_report {
            return false_report;
        }
        let now = tokio::time::Instant::now();
        match state.cached {
            Some(cached) if now - cached.at < self.lag => cached.report,
            _ => {
                state.cached = Some(Cached { at: now, report });
                report
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
