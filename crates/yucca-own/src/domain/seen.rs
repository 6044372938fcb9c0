//! Rates of work that fade, as the leader of a domain keeps them.

use std::time;

/// An exponentially fading sum of work.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Fading {
    sum: f32,
    at: time::Duration,
}

impl Fading {
    /// Adds work, in slot-microseconds.
    pub(super) fn add(&mut self, work: u64, now: time::Duration, window: time::Duration) {
        self.sum = self.faded(now, window) + work as f32;
        self.at = now;
    }

    /// Returns the rate of work, in slot-microseconds a second.
    pub(super) fn rate(&self, now: time::Duration, window: time::Duration) -> f32 {
        self.faded(now, window) / window.as_secs_f32()
    }

    fn faded(&self, now: time::Duration, window: time::Duration) -> f32 {
        let passed = now.saturating_sub(self.at).as_secs_f32();
        self.sum * (-passed / window.as_secs_f32()).exp()
    }
}
