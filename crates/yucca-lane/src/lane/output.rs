//! What a lane wants done.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::report;

use crate::ledger;
use crate::request;

/// Where a waiting request goes instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// To the lane of the same target on another host.
    Host(id::Host),
    /// To the lane of another target.
    Target(id::Target),
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Ask the standby for leave to send a non-idempotent request.
    Copy {
        /// The standby.
        standby: id::Host,
        /// The ledger entry that it must write before it gives leave.
        entry: ledger::Entry,
    },
    /// Give the standby the whole ledger.
    CopyAll {
        /// The standby.
        standby: id::Host,
        /// The number of this copy.
        number: u64,
        /// The ledger.
        ledger: ledger::Snapshot,
    },
    /// Tell the standby, or the lane that was handed over to, how a request ended. It may be lost.
    Settle {
        /// The host that is told.
        to: id::Host,
        /// The ledger entry.
        entry: ledger::Entry,
    },
    /// Send a request to the target; it takes exactly one slot until [`Input::AttemptEnded`].
    ///
    /// [`Input::AttemptEnded`]: super::Input::AttemptEnded
    Send {
        /// The request.
        id: id::Request,
        /// The arrival whose head and body are sent.
        caller: request::Caller,
        /// The attempt, from 1.
        attempt: u32,
        /// When the target should give up.
        deadline: Duration,
    },
    /// Cancel the running attempt at the target and close its connection; its slot stays taken
    /// until [`Input::AttemptEnded`](super::Input::AttemptEnded).
    Abort {
        /// The request.
        id: id::Request,
    },
    /// Answer a caller in the target's place.
    Refuse {
        /// The request.
        id: id::Request,
        /// Who is answered.
        caller: request::Caller,
        /// The answer.
        problem: problem::Problem,
    },
    /// The answer of the running attempt goes to this caller.
    Deliver {
        /// The request.
        id: id::Request,
        /// Who gets it.
        caller: request::Caller,
    },
    /// The id was seen before: the caller is told its fate; nothing runs.
    Replay {
        /// The request.
        id: id::Request,
        /// Who is answered.
        caller: request::Caller,
        /// What is known.
        outcome: request::Outcome,
    },
    /// Place a waiting request elsewhere; it was not sent.
    Forward {
        /// The request.
        id: id::Request,
        /// Who waits for it.
        caller: request::Caller,
        /// Where it goes.
        to: Place,
    },
    /// Nothing of a moving shard or pin runs any more.
    Released {
        /// What was released.
        release: report::Release,
        /// What the new owner's lane must know of its non-idempotent requests.
        ledger: ledger::Snapshot,
    },
    /// The lane was handed over: its ledger goes to the host that follows.
    HandOver {
        /// The host.
        to: id::Host,
        /// The ledger; entries that may be running are settled later.
        ledger: ledger::Snapshot,
        /// How many slots this lane still holds.
        held: id::Slots,
    },
    /// The lane that was handed over still holds this many slots; with none it is done.
    HeldSlots {
        /// The host that follows.
        to: id::Host,
        /// The slots.
        slots: id::Slots,
    },
    /// Make a new connection to the target, have a small exchange on it, and report [`Input::Alive`] or [`Input::Silent`].
    ///
    /// [`Input::Alive`]: super::Input::Alive
    /// [`Input::Silent`]: super::Input::Silent
    Dial,
}
