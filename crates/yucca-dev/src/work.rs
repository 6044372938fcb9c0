//! How long work takes: seeded service times with a heavy tail.

use std::time;

use rand::distr::Distribution as _;
use rand_distr::LogNormal;

/// A distribution of service times: log-normal, cut off at a longest time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Distribution {
    /// Half of all work takes less.
    pub median: time::Duration,
    /// The standard deviation of the time's natural logarithm; a larger one has a heavier tail.
    pub sigma: f64,
    /// No work takes longer.
    pub max: time::Duration,
}

impl Distribution {
    /// Draws one service time.
    pub fn sample<R: rand::Rng>(&self, rng: &mut R) -> time::Duration {
        let Ok(law) = LogNormal::new(self.median.as_secs_f64().ln(), self.sigma) else {
            return self.median;
        };
        let seconds = law.sample(rng).min(self.max.as_secs_f64());
        time::Duration::from_secs_f64(seconds)
    }

    /// Returns the mean service time, the cut-off left out of account.
    pub fn mean(&self) -> time::Duration {
        self.median.mul_f64((self.sigma * self.sigma / 2.0).exp())
    }
}

/// The service times of a service's work classes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Model {
    /// Of short work.
    pub short: Distribution,
    /// Of long work.
    pub long: Distribution,
}

/// How many times longer work takes at a target that has just started.
const COLD_FACTOR: f64 = 4.0;

/// Returns the factor by which work takes longer at a warmth from 0 (cold) to 1.
pub fn cold_factor(warm: f64) -> f64 {
    COLD_FACTOR - (COLD_FACTOR - 1.0) * warm.clamp(0.0, 1.0)
}
