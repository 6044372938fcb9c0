//! What may happen next.

use yucca_lane::lane;
use yucca_lane::request;

use super::message::{Message, Side};
use super::{ID, Mutant, State};

impl State {
    pub(super) fn deliveries(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for at in 0..self.network.len() {
            let mut state = self.clone();
            let message = state.network.remove(at);
            state.deliver(message.clone());
            if message.may_double() && self.budget.duplicates > 0 {
                let mut doubled = state.clone();
                doubled.budget.duplicates -= 1;
                doubled.network.push(message.clone());
                next.push(doubled);
            }
            next.push(state);
            next.extend(self.target_troubles(at, &message));
        }
        next
    }

    /// What else may become of a request on a connection to the target.
    fn target_troubles(&self, at: usize, message: &Message) -> Vec<Self> {
        let Message::Target { side, attempt, .. } = *message else {
            return Vec::new();
        };
        let mut next = Vec::new();
        if self.budget.refusals > 0 {
            let mut state = self.clone();
            state.budget.refusals -= 1;
            state.network.remove(at);
            state.end(side, attempt, Err(request::Failure::Refused));
            next.push(state);
        }
        if self.budget.breaks > 0 {
            let mut state = self.clone();
            state.budget.breaks -= 1;
            state.end(side, attempt, Err(state.lost()));
            next.push(state);
        }
        next
    }

    pub(super) fn troubles(&self) -> Vec<Self> {
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
        if self.budget.unreachable > 0 && self.asked > 0 {
            let mut state = self.clone();
            state.budget.unreachable -= 1;
            let (id, seq) = (ID, state.asked);
            let reason = lane::Reason::Unreachable;
            state.step_lane(Side::Old, lane::Input::PermitRefused { id, seq, reason });
            next.push(state);
        }
        next
    }

    fn lost(&self) -> request::Failure {
        match self.mutant {
            Mutant::LostCountsAsNotRun => request::Failure::ConnectFailed,
            _ => request::Failure::Lost,
        }
    }
}
