//! Ends of attempts and their effect on the request.

use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::unit;

use super::{Lane, Output};
use crate::ledger;
use crate::request;

impl Lane {
    pub(super) fn head_received(&mut self, id: id::Request, attempt: u32, status: request::Status) {
        let Some(active) = self.running_attempt(id, attempt) else {
            return;
        };
        let caller = active.arrival.caller;
        let awaited = active.awaited;
        let Some(running) = active.attempt_mut() else {
            return;
        };
        if running.head_received || running.aborted {
            return;
        }
        running.head_received = true;
        if awaited {
            active.awaited = false;
            self.outputs.push(Output::Deliver { id, caller });
        }
        self.target_answered();
        self.settle(id, ledger::State::Answered(status));
    }

    pub(super) fn attempt_ended(
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

    pub(super) fn abort(&mut self, id: id::Request) {
        let attempt = self
            .requests
            .get_mut(&id)
            .and_then(request::Active::attempt_mut);
        if let Some(attempt) = attempt
            && !attempt.aborted
        {
            attempt.aborted = true;
            self.outputs.push(Output::Abort { id });
        }
    }

    pub(super) fn target_alive(&mut self) {
        self.evidence.record_connection(self.now);
        self.abort_overdue();
    }

    fn target_answered(&mut self) {
        self.evidence.record_answer(self.now);
    }

    fn running_attempt(&mut self, id: id::Request, attempt: u32) -> Option<&mut request::Active> {
        let active = self.requests.get_mut(&id)?;
        let current = active.attempts == attempt && active.attempt().is_some();
        current.then_some(active)
    }

    /// Releases the slot of an ended attempt, or keeps it occupied while the target may still
    /// process the request.
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
            self.abandoned.push(request::Abandoned {
                class,
                shard: active.arrival.shard,
                key: active.arrival.key.clone(),
                until: ended.deadline,
            });
        } else {
            self.slots.release(class);
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
            yucca_wire::table::Class::Short => self.short_times.record(time),
            yucca_wire::table::Class::Long => self.long_times.record(time),
        }
        if active.awaited {
            let caller = active.arrival.caller;
            self.outputs.push(Output::Deliver { id, caller });
        }
        if active.arrival.idempotent {
            self.run_attached(id);
        } else {
            self.settle(id, ledger::State::Answered(status));
            self.replay_attached(id, request::Outcome::Answered(status));
        }
    }

    fn fail(&mut self, id: id::Request, ended: &request::Attempt, failure: request::Failure) {
        self.record_failure(ended, failure);
        if let Some(active) = self.requests.get_mut(&id) {
            active.may_have_run |= !failure.not_run();
        }
        if ended.head_received {
            return self.end_truncated(id);
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

    /// Records a failure as evidence about the target.
    fn record_failure(&mut self, ended: &request::Attempt, failure: request::Failure) {
        match failure {
            request::Failure::Refused => self.target_answered(),
            request::Failure::Shed { retry_after } => {
                self.target_answered();
                self.slots.record_shed(retry_after, self.now);
            }
            _ if ended.aborted && !ended.overdue => {}
            _ => {
                if self.evidence.record_failure(self.now) {
                    self.outputs.push(Output::Dial);
                }
            }
        }
    }

    /// Ends a request whose answer broke off after its head was delivered: the process truncates
    /// the caller's answer.
    fn end_truncated(&mut self, id: id::Request) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        if active.arrival.idempotent {
            return self.run_attached(id);
        }
        let state = self.ledger.get(id).map(|entry| entry.state);
        let outcome = match state {
            Some(ledger::State::Answered(status)) => request::Outcome::Answered(status),
            _ => request::Outcome::Unknown,
        };
        self.replay_attached(id, outcome);
    }

    fn failure_problem(&self, failure: request::Failure) -> problem::Problem {
        let target = &self.config.target;
        match failure {
            request::Failure::Refused => {
                let detail = format!("{target} refused the request before running it");
                problem::Problem::not_run(problem::Kind::TargetRefused, detail)
            }
            request::Failure::Shed { retry_after } => {
                let detail = format!("{target} is overloaded and refused the request");
                let problem = problem::Problem::not_run(problem::Kind::TargetRefused, detail);
                problem.retry_after(unit::Span(retry_after))
            }
            request::Failure::ConnectFailed => {
                let detail = format!("could not connect to {target}");
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
}
