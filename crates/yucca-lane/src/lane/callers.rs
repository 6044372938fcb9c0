//! Several callers of one id, and callers that hang up.

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

    pub(super) fn replay_attached(&mut self, id: id::Request, outcome: request::Outcome) {
        let Some(active) = self.requests.swap_remove(&id) else {
            return;
        };
        for attached in active.attached {
            self.waiting_bytes = self.waiting_bytes.saturating_sub(attached.bytes);
            self.out.push(Output::Replay {
                id,
                caller: attached.caller,
                outcome,
            });
        }
    }

    /// Runs idempotent work again for the next caller of the same id.
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
}
