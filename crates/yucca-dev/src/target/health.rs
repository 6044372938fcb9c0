//! The health and load endpoints of a target, which lag behind or mislead.

use std::sync;
use std::time;

use serde::{Deserialize, Serialize};

/// What the endpoints say.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it claims to be healthy.
    pub healthy: bool,
    /// How many requests it claims to work on.
    pub running: usize,
    /// How many requests it claims to wait.
    pub waiting: usize,
}

/// What the endpoints said last.
#[derive(Debug)]
pub struct Health {
    lag: time::Duration,
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    misled: Option<Report>,
    seen: Option<Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    at: tokio::time::Instant,
    report: Report,
}

impl Health {
    /// Returns endpoints that take a new look only once the last is older than `lag`.
    pub fn new(lag: time::Duration) -> Self {
        Self {
            lag,
            state: sync::Mutex::default(),
        }
    }

    /// Sets what the endpoints say, whatever is true; none lets them tell.
    pub fn mislead(&self, report: Option<Report>) {
        self.lock().misled = report;
    }

    /// Returns what the endpoints say where `report` is true.
    pub fn tell(&self, report: Report) -> Report {
        let mut state = self.lock();
        if let Some(misled) = state.misled {
            return misled;
        }
        let now = tokio::time::Instant::now();
        match state.seen {
            Some(seen) if now - seen.at < self.lag => seen.report,
            _ => {
                state.seen = Some(Seen { at: now, report });
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
