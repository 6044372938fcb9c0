//! Events that a lane processes.

use std::time::Duration;

use yucca_wire::id;

use crate::ledger;
use crate::owners;
use crate::request;

/// An event.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A request reached the lane.
    Arrive(request::Arrival),
    /// A caller disconnected.
    Cancel {
        /// The request.
        id: id::Request,
        /// The caller.
        caller: request::Caller,
    },
    /// The standby stored the ledger entry with this sequence number and permits the send.
    Permit {
        /// The request.
        id: id::Request,
        /// The sequence number of the entry.
        seq: u64,
    },
    /// The standby refused a send permit or could not be reached.
    PermitRefused {
        /// The request.
        id: id::Request,
        /// The sequence number of the entry.
        seq: u64,
        /// The reason.
        reason: Reason,
    },
    /// A standby has stored a complete copy of the ledger.
    Copied {
        /// The standby.
        standby: id::Host,
        /// The number of the [`Output::CopyAll`](super::Output::CopyAll) that it stored.
        number: u64,
    },
    /// The head of the target's answer arrived; the body is still being received.
    HeadReceived {
        /// The request.
        id: id::Request,
        /// The attempt, from 1.
        attempt: u32,
        /// The status.
        status: request::Status,
    },
    /// An attempt ended: the complete answer arrived or the attempt failed.
    AttemptEnded {
        /// The request.
        id: id::Request,
        /// The attempt, from 1.
        attempt: u32,
        /// The status of the answer, or the failure.
        result: Result<request::Status, request::Failure>,
    },
    /// The shards or pins that the target owns changed.
    Owners(Change),
    /// The configuration of the lane changed. Fields of [`Config`](super::Config) that are fixed
    /// for a lane (`target`, `token`, `ledger_gap`, `keyed`, `seed`) are ignored.
    Configure {
        /// The new configuration.
        config: Box<super::Config>,
        /// Whether the target drains: after a grace period it gets no more requests. Without keys,
        /// new requests are refused at once.
        drain: bool,
    },
    /// The lease of the lane was renewed.
    Renew {
        /// The lane may send before this time.
        until: Duration,
    },
    /// A new connection to the target was established, or a probe was answered.
    Alive,
    /// A new connection to the target failed.
    Silent,
    /// The lane replaces an earlier one whose host was lost or that handed over.
    TakeOver(Takeover),
    /// An earlier lane reports the outcome of a request that it had sent.
    Settled {
        /// The ledger entry.
        entry: ledger::Entry,
    },
    /// An earlier lane reports the number of slots that it still occupies.
    PredecessorSlots {
        /// Number of slots.
        slots: id::Slots,
        /// Time from which it is known to occupy none, even without another report.
        until: Duration,
    },
    /// The lane stops: waiting requests are forwarded to another host, running ones finish here.
    HandOver {
        /// The host that holds the lane from now on.
        to: id::Host,
    },
    /// Time passed.
    Tick,
}

/// Reason why there is no send permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The standby has taken the lane over or knows a newer lane; this lane must stop sending.
    TakenOver,
    /// The standby has no complete copy of the ledger.
    NoCopy,
    /// The standby's ledger is full.
    Full,
    /// The standby has a newer entry of the same id.
    Stale,
    /// The standby did not answer.
    Unreachable,
}

/// State that a lane inherits from an earlier lane or its standby.
#[derive(Debug, Clone, PartialEq)]
pub struct Takeover {
    /// The ledger. Requests of pending entries may have run.
    pub ledger: ledger::Snapshot,
    /// Number of slots that the earlier lane still occupies.
    pub predecessor_slots: id::Slots,
    /// Time from which it is known to occupy none, even without another report.
    pub predecessor_until: Duration,
}

/// A change of the shards and pins that the target owns.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The target now owns a shard or pin; requests held for it are sent.
    Grant {
        /// The shard or pin.
        scope: owners::Scope,
        /// The fencing token of the grant.
        token: id::Token,
        /// The entries of the previous owner's ledger for it.
        ledger: ledger::Snapshot,
    },
    /// A shard or pin begins to move: its requests wait and none is sent.
    Hold {
        /// The shard or pin.
        scope: owners::Scope,
    },
    /// The move was cancelled.
    Resume {
        /// The shard or pin.
        scope: owners::Scope,
    },
    /// The target no longer owns a shard or pin; its waiting requests go to the new owner.
    Release {
        /// The shard or pin.
        scope: owners::Scope,
        /// The new owner, if there is one.
        to: Option<id::Target>,
    },
}
