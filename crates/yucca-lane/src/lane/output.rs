//! Actions that a lane requests from its process.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::report;

use crate::ledger;
use crate::request;

/// Place to which a waiting request is forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// The lane of the same target on another host.
    Host(id::Host),
    /// The lane of another target.
    Target(id::Target),
}

/// An action.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Request a permit from the standby to send a non-idempotent request.
    Copy {
        /// The standby.
        standby: id::Host,
        /// The ledger entry that the standby must store before it grants the permit.
        entry: ledger::Entry,
    },
    /// Copy the complete ledger to the standby.
    CopyAll {
        /// The standby.
        standby: id::Host,
        /// The number of this copy.
        number: u64,
        /// The ledger.
        ledger: ledger::Snapshot,
    },
    /// Report the outcome of a request to the standby or to the host that the lane was handed over
    /// to. The message may be lost.
    Settle {
        /// The receiving host.
        to: id::Host,
        /// The ledger entry.
        entry: ledger::Entry,
    },
    /// Send a request to the target. It occupies exactly one slot until [`Input::AttemptEnded`].
    ///
    /// [`Input::AttemptEnded`]: super::Input::AttemptEnded
    Send {
        /// The request.
        id: id::Request,
        /// The arrival whose head and body are sent.
        caller: request::Caller,
        /// The attempt, from 1.
        attempt: u32,
        /// Time at which the target should give up.
        deadline: Duration,
    },
    /// Cancel the running attempt at the target and close its connection. Its slot stays occupied
    /// until [`Input::AttemptEnded`](super::Input::AttemptEnded).
    Abort {
        /// The request.
        id: id::Request,
    },
    /// Answer a caller with a problem instead of an answer from the target.
    Refuse {
        /// The request.
        id: id::Request,
        /// The caller.
        caller: request::Caller,
        /// The answer.
        problem: problem::Problem,
    },
    /// Deliver the answer of the running attempt to this caller.
    Deliver {
        /// The request.
        id: id::Request,
        /// The caller.
        caller: request::Caller,
    },
    /// Answer a caller with the recorded outcome of an id that was received before. Nothing runs.
    Replay {
        /// The request.
        id: id::Request,
        /// The caller.
        caller: request::Caller,
        /// The recorded outcome.
        outcome: request::Outcome,
    },
    /// Forward a waiting request to another lane. A non-idempotent one has not run.
    Forward {
        /// The request.
        id: id::Request,
        /// The caller.
        caller: request::Caller,
        /// The receiving lane.
        to: Place,
    },
    /// Report that no request of a moving shard or pin is running any more.
    Released {
        /// The released shard or pin.
        release: report::Release,
        /// The ledger entries and gaps of its shard, for the new owner's lane.
        ledger: ledger::Snapshot,
    },
    /// Send the ledger to the host that the lane was handed over to.
    HandOver {
        /// The host.
        to: id::Host,
        /// The ledger. Outcomes of running requests follow as [`Output::Settle`].
        ledger: ledger::Snapshot,
        /// Number of slots that this lane still occupies.
        held: id::Slots,
    },
    /// Report the number of slots that this lane still occupies after it was handed over. At zero
    /// the handover is complete.
    HeldSlots {
        /// The host that the lane was handed over to.
        to: id::Host,
        /// Number of slots.
        slots: id::Slots,
    },
    /// Open a new connection to the target, probe it with a small exchange, and report
    /// [`Input::Alive`] or [`Input::Silent`].
    ///
    /// [`Input::Alive`]: super::Input::Alive
    /// [`Input::Silent`]: super::Input::Silent
    Dial,
}
