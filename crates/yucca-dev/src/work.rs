//! Seeded service times with a heavy tail.

use std::time;

use rand::distr::Distribution as _;
use rand_distr::LogNormal;

/// Log-normal distribution of service times, capped at a maximum.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Distribution {
    /// Median of the uncapped distribution.
    pub median: time::Duration,
    /// Standard deviation of the natural logarithm of the time. A larger value gives a heavier
    /// tail.
    pub sigma: f64,
    /// Maximum service time.
    pub max: time::Duration,
}

impl Distribution {
    /// Samples one service time.
    pub fn sample<R: rand::Rng>(&self, rng: &mut R) -> time::Duration {
        let Ok(distribution) = LogNormal::new(self.median.as_secs_f64().ln(), self.sigma) else {
            return self.median;
        };
        let seconds = distribution.sample(rng).min(self.max.as_secs_f64());
        time::Duration::from_secs_f64(seconds)
    }

    /// Returns the mean service time of the uncapped distribution.
    pub fn mean(&self) -> time::Duration {
        self.median.mul_f64((self.sigma * self.sigma / 2.0).exp())
    }
}

/// Service times of a service, by work class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Model {
    /// Service times of short work.
    pub short: Distribution,
    /// Service times of long work.
    pub long: Distribution,
}

/// Factor by which work takes longer on a target that has just started.
const COLD_FACTOR: f64 = 4.0;

/// Returns the factor by which work takes longer at a warmth from 0 (cold) to 1 (fully warm).
pub fn cold_factor(warm: f64) -> f64 {
    COLD_FACTOR - (COLD_FACTOR - 1.0) * warm.clamp(0.0, 1.0)
}
