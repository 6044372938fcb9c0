//! What a lane is told.

use std::time::Duration;

use yucca_wire::id;

use crate::ledger;
use crate::owners;
use crate::request;

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A request reached the lane.
    Arrive(request::Arrival),
    /// A caller hung up.
    Cancel {
        /// The request.
        id: id::Request,
        /// Who hung up.
        caller: request::Caller,
    },
    /// The standby wrote the ledger entry with this sequence number and gives leave to send.
    Permit {
        /// The request.
        id: id::Request,
        /// The sequence number of the entry.
        seq: u64,
    },
    /// The standby gives no leave, or could not be asked.
    PermitRefused {
        /// The request.
        id: id::Request,
        /// The sequence number of the entry.
        seq: u64,
        /// Why not.
        reason: Reason,
    },
    /// A standby has the whole ledger.
    Copied {
        /// The standby.
        standby: id::Host,
        /// The number of the [`Output::CopyAll`](super::Output::CopyAll) that it took in.
        number: u64,
    },
    /// The head of the target's answer arrived; its body is on its way.
    HeadReceived {
        /// The request.
        id: id::Request,
        /// The attempt, from 1.
        attempt: u32,
        /// The status.
        status: request::Status,
    },
    /// An attempt ended: the whole answer arrived, or none will.
    AttemptEnded {
        /// The request.
        id: id::Request,
        /// The attempt, from 1.
        attempt: u32,
        /// How it ended.
        result: Result<request::Status, request::Failure>,
    },
    /// The target owns more or less.
    Owners(Change),
    /// The settings of the lane changed. The fields of [`Config`](super::Config) that never change
    /// during a lane's life (`target`, `token`, `blind`, `keyed`, `seed`) are ignored.
    Configure {
        /// The new settings.
        config: Box<super::Config>,
        /// Whether the target drains: what waits is still sent, new work is refused.
        drain: bool,
    },
    /// The lease of the lane was renewed.
    Renew {
        /// The lane may send before this time.
        until: Duration,
    },
    /// A new connection to the target was made, or a probe was answered.
    Alive,
    /// A new connection to the target failed.
    Silent,
    /// The lane follows one whose host was lost or hands over.
    TakeOver(Takeover),
    /// An earlier lane tells how a request ended that it had sent.
    Settled {
        /// The ledger entry.
        entry: ledger::Entry,
    },
    /// An earlier lane tells how many slots it still holds.
    PredecessorSlots {
        /// The slots.
        slots: id::Slots,
        /// When it holds none any more, whatever happens.
        until: Duration,
    },
    /// The lane stops: what waits goes to another host, what runs is finished here.
    HandOver {
        /// The host that holds the lane from now on.
        to: id::Host,
    },
    /// Time passed.
    Tick,
}

/// Why a standby gave no leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It has taken the lane over, or knows a newer lane: this lane sends nothing more.
    TakenOver,
    /// It has no whole copy of the ledger.
    NoCopy,
    /// Its ledger is full.
    Full,
    /// It knows a newer entry of the same id.
    Stale,
    /// It did not answer.
    Unreachable,
}

/// What an earlier lane or its standby left.
#[derive(Debug, Clone, PartialEq)]
pub struct Takeover {
    /// The ledger; entries for which leave was given count as perhaps run.
    pub ledger: ledger::Snapshot,
    /// How many slots the earlier lane still holds.
    pub predecessor_slots: id::Slots,
    /// When it holds none any more, whatever happens.
    pub predecessor_until: Duration,
}

/// A change of what the target owns.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The target owns a shard or pin from now on; requests held for it are sent.
    Grant {
        /// The shard or pin.
        scope: owners::Scope,
        /// The fencing token of the grant.
        token: id::Token,
        /// What the earlier owner's ledger holds of it.
        ledger: ledger::Snapshot,
    },
    /// It begins to move: nothing new of it is sent, requests wait.
    Hold {
        /// The shard or pin.
        scope: owners::Scope,
    },
    /// The move was given up.
    Resume {
        /// The shard or pin.
        scope: owners::Scope,
    },
    /// The target owns it no longer; its waiting requests go to the new owner.
    Release {
        /// The shard or pin.
        scope: owners::Scope,
        /// The new owner, where there is one.
        to: Option<id::Target>,
    },
}
