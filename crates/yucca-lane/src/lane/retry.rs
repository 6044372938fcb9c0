//! Retries of failed attempts.

use std::time::Duration;

use yucca_wire::id;

use super::Lane;
use crate::request;

/// Maximum pause before the first retry of a request that did not run.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Maximum pause before any retry of a request that did not run.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Lane {
    /// Returns whether a failed request is retried. If so, takes one retry out of the budget, except
    /// after a failed connection.
    pub(super) fn may_retry(&mut self, id: id::Request, failure: request::Failure) -> bool {
        let Some(active) = self.requests.get(&id) else {
            return false;
        };
        let safe = active.arrival.idempotent || failure.not_run();
        let wanted = active.awaited && active.attempts < self.config.retry.attempts;
        let in_time = self.now < active.arrival.deadline;
        if !safe || !wanted || !in_time || self.is_closed() {
            return false;
        }
        failure == request::Failure::ConnectFailed || self.budget.spend()
    }

    pub(super) fn retry(&mut self, id: id::Request, failure: request::Failure) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let attempts = active.attempts;
        let arrival = active.arrival.clone();
        let room = match self.not_owned(&arrival) {
            Some(problem) => Err(problem),
            None => self.make_space(&arrival),
        };
        if let Err(problem) = room {
            self.withdraw(id);
            return self.refuse_all(id, &problem);
        }
        let phase = if self.is_held(&arrival) {
            request::Phase::Held
        } else if failure.not_run() {
            let until = self.now + self.retry_pause(attempts);
            request::Phase::Delayed(until.min(arrival.deadline))
        } else {
            request::Phase::Queued
        };
        self.requeue(id, phase);
    }

    /// Returns the pause before the next retry. Its maximum doubles with each attempt, up to
    /// [`MAX_RETRY_PAUSE`]; the pause is a random value from half of the maximum to the maximum.
    fn retry_pause(&mut self, attempts: u32) -> Duration {
        let doubled = RETRY_PAUSE.saturating_mul(1 << attempts.saturating_sub(1).min(6));
        let longest = doubled.min(MAX_RETRY_PAUSE);
        longest.mul_f64(0.5 + 0.5 * self.next_random())
    }

    /// Returns the next pseudo-random number from 0 (inclusive) to 1 (exclusive).
    fn next_random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.random_state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
        (bits >> 11) as f64 / (1u64 << 53) as f64
    }
}
