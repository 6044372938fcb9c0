//! Running estimates of service times.

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of a new sample in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 16.0;

/// Minimum number of samples for an estimate.
const MIN_SAMPLES: u32 = 8;

/// Mean service time and its mean absolute deviation.
///
/// With too few samples there is no estimate, so that a new lane refuses nothing because of it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Estimate {
    /// Adds a measured service time.
    pub fn record(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        let initial_weight = 1.0 / f64::from(self.samples);
        let error = seconds - self.mean;
        self.mean += error * initial_weight.max(MEAN_WEIGHT);
        self.deviation += (error.abs() - self.deviation) * initial_weight.max(DEVIATION_WEIGHT);
    }

    /// Adds `count` service times with the given mean, measured by another host.
    pub fn record_batch(&mut self, count: u32, mean: Duration) {
        let seconds = mean.as_secs_f64();
        self.samples = self.samples.saturating_add(count);
        let initial_weight = f64::from(count) / f64::from(self.samples.max(1));
        let batch_weight = 1.0 - (1.0 - MEAN_WEIGHT).powf(f64::from(count));
        self.mean += (seconds - self.mean) * initial_weight.max(batch_weight);
    }

    /// Returns the mean, weighted towards `typical` while there are few samples.
    pub fn mean_or(&self, typical: Duration) -> Duration {
        let known = f64::from(self.samples.min(MIN_SAMPLES)) / f64::from(MIN_SAMPLES);
        let seconds = self.mean * known + typical.as_secs_f64() * (1.0 - known);
        Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Returns the mean service time if there are enough samples.
    pub fn mean(&self) -> Option<Duration> {
        let enough = self.samples >= MIN_SAMPLES;
        enough.then(|| Duration::from_secs_f64(self.mean.max(0.0)))
    }

    /// Returns the mean plus a number of deviations if there are enough samples.
    pub fn upper(&self, deviations: f64) -> Option<Duration> {
        let seconds = self.mean + deviations * self.deviation;
        let enough = self.samples >= MIN_SAMPLES;
        enough.then(|| Duration::from_secs_f64(seconds.max(0.0)))
    }
}

/// Time constant of the average.
const AVERAGE_WINDOW: Duration = Duration::from_secs(1);

/// Moving average of a value that changes in steps, over about the last second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Average {
    average: f64,
    updated: Duration,
}

impl Average {
    /// Records that the value was `value` since the last update.
    pub fn update(&mut self, value: f64, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let weight = passed / (passed + AVERAGE_WINDOW.as_secs_f64());
        self.average += (value - self.average) * weight;
    }

    /// Returns the average.
    pub fn average(&self) -> f64 {
        self.average
    }
}
