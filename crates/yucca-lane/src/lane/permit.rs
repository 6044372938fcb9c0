//! The standby's copy of the ledger and its leave to send.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;

use super::{Lane, Output, Reason};
use crate::evidence;
use crate::ledger;
use crate::request;

/// How long an asked standby may stay silent before it is asked again.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the lane waits before it asks a standby again that could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(50);

/// How long a copy of the whole ledger may take before another is made.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// How the standby's copy of the ledger stands.
#[derive(Debug, Clone, Default)]
pub(super) struct Copy {
    /// The number of the last whole copy.
    number: u64,
    /// Whether the standby took it in.
    whole: bool,
    /// When another whole copy is made, while none was taken in.
    retry_at: Option<Duration>,
    /// When the standby is asked again.
    ask_at: Duration,
    /// The questions that it has not answered, oldest first.
    asked: Vec<Question>,
}

/// A question for leave that is on its way.
#[derive(Debug, Clone, Copy)]
struct Question {
    id: id::Request,
    seq: u64,
    at: Duration,
}

impl Copy {
    pub(super) fn is_whole(&self) -> bool {
        self.whole
    }

    fn restart(&mut self) {
        self.whole = false;
        self.retry_at = None;
    }
}

impl Lane {
    /// Gives the standby the whole ledger where it has none.
    pub(super) fn copy_ledger(&mut self) {
        if self.standby.whole || self.is_closed() {
            return;
        }
        let Some(standby) = self.config.standby.clone() else {
            return;
        };
        if self.standby.retry_at.is_some_and(|at| self.now < at) {
            return;
        }
        self.standby.number += 1;
        self.standby.retry_at = Some(self.now + COPY_TIMEOUT);
        self.out.push(Output::CopyAll {
            standby,
            number: self.standby.number,
            ledger: self.snapshot(None),
        });
    }

    pub(super) fn ledger_copied(&mut self, standby: &id::Host, number: u64) {
        let current = self.config.standby.as_ref() == Some(standby);
        if current && number == self.standby.number {
            self.standby.whole = true;
            self.standby.retry_at = None;
        }
    }

    /// Forgets what the standby has, because it is another one or lost its copy.
    pub(super) fn restart_copy(&mut self) {
        self.standby.restart();
        self.standby.asked.clear();
        for active in self.requests.values_mut() {
            if active.attempt().is_none() {
                active.permit = request::Permit::None;
            }
        }
    }

    /// Asks for leave to send the non-idempotent requests that are next.
    ///
    /// As many are asked for as there are slots, so that the round trip passes while slots are
    /// busy and few ids are left in doubt when the lane is lost.
    pub(super) fn request_permits(&mut self) {
        if !self.standby.whole || self.now < self.standby.ask_at {
            return;
        }
        let Some(standby) = self.config.standby.clone() else {
            return;
        };
        let most = usize::from(self.slots.usable().max(1));
        let next = self.short.iter().take(most);
        let next = next.chain(self.long.iter().take(most));
        let asked: Vec<_> = next
            .map(|entry| entry.id)
            .filter(|id| self.needs_permit(*id))
            .collect();
        for id in asked {
            self.ask(id, standby.clone());
        }
    }

    pub(super) fn permit_granted(&mut self, id: id::Request, seq: u64) {
        if let Some(active) = self.asked(id, seq) {
            active.permit = request::Permit::Granted;
        }
    }

    pub(super) fn permit_refused(&mut self, id: id::Request, seq: u64, reason: Reason) {
        if reason == Reason::TakenOver {
            return self.be_superseded();
        }
        let Some(active) = self.asked(id, seq) else {
            return;
        };
        active.permit = request::Permit::None;
        match reason {
            Reason::NoCopy => self.restart_copy(),
            Reason::Full => {
                let detail = format!("the standby of {} has no room", self.config.target);
                let kind = problem::Kind::QueueFull;
                self.refuse_waiting(id, &problem::Problem::not_run(kind, detail));
            }
            _ => self.standby.ask_at = self.now + UNREACHABLE_PAUSE,
        }
    }

    /// Tells whether a waiting request may be sent.
    pub(super) fn has_permit(&self, id: id::Request) -> bool {
        let Some(active) = self.requests.get(&id) else {
            return false;
        };
        if active.arrival.idempotent {
            return true;
        }
        let suspect = self.evidence.state() != evidence::State::Alive;
        !suspect && (active.permit == request::Permit::Granted || self.needs_no_standby())
    }

    /// Writes the ledger line of a request that is sent without a standby.
    pub(super) fn note_sent(&mut self, id: id::Request) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        if !active.arrival.idempotent && self.ledger.get(id).is_none() {
            self.record_pending(id);
        }
    }

    /// Writes how a non-idempotent request ended and tells the standby.
    pub(super) fn settle(&mut self, id: id::Request, state: ledger::State) {
        let Some(entry) = self.ledger.get(id) else {
            return;
        };
        let entry = ledger::Entry { state, ..entry };
        self.ledger.write(&entry, self.now);
        let follower = self.handed_to.clone();
        if let Some(to) = follower.or_else(|| self.config.standby.clone()) {
            self.out.push(Output::Settle { to, entry });
        }
    }

    /// Takes back what the standby was told of a request that surely did not run.
    pub(super) fn withdraw(&mut self, id: id::Request) {
        let entry = self.ledger.get(id);
        if entry.is_some_and(|entry| entry.state == ledger::State::Pending) {
            self.settle(id, ledger::State::Withdrawn);
        }
    }

    /// Asks again where the standby stayed silent.
    pub(super) fn expire_permit_requests(&mut self) {
        while let Some(question) = self.standby.asked.first().copied() {
            if self.now < question.at + PERMIT_TIMEOUT {
                return;
            }
            if let Some(active) = self.asked(question.id, question.seq) {
                active.permit = request::Permit::None;
            }
        }
    }

    /// Returns when the standby is asked again, or given the ledger again.
    pub(super) fn next_permit_event(&self) -> Option<Duration> {
        if self.is_closed() || self.config.standby.is_none() {
            return None;
        }
        let ask_at = Some(self.standby.ask_at).filter(|at| *at > self.now);
        let asked = self.standby.asked.first();
        let asked = asked.map(|question| question.at + PERMIT_TIMEOUT);
        let times = [self.standby.retry_at, ask_at, asked];
        times.into_iter().flatten().min()
    }

    fn needs_no_standby(&self) -> bool {
        self.config.single_host && self.config.standby.is_none()
    }

    fn needs_permit(&self, id: id::Request) -> bool {
        let active = self.requests.get(&id);
        active.is_some_and(|active| {
            !active.arrival.idempotent && active.permit == request::Permit::None
        })
    }

    fn ask(&mut self, id: id::Request, standby: id::Host) {
        let Some(entry) = self.record_pending(id) else {
            return;
        };
        if let Some(active) = self.requests.get_mut(&id) {
            active.permit = request::Permit::Requested(entry.seq);
        }
        self.standby.asked.push(Question {
            id,
            seq: entry.seq,
            at: self.now,
        });
        self.out.push(Output::Copy { standby, entry });
    }

    /// Writes a ledger line for a request that may be sent from now on.
    fn record_pending(&mut self, id: id::Request) -> Option<ledger::Entry> {
        let active = self.requests.get(&id)?;
        let entry = ledger::Entry {
            id,
            fingerprint: active.arrival.fingerprint,
            seq: self.next_seq,
            shard: active.arrival.shard,
            remaining: active.arrival.deadline.saturating_sub(self.now),
            state: ledger::State::Pending,
        };
        self.next_seq += 1;
        self.ledger.write(&entry, self.now);
        Some(entry)
    }

    /// Ends a question; returns its request where it still waits for the answer.
    fn asked(&mut self, id: id::Request, seq: u64) -> Option<&mut request::Active> {
        let questions = &mut self.standby.asked;
        questions.retain(|question| question.id != id || question.seq != seq);
        let active = self.requests.get_mut(&id)?;
        let asked = active.permit == request::Permit::Requested(seq);
        asked.then_some(active)
    }
}
