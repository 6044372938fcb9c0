//! Greatest recent value of a number.

use std::time;

/// Time that a value counts while only smaller ones follow.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Greatest recent value. An entry host that loses its connections knows of few other hosts,
/// although they still use their shares of the retry budget.
#[derive(Debug, Clone, Copy, Default)]
pub struct Peak {
    value: usize,
    at: time::Duration,
}

impl Peak {
    /// Records a value and returns the greatest recent one.
    pub fn record(&mut self, value: usize, now: time::Duration) -> usize {
        if value >= self.value || now > self.at + RETENTION {
            self.value = value;
            self.at = now;
        }
        self.value
    }
}
