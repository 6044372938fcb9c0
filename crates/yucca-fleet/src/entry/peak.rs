//! The greatest of a number's recent values.

use std::time;

/// How long a value counts after a smaller one has followed it.
const MEMORY: time::Duration = time::Duration::from_secs(60);

/// The greatest recent value. A host that is cut off sees few others, yet they all go on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Peak {
    value: usize,
    at: time::Duration,
}

impl Peak {
    /// Takes in a value and returns the greatest recent one.
    pub fn note(&mut self, value: usize, now: time::Duration) -> usize {
        if value >= self.value || now > self.at + MEMORY {
            self.value = value;
            self.at = now;
        }
        self.value
    }
}
