//! How an attempt ends and what becomes of its request.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::unit;

use super::{Lane, Output, admit};
use crate::ledger;
use crate::request;

/// The first pause before a refused request is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// The longest pause before a refused request is tried again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Lane {
    pub(super) fn headed(&mut self, id: id::Request, attempt: u32, status: request::Status) {
        let Some(active) = self.running_attempt(id, attempt) else {
            return;
        };
        let caller = active.arrival.caller;
        let awaited = active.awaited;
        let Some(running) = active.attempt_mut() else {
            return;
        };
        if running.headed || running.aborted {
            return;
        }
        running.headed = true;
        if awaited {
            active.awaited = false;
            self.out.push(Output::Deliver { id, caller });
        }
        self.target_answered();
        self.settle(id, ledger::State::Answered(status));
    }

    pub(super) fn answered(
        &mut self,
        id: id::Request,
        attempt: u32,
        result: Result<request::Status, request::Failure>,
    ) {
        let Some(active) = self.running_attempt(id, attempt) else {
            return;
        };
        let Some(ended) = active.attempt().copied() else {
            return;
        };
        self.running.retain(|running| *running != id);
        self.free_slot(id, &ended, result);
        match result {
            Ok(status) => self.succeed(id, &ended, status),
            Err(failure) => self.fail(id, &ended, failure),
        }
    }

    pub(super) fn cancel(&mut self, id: id::Request, caller: request::Caller) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(at) = active.attached.iter().position(|one| one.caller == caller) {
            let gone = active.attached.remove(at);
            self.waiting_bytes = self.waiting_bytes.saturating_sub(gone.bytes);
            return;
        }
        if active.arrival.caller == caller {
            self.drop_first_caller(id);
        }
    }

    /// Goes on with the next caller of the same id, or gives the request up where there is none.
    pub(super) fn drop_first_caller(&mut self, id: id::Request) {
        let next = self.next_caller(id);
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = active.attempt().copied();
        match (attempt, next) {
            (None, next) => {
                let phase = active.phase;
                self.unqueue(id);
                self.wait_for(id, next, phase);
            }
            (Some(attempt), Some(next)) if !attempt.headed => {
                self.waiting_bytes = self.waiting_bytes.saturating_sub(next.bytes);
                active.arrival = next;
                active.awaited = true;
            }
            (Some(attempt), next) => {
                active.awaited = false;
                if let Some(next) = next {
                    active.attached.insert(0, next);
                } else if !attempt.aborted {
                    self.abort(id);
                }
            }
        }
    }

    /// Takes out the next caller of an id whose deadline has not passed, and answers the others.
    fn next_caller(&mut self, id: id::Request) -> Option<request::Arrival> {
        loop {
            let active = self.requests.get_mut(&id)?;
            if active.attached.is_empty() {
                return None;
            }
            let next = active.attached.remove(0);
            if next.deadline > self.now {
                return Some(next);
            }
            let doubt = active.doubt || active.attempt().is_some();
            self.waiting_bytes = self.waiting_bytes.saturating_sub(next.bytes);
            let detail = format!("the deadline passed at {}", self.config.target);
            let kind = problem::Kind::DeadlineExceeded;
            let problem = problem::Problem::not_run(kind, detail);
            let problem = admit::doubted(problem, doubt || next.is_doubtful());
            self.refuse(id, next.caller, problem);
        }
    }

    /// Answers every caller of a waiting request and forgets it.
    pub(super) fn refuse_waiting(&mut self, id: id::Request, problem: &problem::Problem) {
        self.unqueue(id);
        self.withdraw(id);
        self.refuse_all(id, problem);
    }

    /// Answers every caller that still waits for a request and forgets it.
    pub(super) fn refuse_all(&mut self, id: id::Request, problem: &problem::Problem) {
        let Some(active) = self.requests.swap_remove(&id) else {
            return;
        };
        let problem = admit::doubted(problem.clone(), active.doubt);
        if active.awaited {
            self.refuse(id, active.arrival.caller, problem.clone());
        }
        for attached in active.attached {
            self.waiting_bytes = self.waiting_bytes.saturating_sub(attached.bytes);
            self.refuse(id, attached.caller, problem.clone());
        }
    }

    pub(super) fn abort(&mut self, id: id::Request) {
        let attempt = self
            .requests
            .get_mut(&id)
            .and_then(request::Active::attempt_mut);
        if let Some(attempt) = attempt
            && !attempt.aborted
        {
            attempt.aborted = true;
            self.out.push(Output::Abort { id });
        }
    }

    pub(super) fn target_alive(&mut self) {
        self.evidence.alive(self.now);
        self.abort_overdue();
    }

    fn target_answered(&mut self) {
        self.evidence.alive(self.now);
    }

    fn running_attempt(&mut self, id: id::Request, attempt: u32) -> Option<&mut request::Active> {
        let active = self.requests.get_mut(&id)?;
        let current = active.attempts == attempt && active.attempt().is_some();
        current.then_some(active)
    }

    /// Gives the slot of an attempt back, or keeps it while the target may still work on it.
    fn free_slot(
        &mut self,
        id: id::Request,
        ended: &request::Attempt,
        result: Result<request::Status, request::Failure>,
    ) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let lost = matches!(
            result,
            Err(request::Failure::Lost | request::Failure::Timeout)
        );
        let class = active.arrival.class;
        if lost && !self.config.stops_on_close && self.now < ended.deadline {
            self.ghosts.push(request::Ghost {
                class,
                shard: active.arrival.shard,
                key: active.arrival.key.clone(),
                until: ended.deadline,
            });
        } else {
            self.slots.give_back(class);
        }
    }

    fn succeed(&mut self, id: id::Request, ended: &request::Attempt, status: request::Status) {
        self.target_answered();
        self.budget.earn();
        let time = self.now.saturating_sub(ended.sent);
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        match active.arrival.class {
            yucca_wire::table::Class::Short => self.short_time.sample(time),
            yucca_wire::table::Class::Long => self.long_time.sample(time),
        }
        if active.awaited {
            let caller = active.arrival.caller;
            self.out.push(Output::Deliver { id, caller });
        }
        if active.arrival.idempotent {
            self.run_attached(id);
        } else {
            self.settle(id, ledger::State::Answered(status));
            self.replay_attached(id, request::Kept::Answered(status));
        }
    }

    fn fail(&mut self, id: id::Request, ended: &request::Attempt, failure: request::Failure) {
        self.weigh(ended, failure);
        if let Some(active) = self.requests.get_mut(&id) {
            active.doubt |= !failure.not_run();
        }
        if ended.headed {
            return self.end_cut_short(id);
        }
        if self.may_retry(id, failure) {
            return self.retry(id, failure);
        }
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let idempotent = active.arrival.idempotent;
        if failure.not_run() {
            self.withdraw(id);
        } else if !idempotent {
            self.settle(id, ledger::State::Unknown);
        }
        let problem = self.failure_problem(failure);
        self.refuse_all(id, &problem);
    }

    /// Takes a failure as evidence about the target.
    fn weigh(&mut self, ended: &request::Attempt, failure: request::Failure) {
        match failure {
            request::Failure::Refused => self.target_answered(),
            request::Failure::Shed { retry_after } => {
                self.target_answered();
                self.slots.shed(retry_after, self.now);
            }
            _ if ended.aborted && !ended.overdue => {}
            _ => {
                if self.evidence.failed(self.now) {
                    self.out.push(Output::Dial);
                }
            }
        }
    }

    /// The caller has the head already; the process cuts its answer short.
    fn end_cut_short(&mut self, id: id::Request) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        if active.arrival.idempotent {
            return self.run_attached(id);
        }
        let state = self.ledger.get(id).map(|entry| entry.state);
        let kept = match state {
            Some(ledger::State::Answered(status)) => request::Kept::Answered(status),
            _ => request::Kept::Unknown,
        };
        self.replay_attached(id, kept);
    }

    fn may_retry(&mut self, id: id::Request, failure: request::Failure) -> bool {
        let Some(active) = self.requests.get(&id) else {
            return false;
        };
        let harmless = active.arrival.idempotent || failure.not_run();
        let wanted = active.awaited && active.attempts < self.config.retry.attempts;
        let in_time = self.now < active.arrival.deadline;
        if !harmless || !wanted || !in_time || self.is_closed() {
            return false;
        }
        failure == request::Failure::ConnectFailed || self.budget.spend()
    }

    fn retry(&mut self, id: id::Request, failure: request::Failure) {
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

    fn retry_pause(&mut self, attempts: u32) -> Duration {
        let doubled = RETRY_PAUSE.saturating_mul(1 << attempts.saturating_sub(1).min(6));
        let longest = doubled.min(MAX_RETRY_PAUSE);
        longest.mul_f64(0.5 + 0.5 * self.next_random())
    }

    fn failure_problem(&self, failure: request::Failure) -> problem::Problem {
        let target = &self.config.target;
        match failure {
            request::Failure::Refused => {
                let detail = format!("{target} refused it before running it");
                problem::Problem::not_run(problem::Kind::TargetRefused, detail)
            }
            request::Failure::Shed { retry_after } => {
                let detail = format!("{target} has too much work and refused it");
                let problem = problem::Problem::not_run(problem::Kind::TargetRefused, detail);
                problem.retry_after(unit::Span(retry_after))
            }
            request::Failure::ConnectFailed => {
                let detail = format!("no connection to {target} was had");
                problem::Problem::not_run(problem::Kind::NoOwner, detail)
            }
            request::Failure::Lost => {
                let detail =
                    format!("the connection to {target} was lost after the request was sent");
                problem::Problem::unknown(problem::Kind::TargetLost, detail)
            }
            request::Failure::Timeout => {
                let detail = format!("{target} did not answer by the deadline");
                problem::Problem::unknown(problem::Kind::DeadlineExceeded, detail)
            }
        }
    }

    fn replay_attached(&mut self, id: id::Request, kept: request::Kept) {
        let Some(active) = self.requests.swap_remove(&id) else {
            return;
        };
        for attached in active.attached {
            self.waiting_bytes = self.waiting_bytes.saturating_sub(attached.bytes);
            self.out.push(Output::Replay {
                id,
                caller: attached.caller,
                kept,
            });
        }
    }

    /// Runs idempotent work again for the next caller of the same id.
    fn run_attached(&mut self, id: id::Request) {
        let Some(mut active) = self.requests.swap_remove(&id) else {
            return;
        };
        if active.attached.is_empty() {
            return;
        }
        let next = active.attached.remove(0);
        self.waiting_bytes = self.waiting_bytes.saturating_sub(next.bytes);
        self.arrive(next);
        for attached in active.attached {
            self.waiting_bytes = self.waiting_bytes.saturating_sub(attached.bytes);
            self.arrive(attached);
        }
    }

    /// Puts a request that is in no queue back for its next caller, or forgets it.
    fn wait_for(&mut self, id: id::Request, next: Option<request::Arrival>, phase: request::Phase) {
        match (next, self.requests.get_mut(&id)) {
            (Some(next), Some(active)) => {
                self.waiting_bytes = self.waiting_bytes.saturating_sub(next.bytes);
                active.arrival = next;
                active.awaited = true;
                self.requeue(id, phase);
            }
            _ => {
                self.withdraw(id);
                self.requests.swap_remove(&id);
            }
        }
    }

    /// Returns the next of a fixed sequence of numbers from 0 to 1.
    fn next_random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.random;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
        (bits >> 11) as f64 / (1u64 << 53) as f64
    }
}
