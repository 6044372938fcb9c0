//! The events that are possible in a state.

use yucca_lane::lane;
use yucca_lane::request;

use super::message::{Message, Side};
use super::{ID, Mutant, State};

impl State {
    /// Returns the states after the delivery of each message in flight.
    pub(super) fn deliveries(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for at in 0..self.network.len() {
            let mut state = self.clone();
            let message = state.network.remove(at);
            state.deliver(message.clone());
            if message.may_duplicate() && self.budget.duplicates > 0 {
                let mut duplicated = state.clone();
                duplicated.budget.duplicates -= 1;
                duplicated.network.push(message.clone());
                next.push(duplicated);
            }
            next.push(state);
            next.extend(self.attempt_failures(at, &message));
        }
        next
    }

    /// Returns the states after each failure of a request that is in flight to the target.
    fn attempt_failures(&self, at: usize, message: &Message) -> Vec<Self> {
        let Message::Target { side, attempt, .. } = *message else {
            return Vec::new();
        };
        let mut next = Vec::new();
        if self.budget.refusals > 0 {
            let mut state = self.clone();
            state.budget.refusals -= 1;
            state.network.remove(at);
            state.end_attempt(side, attempt, Err(request::Failure::Refused));
            next.push(state);
        }
        if self.budget.breaks > 0 {
            let mut state = self.clone();
            state.budget.breaks -= 1;
            state.end_attempt(side, attempt, Err(state.break_failure()));
            next.push(state);
        }
        next
    }

    /// Returns the states after each event that is not a delivery.
    pub(super) fn events(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.budget.arrivals > 0 {
            let mut state = self.clone();
            state.budget.arrivals -= 1;
            state.arrive(Side::Old);
            next.push(state);
        }
        if self.new.is_some() && self.budget.arrivals_after > 0 {
            let mut state = self.clone();
            state.budget.arrivals_after -= 1;
            state.arrive(Side::New);
            next.push(state);
        }
        if self.new.is_none() {
            let mut state = self.clone();
            state.take_over();
            next.push(state);
        }
        if self.budget.cancels > 0 && self.callers > 0 {
            let mut state = self.clone();
            state.budget.cancels -= 1;
            let caller = request::Caller(1);
            state.step_lane(Side::Old, lane::Input::Cancel { id: ID, caller });
            next.push(state);
        }
        if self.budget.restarts > 0 && self.new.is_none() {
            let mut state = self.clone();
            state.budget.restarts -= 1;
            state.restart_standby();
            next.push(state);
        }
        if self.budget.unreachable > 0 && self.latest_seq > 0 {
            let mut state = self.clone();
            state.budget.unreachable -= 1;
            let (id, seq) = (ID, state.latest_seq);
            let reason = lane::Reason::Unreachable;
            state.step_lane(Side::Old, lane::Input::PermitRefused { id, seq, reason });
            next.push(state);
        }
        next
    }

    /// Returns the failure that the lane receives when a connection breaks after the send.
    fn break_failure(&self) -> request::Failure {
        match self.mutant {
            Mutant::LostCountsAsNotRun => request::Failure::ConnectFailed,
            _ => request::Failure::Lost,
        }
    }
}
