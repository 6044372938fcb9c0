//! Online estimates of service times.

use std::time::Duration;

/// How much a new sample weighs in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// How much a new sample weighs in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 16.0;

/// How many samples make an estimate; with fewer there is none.
const ENOUGH_SAMPLES: u32 = 8;

/// The mean service time of a work class and its mean absolute deviation.
///
/// With few samples it gives no estimate, so that a cold lane refuses nothing by it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Estimate {
    /// Takes in a measured service time.
    pub fn sample(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        let warming = 1.0 / f64::from(self.samples);
        let error = seconds - self.mean;
        self.mean += error * warming.max(MEAN_WEIGHT);
        self.deviation += (error.abs() - self.deviation) * warming.max(DEVIATION_WEIGHT);
    }

    /// Takes in several service times by their mean, as another host measured them.
    pub fn batch(&mut self, count: u32, mean: Duration) {
        let seconds = mean.as_secs_f64();
        self.samples = self.samples.saturating_add(count);
        let warming = f64::from(count) / f64::from(self.samples.max(1));
        let settled = 1.0 - (1.0 - MEAN_WEIGHT).powf(f64::from(count));
        self.mean += (seconds - self.mean) * warming.max(settled);
    }

    /// Returns the mean as far as it is known: with few samples it is drawn towards `typical`.
    pub fn mean_or(&self, typical: Duration) -> Duration {
        let known = f64::from(self.samples.min(ENOUGH_SAMPLES)) / f64::from(ENOUGH_SAMPLES);
        let seconds = self.mean * known + typical.as_secs_f64() * (1.0 - known);
        Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Returns the mean service time, once there are enough samples.
    pub fn mean(&self) -> Option<Duration> {
        let enough = self.samples >= ENOUGH_SAMPLES;
        enough.then(|| Duration::from_secs_f64(self.mean.max(0.0)))
    }

    /// Returns the mean plus so many deviations, once there are enough samples.
    pub fn upper(&self, deviations: f64) -> Option<Duration> {
        let seconds = self.mean + deviations * self.deviation;
        let enough = self.samples >= ENOUGH_SAMPLES;
        enough.then(|| Duration::from_secs_f64(seconds.max(0.0)))
    }
}

/// The time over which a level is averaged.
const LEVEL_SPAN: Duration = Duration::from_secs(1);

/// A number that changes in steps, averaged over recent time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Level {
    average: f64,
    updated: Duration,
}

impl Level {
    /// Takes in that the number was `value` since the last update.
    pub fn update(&mut self, value: f64, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let weight = passed / (passed + LEVEL_SPAN.as_secs_f64());
        self.average += (value - self.average) * weight;
    }

    /// Returns the average.
    pub fn average(&self) -> f64 {
        self.average
    }
}
