//! The time since the process started, by the runtime's clock.

use std::time;

/// The clock of a process.
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
    /// Returns the time since the start.
    pub fn now(&self) -> time::Duration {
        self.start.elapsed()
    }

    /// Returns the instant of a time since the start.
    pub fn instant(&self, at: time::Duration) -> tokio::time::Instant {
        self.start + at
    }
}
