//! A retry budget that holds in every time window for all hosts together.
//!
//! Each host uses the share of the budget that its own requests add, and an equal share of the
//! extra retries. The sum over all hosts then stays within the budget without communication.

use std::collections::VecDeque;
use std::time;

/// Number of steps into which the window is divided for counting.
const STEPS: u32 = 20;

/// Share of the allowed retries that is used. The rest covers requests that end near the edges of
/// the platform's own windows.
const USED_SHARE: f64 = 0.8;

/// Limits of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Length of the window.
    pub window: time::Duration,
    /// Number of retries for each request in the window.
    pub ratio: f64,
    /// Number of additional retries in the window, for all hosts together.
    pub extra: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at one host in the latest window.
#[derive(Debug, Clone)]
pub struct Window {
    config: Config,
    steps: VecDeque<Step>,
}

impl Window {
    /// Creates an empty window.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            steps: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: time::Duration) {
        self.step(now).requests += 1;
    }

    /// Takes one retry out of the budget, which `hosts` hosts share. Returns whether there was one.
    pub fn try_retry(&mut self, hosts: usize, now: time::Duration) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let extra = self.config.extra / hosts.max(1) as f64;
        let allowed = (self.config.ratio * f64::from(requests) + extra) * USED_SHARE;
        let granted = f64::from(retries) + 1.0 <= allowed;
        if granted {
            self.step(now).retries += 1;
        }
        granted
    }

    /// Returns the current step and removes steps that have left the window.
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
        // The last step exists: it was pushed above if needed.
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
