//! Deadlines and timers.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;

use super::{Lane, Output, admit};
use crate::request;

/// Number of deviations above the mean service time after which an attempt is overdue.
const OVERDUE_DEVIATIONS: f64 = 8.0;

/// Minimum time after which an attempt is overdue, unless half of the time from its start to its
/// deadline is shorter.
const MIN_OVERDUE: Duration = Duration::from_millis(50);

impl Lane {
    /// Processes everything that is due by now.
    pub(super) fn expire(&mut self) {
        let now = self.now;
        self.ledger.expire(now);
        self.slots.grow(now);
        self.gaps.retain(|_, until| now < *until);
        if self.predecessor_until.is_some_and(|until| now >= until) {
            self.set_predecessor_slots(id::Slots(0), now);
        }
        self.release_abandoned();
        self.expire_permit_requests();
        self.expire_running();
        self.expire_waiting();
        self.expire_drain();
        self.evidence.update_frozen(now);
        if !self.is_closed() && self.evidence.dial_due(now) {
            self.outputs.push(Output::Dial);
        }
    }

    /// Returns the next time at which an attempt passes its deadline or becomes overdue.
    pub(super) fn next_attempt_event(&self) -> Option<Duration> {
        let running = self.running.iter().filter_map(|id| self.requests.get(id));
        let attempts = running.filter_map(|active| {
            let attempt = active.attempt()?;
            let deadline = (!attempt.aborted).then_some(active.arrival.deadline);
            let overdue = self.overdue_at(active, attempt);
            deadline.into_iter().chain(overdue).min()
        });
        let abandoned = self.abandoned.iter().map(|attempt| attempt.until);
        attempts.chain(abandoned).min()
    }

    /// Aborts overdue idempotent attempts after a new connection to the target succeeded: their own
    /// connections have stopped answering.
    pub(super) fn abort_overdue(&mut self) {
        let overdue: Vec<_> = self
            .running
            .iter()
            .copied()
            .filter(|id| self.is_overdue(*id))
            .collect();
        for id in overdue {
            self.abort(id);
        }
    }

    fn is_overdue(&self, id: id::Request) -> bool {
        let Some(active) = self.requests.get(&id) else {
            return false;
        };
        let overdue = active
            .attempt()
            .is_some_and(|attempt| attempt.overdue && !attempt.head_received);
        overdue && active.arrival.idempotent && active.attempts < self.config.retry.attempts
    }

    fn overdue_at(&self, active: &request::Active, attempt: &request::Attempt) -> Option<Duration> {
        if attempt.overdue || attempt.head_received || attempt.aborted {
            return None;
        }
        let usual = self
            .estimate(active.arrival.class)
            .upper(OVERDUE_DEVIATIONS)?;
        let half = attempt.deadline.saturating_sub(attempt.sent) / 2;
        let at = attempt.sent + usual.max(MIN_OVERDUE).min(half);
        Some(at)
    }

    fn release_abandoned(&mut self) {
        let now = self.now;
        let slots = &mut self.slots;
        self.abandoned.retain(|attempt| {
            let running = now < attempt.until;
            if !running {
                slots.release(attempt.class);
            }
            running
        });
    }

    fn expire_running(&mut self) {
        for at in 0..self.running.len() {
            if let Some(id) = self.running.get(at).copied() {
                self.expire_attempt(id);
            }
        }
    }

    fn expire_attempt(&mut self, id: id::Request) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let Some(attempt) = active.attempt() else {
            return;
        };
        if !attempt.aborted && self.now >= active.arrival.deadline {
            return self.give_up(id);
        }
        let overdue_at = self.overdue_at(active, attempt);
        if overdue_at.is_some_and(|at| self.now >= at) {
            self.mark_overdue(id);
        }
    }

    fn mark_overdue(&mut self, id: id::Request) {
        let active = self.requests.get_mut(&id);
        if let Some(attempt) = active.and_then(request::Active::attempt_mut) {
            attempt.overdue = true;
        }
        if self.evidence.record_unanswered(self.now) {
            self.outputs.push(Output::Dial);
        }
    }

    /// Refuses the caller of a running request whose deadline has passed, and aborts the attempt
    /// unless it continues for another caller.
    fn give_up(&mut self, id: id::Request) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let caller = active.arrival.caller;
        if active.awaited {
            let detail = format!("{} did not answer by the deadline", self.config.target);
            let kind = problem::Kind::DeadlineExceeded;
            self.refuse(id, caller, problem::Problem::unknown(kind, detail));
        }
        self.drop_first_caller(id);
        let expired = self
            .requests
            .get(&id)
            .is_some_and(|active| self.now >= active.arrival.deadline);
        if expired {
            self.abort(id);
        }
    }

    fn expire_waiting(&mut self) {
        while let Some(entry) = self.delayed.first().copied() {
            if entry.due > self.now {
                break;
            }
            self.unqueue(entry.id);
            let held = self.requests.get(&entry.id);
            let held = held.is_some_and(|active| self.is_held(&active.arrival));
            let phase = if held {
                request::Phase::Held
            } else {
                request::Phase::Queued
            };
            self.requeue(entry.id, phase);
        }
        while let Some(id) = self.expired() {
            let detail = format!(
                "the deadline passed while the request waited for {}",
                self.config.target
            );
            let kind = problem::Kind::DeadlineExceeded;
            let problem = problem::Problem::not_run(kind, detail);
            if let Some(active) = self.requests.get(&id) {
                let caller = active.arrival.caller;
                let problem = admit::adjust_outcome(problem, active.may_have_run);
                self.refuse(id, caller, problem);
            }
            self.drop_first_caller(id);
        }
    }

    /// Returns a waiting request whose deadline has passed.
    fn expired(&self) -> Option<id::Request> {
        let queues = [&self.short, &self.long, &self.held];
        let firsts = queues.iter().filter_map(|queue| queue.first());
        let mut due = firsts.filter(|entry| entry.due <= self.now);
        due.next().map(|entry| entry.id)
    }
}
