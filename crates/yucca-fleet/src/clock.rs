//! Time since the process started, by the runtime's clock.

use std::future;
use std::time;

/// Clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: tokio::time::Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the time since the process started.
    pub fn now(&self) -> time::Duration {
        self.start.elapsed()
    }

    /// Waits until the time `at` since the process started, or for good if there is none.
    pub async fn sleep_until(&self, at: Option<time::Duration>) {
        match at {
            Some(at) => tokio::time::sleep_until(self.instant(at)).await,
            None => future::pending().await,
        }
    }

    /// Returns the instant at the time `at` since the process started.
    pub fn instant(&self, at: time::Duration) -> tokio::time::Instant {
        self.start + at
    }
}
