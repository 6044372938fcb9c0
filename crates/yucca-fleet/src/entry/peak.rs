//! Greatest recent value of a number.

use std::time;

/// Time that a value counts while only smaller ones follow.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Greatest recent value. An entry host that connects to control hosts which have just started learns
/// of the other entry hosts one after the other, although they all use their shares of a budget or
/// limit.
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
