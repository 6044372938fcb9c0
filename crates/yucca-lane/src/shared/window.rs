//! A retry budget that holds in every window of time, over all hosts together.
//!
//! Each host takes the part of the budget that its own requests earn, and an equal part of what is
//! allowed beyond. The sum over all hosts then holds without any message between them.

use std::collections::VecDeque;
use std::time;

/// Events are counted in steps of this part of the window.
const STEPS: u32 = 20;

/// The part of the allowed retries that is used; the rest covers requests that end near the edges
/// of the platform's own windows.
const USED_SHARE: f64 = 0.8;

/// What is allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// The length of the window.
    pub window: time::Duration,
    /// Retries for each request in the window.
    pub ratio: f64,
    /// Retries beyond that, over all hosts.
    pub extra: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The requests and repeats of one service at one host in the latest window.
#[derive(Debug, Clone)]
pub struct Window {
    config: Config,
    steps: VecDeque<Step>,
}

impl Window {
    /// Returns an empty window.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: time::Duration) {
        self.step(now).requests += 1;
    }

    /// Takes a repeat out of the budget, where there is one; `hosts` share the budget.
    pub fn try_retry(&mut self, hosts: usize, now: time::Duration) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let own = self.config.extra / hosts.max(1) as f64;
        let allowed = (self.config.ratio * f64::from(requests) + own) * USED_SHARE;
        let granted = f64::from(repeats) + 1.0 <= allowed;
        if granted {
            self.step(now).repeats += 1;
        }
        granted
    }

    /// Returns the present step, and forgets those that the window has left.
    fn step(&mut self, now: time::Duration) -> &mut Step {
        let length = self.config.window.max(time::Duration::from_millis(1)) / STEPS;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        while self
            .steps
            .front()
            .is_some_and(|step| step.number + u64::from(STEPS) < number)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step {
                number,
                ..Step::default()
            });
        }
        // There is a step at the back now.
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
