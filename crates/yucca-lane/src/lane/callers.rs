//! Several callers of one request id, and callers that disconnect.

use yucca_wire::id;
use yucca_wire::problem;

use super::{Lane, Output, admit};
use crate::request;

impl Lane {
    pub(super) fn cancel(&mut self, id: id::Request, caller: request::Caller) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(at) = active.attached.iter().position(|one| one.caller == caller) {
            let removed = active.attached.remove(at);
            self.waiting_bytes = self.waiting_bytes.saturating_sub(removed.bytes);
            return;
        }
        if active.arrival.caller == caller {
            self.drop_first_caller(id);
        }
    }

    /// Replaces the first caller by the next caller of the same id, or drops the request if there
    /// is none.
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
                self.requeue_for(id, next, phase);
            }
            (Some(attempt), Some(next)) if !attempt.head_received => {
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

    /// Removes and returns the next caller of an id whose deadline has not passed. Callers before
    /// it are refused.
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
            let may_have_run = active.may_have_run || active.attempt().is_some();
            self.waiting_bytes = self.waiting_bytes.saturating_sub(next.bytes);
            let detail = format!("the deadline passed at {}", self.config.target);
            let kind = problem::Kind::DeadlineExceeded;
            let problem = problem::Problem::not_run(kind, detail);
            let problem = admit::adjust_outcome(problem, may_have_run || next.may_have_run());
            self.refuse(id, next.caller, problem);
        }
    }

    /// Refuses every caller of a waiting request and removes it.
    pub(super) fn refuse_waiting(&mut self, id: id::Request, problem: &problem::Problem) {
        self.unqueue(id);
        self.withdraw(id);
        self.refuse_all(id, problem);
    }

    /// Refuses every caller that still waits for a request and removes it.
    pub(super) fn refuse_all(&mut self, id: id::Request, problem: &problem::Problem) {
        let Some(active) = self.requests.swap_remove(&id) else {
            return;
        };
        let problem = admit::adjust_outcome(problem.clone(), active.may_have_run);
        if active.awaited {
            self.refuse(id, active.arrival.caller, problem.clone());
        }
        for attached in active.attached {
            self.waiting_bytes = self.waiting_bytes.saturating_sub(attached.bytes);
            self.refuse(id, attached.caller, problem.clone());
        }
    }

    pub(super) fn replay_attached(&mut self, id: id::Request, outcome: request::Outcome) {
        let Some(active) = self.requests.swap_remove(&id) else {
            return;
        };
        for attached in active.attached {
            self.waiting_bytes = self.waiting_bytes.saturating_sub(attached.bytes);
            self.outputs.push(Output::Replay {
                id,
                caller: attached.caller,
                outcome,
            });
        }
    }

    /// Admits an idempotent request again for its remaining callers.
    pub(super) fn run_attached(&mut self, id: id::Request) {
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

    /// Queues a request again for its next caller, or removes it if there is none. The request must
    /// not be in a queue.
    fn requeue_for(
        &mut self,
        id: id::Request,
        next: Option<request::Arrival>,
        phase: request::Phase,
    ) {
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
}
