//! Effects of an event on the lanes, the standby, the target and the callers.

use yucca_lane::lane;
use yucca_lane::ledger;
use yucca_lane::request;
use yucca_lane::standby;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;

use super::config::{config, host, token};
use super::message::{Message, Side};
use super::{DEADLINE, ID, Mutant, NOW, State, Violation, WINDOW};

impl State {
    pub(super) fn arrive(&mut self, side: Side) {
        self.callers += 1;
        let arrival = request::Arrival {
            id: ID,
            caller: request::Caller(self.callers),
            fingerprint: 1,
            class: table::Class::Short,
            idempotent: false,
            shard: None,
            key: None,
            bytes: 0,
            deadline: DEADLINE,
            resent: self.callers > 1,
        };
        self.step_lane(side, lane::Input::Arrive(arrival));
    }

    pub(super) fn take_over(&mut self) {
        let mut takeover = match self.mutant {
            Mutant::PermitAfterTakeover => self.standby.clone().take_over(token(1), NOW),
            _ => self.standby.take_over(token(1), NOW),
        };
        if self.mutant == Mutant::PendingResent {
            let is_pending = |entry: &ledger::Entry| entry.state == ledger::State::Pending;
            takeover.ledger.entries.retain(|entry| !is_pending(entry));
        }
        self.new = config(token(2), None).map(|config| lane::Lane::new(config, NOW));
        self.step_lane(Side::New, lane::Input::TakeOver(takeover));
    }

    pub(super) fn end_attempt(
        &mut self,
        side: Side,
        attempt: u32,
        result: Result<request::Status, request::Failure>,
    ) {
        let id = ID;
        let input = lane::Input::AttemptEnded {
            id,
            attempt,
            result,
        };
        self.network.push(Message::Lane(side, input));
    }

    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Standby(incarnation, input) => self.deliver_to_standby(incarnation, input),
            Message::Lane(side, input) => self.step_lane(side, input),
            Message::Target {
                side,
                attempt,
                caller,
            } => {
                self.run(caller);
                self.end_attempt(side, attempt, Ok(request::Status(200)));
            }
        }
    }

    fn run(&mut self, caller: request::Caller) {
        self.runs += 1;
        self.ran.push(caller);
        if self.runs > 1 {
            self.violation = Some(Violation::RanTwice);
        }
        if self.not_run.contains(&caller) {
            self.violation = Some(Violation::NotRunRan);
        }
    }

    /// Delivers a message to the standby; a restarted process rejects messages from before its
    /// restart.
    fn deliver_to_standby(&mut self, incarnation: u8, input: standby::Input) {
        let current = incarnation == self.incarnation;
        if current || self.mutant == Mutant::MessageAcrossRestart {
            return self.step_standby(input);
        }
        if let standby::Input::Copy { entry, .. } = input {
            let (id, seq) = (entry.id, entry.seq);
            let reason = lane::Reason::NoCopy;
            let input = lane::Input::PermitRefused { id, seq, reason };
            self.network.push(Message::Lane(Side::Old, input));
        }
    }

    /// Restarts the standby's process with an empty state.
    pub(super) fn restart_standby(&mut self) {
        self.incarnation += 1;
        self.standby = standby::Standby::new(WINDOW, 4);
    }

    fn step_standby(&mut self, input: standby::Input) {
        let Some(output) = self.standby.step(input, NOW) else {
            return;
        };
        let input = match output {
            standby::Output::Copied { number } => {
                let Some(standby) = host() else {
                    return;
                };
                lane::Input::Copied { standby, number }
            }
            standby::Output::Permit { id, seq } => {
                if self.new.is_some() {
                    self.violation = Some(Violation::PermitAfterTakeover);
                }
                lane::Input::Permit { id, seq }
            }
            standby::Output::PermitRefused { id, seq, reason } => {
                lane::Input::PermitRefused { id, seq, reason }
            }
        };
        self.network.push(Message::Lane(Side::Old, input));
    }

    pub(super) fn step_lane(&mut self, side: Side, input: lane::Input) {
        let input = match (self.mutant, input) {
            (Mutant::StalePermit, lane::Input::Permit { id, .. }) => {
                let seq = self.latest_seq;
                lane::Input::Permit { id, seq }
            }
            (_, input) => input,
        };
        let lane = match side {
            Side::Old => Some(&mut self.old),
            Side::New => self.new.as_mut(),
        };
        let outputs = lane.map(|lane| lane.step(input, NOW)).unwrap_or_default();
        for output in outputs {
            self.apply_output(side, output);
        }
    }

    fn apply_output(&mut self, side: Side, output: lane::Output) {
        let token = token(1);
        match output {
            lane::Output::CopyAll { number, ledger, .. } => {
                let input = standby::Input::CopyAll {
                    token,
                    number,
                    ledger,
                };
                self.network.push(Message::Standby(self.incarnation, input));
            }
            lane::Output::Copy { entry, .. } => self.request_permit(token, entry),
            lane::Output::Settle { entry, .. } => {
                let input = standby::Input::Settle { token, entry };
                self.network.push(Message::Standby(self.incarnation, input));
            }
            lane::Output::Send {
                caller, attempt, ..
            } => self.network.push(Message::Target {
                side,
                attempt,
                caller,
            }),
            lane::Output::Refuse {
                caller, problem, ..
            } => self.record_refusal(caller, &problem),
            lane::Output::Replay { outcome, .. } => {
                let answered = matches!(outcome, request::Outcome::Answered(_));
                if answered && self.runs == 0 {
                    self.violation = Some(Violation::AnswerWithoutRun);
                }
            }
            lane::Output::Dial => self.network.push(Message::Lane(side, lane::Input::Alive)),
            _ => {}
        }
    }

    fn request_permit(&mut self, token: id::Token, entry: ledger::Entry) {
        let (id, seq) = (entry.id, entry.seq);
        self.latest_seq = seq;
        let input = standby::Input::Copy { token, entry };
        self.network.push(Message::Standby(self.incarnation, input));
        if self.mutant == Mutant::PermitSkipped {
            self.step_lane(Side::Old, lane::Input::Permit { id, seq });
        }
    }

    fn record_refusal(&mut self, caller: request::Caller, problem: &problem::Problem) {
        if problem.outcome != problem::Outcome::NotRun {
            return;
        }
        self.not_run.push(caller);
        if self.ran.contains(&caller) {
            self.violation = Some(Violation::NotRunRan);
        }
    }
}
