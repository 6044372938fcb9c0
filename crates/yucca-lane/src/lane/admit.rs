//! Admission of requests.

use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;

use super::{Lane, Output, Place};
use crate::evidence;
use crate::ledger;
use crate::owners;
use crate::queue;
use crate::request;

/// Maximum number of further arrivals with the same id that wait for the answer to one request.
const MAX_ATTACHED: usize = 8;

impl Lane {
    pub(super) fn arrive(&mut self, arrival: request::Arrival) {
        if self.requests.contains_key(&arrival.id) {
            return self.attach(arrival);
        }
        if let Some(entry) = self.ledger.get(arrival.id) {
            return self.replay(&arrival, &entry);
        }
        if let Some(host) = self.handed_to.clone() {
            return self.outputs.push(Output::Forward {
                id: arrival.id,
                caller: arrival.caller,
                to: Place::Host(host),
            });
        }
        if self.may_be_in_gap(&arrival) {
            return self.outputs.push(Output::Replay {
                id: arrival.id,
                caller: arrival.caller,
                outcome: request::Outcome::Unknown,
            });
        }
        if let Some(problem) = self.rejection(&arrival) {
            return self.refuse_arrival(&arrival, problem);
        }
        if self.is_held(&arrival) {
            return self.admit_held(arrival);
        }
        match self.make_room(&arrival) {
            Ok(()) => self.admit(arrival, request::Phase::Queued),
            Err(problem) => self.refuse_arrival(&arrival, problem),
        }
    }

    /// Adds a request to the queue of its phase.
    pub(super) fn admit(&mut self, arrival: request::Arrival, phase: request::Phase) {
        let id = arrival.id;
        self.next_order += 1;
        self.waiting_bytes += arrival.bytes;
        self.waiting_ledger += usize::from(!arrival.idempotent);
        let active = request::Active {
            awaited: true,
            order: self.next_order,
            attempts: 0,
            may_have_run: arrival.may_have_run(),
            phase,
            permit: request::Permit::None,
            attached: Vec::new(),
            arrival,
        };
        let entry = queue_entry(&active);
        let class = active.arrival.class;
        self.requests.insert(id, active);
        match phase {
            request::Phase::Held => self.held.insert(entry),
            _ => self.queue_of(class).insert(entry),
        }
    }

    /// Answers a caller with a problem instead of an answer from the target.
    pub(super) fn refuse(
        &mut self,
        id: id::Request,
        caller: request::Caller,
        problem: problem::Problem,
    ) {
        self.outputs.push(Output::Refuse {
            id,
            caller,
            problem,
        });
    }

    fn refuse_arrival(&mut self, arrival: &request::Arrival, problem: problem::Problem) {
        let problem = adjust_outcome(problem, arrival.may_have_run());
        self.refuse(arrival.id, arrival.caller, problem);
    }

    /// Returns whether a request must wait because its shard or pin moves, or because the grace
    /// period of the draining target is over.
    pub(super) fn is_held(&self, arrival: &request::Arrival) -> bool {
        if !self.config.keyed {
            return false;
        }
        let state = self.owner_state(arrival);
        let moving = matches!(state, Some(owners::State::Moving | owners::State::Released));
        moving || self.is_drain_grace_over()
    }

    fn owner_state(&self, arrival: &request::Arrival) -> Option<owners::State> {
        let shard = arrival.shard?;
        self.owners.state(shard, arrival.key.as_ref())
    }

    fn attach(&mut self, mut arrival: request::Arrival) {
        let id = arrival.id;
        let caller = arrival.caller;
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        if active.arrival.fingerprint != arrival.fingerprint {
            return self.refuse_reused(id, caller);
        }
        arrival.class = active.arrival.class;
        arrival.idempotent = active.arrival.idempotent;
        arrival.shard = active.arrival.shard;
        arrival.key = active.arrival.key.clone();
        arrival.resent = true;
        let head_received = active
            .attempt()
            .is_some_and(|attempt| attempt.head_received);
        if !active.awaited && !head_received {
            active.awaited = true;
            active.arrival.caller = caller;
            active.arrival.deadline = arrival.deadline;
            return;
        }
        let room = self
            .config
            .limits
            .queue_bytes
            .0
            .saturating_sub(self.waiting_bytes);
        if active.attached.len() >= MAX_ATTACHED || arrival.bytes > room {
            let detail = format!("request {id} is already waiting or running for other callers");
            let problem = problem::Problem::unknown(problem::Kind::AlreadyAccepted, detail);
            return self.refuse(id, caller, problem);
        }
        self.waiting_bytes += arrival.bytes;
        active.attached.push(arrival);
    }

    fn replay(&mut self, arrival: &request::Arrival, entry: &ledger::Entry) {
        if entry.fingerprint != arrival.fingerprint {
            return self.refuse_reused(arrival.id, arrival.caller);
        }
        let outcome = match entry.state {
            ledger::State::Answered(status) => request::Outcome::Answered(status),
            _ => request::Outcome::Unknown,
        };
        self.outputs.push(Output::Replay {
            id: arrival.id,
            caller: arrival.caller,
            outcome,
        });
    }

    fn refuse_reused(&mut self, id: id::Request, caller: request::Caller) {
        let detail = format!("request id {id} was used with other content");
        let problem = problem::Problem::not_run(problem::Kind::IdReused, detail);
        self.refuse(id, caller, problem);
    }

    /// Returns whether an earlier lane may have sent the request without it being in the ledger.
    fn may_be_in_gap(&self, arrival: &request::Arrival) -> bool {
        if arrival.idempotent || !arrival.resent || self.gaps.is_empty() {
            return false;
        }
        self.gaps.contains_key(&None) || self.gaps.contains_key(&arrival.shard)
    }

    /// Returns the problem if the request cannot be queued in this lane at all.
    fn rejection(&self, arrival: &request::Arrival) -> Option<problem::Problem> {
        let target = &self.config.target;
        if self.superseded {
            let detail = format!("the lane of {target} moved to another host");
            return Some(problem::Problem::not_run(problem::Kind::Stopping, detail));
        }
        if arrival.deadline <= self.now {
            let detail =
                format!("the deadline passed before the request could be sent to {target}");
            let kind = problem::Kind::DeadlineExceeded;
            return Some(problem::Problem::not_run(kind, detail));
        }
        if let Some(problem) = self.not_owned(arrival) {
            return Some(problem);
        }
        if !self.config.keyed && self.draining_since.is_some() {
            let detail = format!("{target} is draining");
            return Some(problem::Problem::not_run(problem::Kind::NoOwner, detail));
        }
        let silent = self.evidence.state() == evidence::State::Silent;
        if !self.config.keyed && silent {
            let detail = format!("{target} does not answer new connections");
            return Some(problem::Problem::not_run(problem::Kind::NoOwner, detail));
        }
        if !arrival.idempotent && self.waiting_ledger >= self.ledger.room() {
            let detail = format!(
                "the ledger of {target} is full with {} requests",
                self.ledger.len()
            );
            let kind = problem::Kind::QueueFull;
            return Some(problem::Problem::not_run(kind, detail));
        }
        None
    }

    /// Returns a problem if the target does not own the key of the request.
    pub(super) fn not_owned(&self, arrival: &request::Arrival) -> Option<problem::Problem> {
        let state = self.owner_state(arrival);
        let elsewhere = matches!(state, None | Some(owners::State::OwnedElsewhere));
        (self.config.keyed && elsewhere).then(|| {
            let detail = format!("{} does not own the key", self.config.target);
            problem::Problem::not_run(problem::Kind::NoOwner, detail)
        })
    }

    fn admit_held(&mut self, arrival: request::Arrival) {
        match self.make_space(&arrival) {
            Ok(()) => self.admit(arrival, request::Phase::Held),
            Err(problem) => self.refuse_arrival(&arrival, problem),
        }
    }
}

/// Returns the queue entry of a request that is queued or held.
pub(super) fn queue_entry(active: &request::Active) -> queue::Entry {
    queue::Entry {
        due: active.arrival.deadline,
        order: active.order,
        id: active.arrival.id,
    }
}

/// Changes the outcome `not run` of a problem to `unknown` if the request may have run.
pub(super) fn adjust_outcome(problem: problem::Problem, may_have_run: bool) -> problem::Problem {
    if may_have_run && problem.outcome == problem::Outcome::NotRun {
        let outcome = problem::Outcome::Unknown;
        return problem::Problem { outcome, ..problem };
    }
    problem
}

/// Returns the importance of a request for shedding; the lowest rank is shed first.
pub(super) fn rank(arrival: &request::Arrival) -> u8 {
    match (arrival.idempotent, arrival.class) {
        (true, table::Class::Long) => 0,
        (true, table::Class::Short) => 1,
        (false, _) => 2,
    }
}
