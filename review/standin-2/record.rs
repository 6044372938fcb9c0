//! The record of a run: what was sent, answered and run.

use std::fs;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A record file, with the time since the start before each line.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(fs::File::create(path)?),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = lock(&self.file);
        // A lost line does not change the result.
        writeln!(file, "{at:8.3} {text}").ok();
    }

    /// Writes a line here and to the output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Locks a mutex, also if another holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
