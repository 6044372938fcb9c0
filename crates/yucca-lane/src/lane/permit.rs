//! The standby's copy of the ledger and its send permits.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;

use super::{Lane, Output, Reason};
use crate::evidence;
use crate::ledger;
use crate::request;

/// Time without an answer after which a permit is requested again.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause before the next permit request after the standby could not be reached.
const STANDBY_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time without a confirmation after which the complete ledger is copied again.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Status of the standby's copy of the ledger.
#[derive(Debug, Clone, Default)]
pub(super) struct Copy {
    /// Number of the last complete copy.
    number: u64,
    /// Whether the standby confirmed it.
    complete: bool,
    /// Time of the next complete copy, unless this one is confirmed before.
    next_copy_at: Option<Duration>,
    /// Earliest time of the next permit request.
    next_request_at: Duration,
    /// Permit requests without an answer, oldest first.
    pending: Vec<PermitRequest>,
}

/// A permit request without an answer.
#[derive(Debug, Clone, Copy)]
struct PermitRequest {
    id: id::Request,
    seq: u64,
    sent: Duration,
}

impl Copy {
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    fn restart(&mut self) {
        self.complete = false;
        self.next_copy_at = None;
    }
}

impl Lane {
    /// Copies the complete ledger to the standby if it has no confirmed copy.
    pub(super) fn copy_ledger(&mut self) {
        if self.standby_copy.complete || self.is_closed() {
            return;
        }
        let Some(standby) = self.config.standby.clone() else {
            return;
        };
        if self
            .standby_copy
            .next_copy_at
            .is_some_and(|at| self.now < at)
        {
            return;
        }
        self.standby_copy.number += 1;
        self.standby_copy.next_copy_at = Some(self.now + COPY_TIMEOUT);
        self.outputs.push(Output::CopyAll {
            standby,
            number: self.standby_copy.number,
            ledger: self.snapshot(None),
        });
    }

    pub(super) fn ledger_copied(&mut self, standby: &id::Host, number: u64) {
        let current = self.config.standby.as_ref() == Some(standby);
        if current && number == self.standby_copy.number {
            self.standby_copy.complete = true;
            self.standby_copy.next_copy_at = None;
        }
    }

    /// Discards the status of the standby's copy: the standby changed or lost its copy, or the
    /// ledger has inherited entries.
    pub(super) fn restart_copy(&mut self) {
        self.standby_copy.restart();
        self.standby_copy.pending.clear();
        for active in self.requests.values_mut() {
            if active.attempt().is_none() {
                active.permit = request::Permit::None;
            }
        }
    }

    /// Requests permits for the non-idempotent requests that are sent next.
    ///
    /// In each queue, as many requests get one as there are usable slots. The round trip then
    /// overlaps with running requests, and few ids have an unknown outcome if the lane is lost.
    pub(super) fn request_permits(&mut self) {
        if !self.standby_copy.complete || self.now < self.standby_copy.next_request_at {
            return;
        }
        let Some(standby) = self.config.standby.clone() else {
            return;
        };
        let most = usize::from(self.slots.usable().max(1));
        let next = self.short.iter().take(most);
        let next = next.chain(self.long.iter().take(most));
        let ids: Vec<_> = next
            .map(|entry| entry.id)
            .filter(|id| self.needs_permit(*id))
            .collect();
        for id in ids {
            self.request_permit(id, standby.clone());
        }
    }

    pub(super) fn permit_granted(&mut self, id: id::Request, seq: u64) {
        if let Some(active) = self.take_pending(id, seq) {
            active.permit = request::Permit::Granted;
        }
    }

    pub(super) fn permit_refused(&mut self, id: id::Request, seq: u64, reason: Reason) {
        if reason == Reason::TakenOver {
            return self.supersede();
        }
        let Some(active) = self.take_pending(id, seq) else {
            return;
        };
        active.permit = request::Permit::None;
        match reason {
            Reason::NoCopy => self.restart_copy(),
            Reason::Full => {
                let detail = format!(
                    "the ledger of the standby of {} is full",
                    self.config.target
                );
                let kind = problem::Kind::QueueFull;
                self.refuse_waiting(id, &problem::Problem::not_run(kind, detail));
            }
            _ => self.standby_copy.next_request_at = self.now + STANDBY_RETRY_PAUSE,
        }
    }

    /// Returns whether a waiting request may be sent. A non-idempotent one needs a permit, except in a
    /// domain with only one host, and is sent only while the target counts as alive.
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

    /// Writes the ledger entry of a request that is sent without a standby.
    pub(super) fn record_sent(&mut self, id: id::Request) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        if !active.arrival.idempotent && self.ledger.get(id).is_none() {
            self.record_pending(id);
        }
    }

    /// Records the outcome of a non-idempotent request and reports it to the standby, or to the
    /// host that the lane was handed over to.
    pub(super) fn settle(&mut self, id: id::Request, state: ledger::State) {
        let Some(entry) = self.ledger.get(id) else {
            return;
        };
        let entry = ledger::Entry { state, ..entry };
        self.ledger.write(&entry, self.now);
        let successor = self.handed_to.clone();
        if let Some(to) = successor.or_else(|| self.config.standby.clone()) {
            self.outputs.push(Output::Settle { to, entry });
        }
    }

    /// Withdraws the pending ledger entry of a request that is known not to have run.
    pub(super) fn withdraw(&mut self, id: id::Request) {
        let entry = self.ledger.get(id);
        if entry.is_some_and(|entry| entry.state == ledger::State::Pending) {
            self.settle(id, ledger::State::Withdrawn);
        }
    }

    /// Drops permit requests that the standby did not answer in time, so that they are repeated.
    pub(super) fn expire_permit_requests(&mut self) {
        while let Some(request) = self.standby_copy.pending.first().copied() {
            if self.now < request.sent + PERMIT_TIMEOUT {
                return;
            }
            if let Some(active) = self.take_pending(request.id, request.seq) {
                active.permit = request::Permit::None;
            }
        }
    }

    /// Returns the next time at which a permit is requested again or the ledger is copied again.
    pub(super) fn next_permit_event(&self) -> Option<Duration> {
        if self.is_closed() || self.config.standby.is_none() {
            return None;
        }
        let next_request_at = Some(self.standby_copy.next_request_at).filter(|at| *at > self.now);
        let oldest = self.standby_copy.pending.first();
        let timeout = oldest.map(|request| request.sent + PERMIT_TIMEOUT);
        let times = [self.standby_copy.next_copy_at, next_request_at, timeout];
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

    fn request_permit(&mut self, id: id::Request, standby: id::Host) {
        let Some(entry) = self.record_pending(id) else {
            return;
        };
        if let Some(active) = self.requests.get_mut(&id) {
            active.permit = request::Permit::Requested(entry.seq);
        }
        self.standby_copy.pending.push(PermitRequest {
            id,
            seq: entry.seq,
            sent: self.now,
        });
        self.outputs.push(Output::Copy { standby, entry });
    }

    /// Writes a pending ledger entry for a request that may be sent from now on.
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

    /// Removes a permit request and returns the request it is for, if that still waits for the
    /// answer.
    fn take_pending(&mut self, id: id::Request, seq: u64) -> Option<&mut request::Active> {
        let pending = &mut self.standby_copy.pending;
        pending.retain(|request| request.id != id || request.seq != seq);
        let active = self.requests.get_mut(&id)?;
        let waits = active.permit == request::Permit::Requested(seq);
        waits.then_some(active)
    }
}
