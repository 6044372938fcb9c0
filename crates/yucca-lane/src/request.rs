//! Requests of a lane and their state.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use yucca_wire::id;
use yucca_wire::table;

/// Handle of one caller's exchange, assigned by the process. Two arrivals with the same request id
/// have different handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

impl fmt::Display for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// An HTTP status that a target answered with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Status(pub u16);

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A request that arrived at the lane.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Request id. A non-idempotent request runs at most once under its id.
    pub id: id::Request,
    /// The caller that waits for the answer.
    pub caller: Caller,
    /// A hash of its method, its URI and the available part of its body.
    pub fingerprint: u64,
    /// The work class.
    pub class: table::Class,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// The shard of its key, if the service is divided by key.
    pub shard: Option<id::Shard>,
    /// Its key, if the service is divided by key.
    pub key: Option<Bytes>,
    /// Number of bytes that it occupies while it waits.
    pub bytes: u64,
    /// Its deadline, as time since the lane's process started.
    pub deadline: Duration,
    /// Whether an earlier lane may have received the same id: the entry host sends the request
    /// again, or the caller chose the id.
    pub resent: bool,
}

impl Arrival {
    /// Returns whether the target may have run this idempotent request before. The ledger answers
    /// the same question for non-idempotent requests.
    pub(crate) fn may_have_run(&self) -> bool {
        self.resent && self.idempotent
    }
}

/// Failure of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target refused it before running it.
    Refused,
    /// The target was overloaded and refused it before running it.
    Shed {
        /// Time for which the target asks to get fewer requests.
        retry_after: Duration,
    },
    /// There was no connection, so nothing was sent.
    ConnectFailed,
    /// The connection was lost after the request was sent.
    Lost,
    /// No answer arrived by the deadline.
    Timeout,
}

impl Failure {
    /// Returns whether the target is known not to have run the request.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::Refused | Self::Shed { .. } | Self::ConnectFailed
        )
    }
}

/// Recorded outcome of an earlier request with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered with this status. The ledger does not store the body.
    Answered(Status),
    /// The target may have run it.
    Unknown,
}

/// Status of the permit to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permit {
    /// Not requested, or refused.
    None,
    /// Requested with the ledger entry of this sequence number.
    Requested(u64),
    /// Granted by the standby.
    Granted,
}

/// Phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a slot.
    Queued,
    /// It waits while its shard or pin moves, or after the grace period of a draining target.
    Held,
    /// It waits until this time to be retried.
    Delayed(Duration),
    /// It was sent to the target.
    Running(Attempt),
}

/// An attempt at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// Time at which it was sent.
    pub sent: Duration,
    /// Time at which the target gives up.
    pub deadline: Duration,
    /// Whether the head of its answer arrived.
    pub head_received: bool,
    /// Whether the lane aborted it.
    pub aborted: bool,
    /// Whether it took much longer than usual, which was recorded as evidence about the target.
    pub overdue: bool,
}

/// A lost attempt that the target may still be processing, so that its slot stays occupied.
#[derive(Debug, Clone)]
pub(crate) struct Abandoned {
    /// The class whose slot it occupies.
    pub class: table::Class,
    /// The shard of its key.
    pub shard: Option<id::Shard>,
    /// Its key.
    pub key: Option<Bytes>,
    /// Time by which the target is known to have given up.
    pub until: Duration,
}

/// A request that the lane has not finished.
#[derive(Debug, Clone)]
pub(crate) struct Active {
    /// The request, with the caller that gets the answer.
    pub arrival: Arrival,
    /// Whether that caller still waits for the answer.
    pub awaited: bool,
    /// Its position among requests with the same deadline.
    pub order: u64,
    /// Number of times that it was sent.
    pub attempts: u32,
    /// Whether the target may already have run it.
    pub may_have_run: bool,
    /// Its phase.
    pub phase: Phase,
    /// Status of its send permit.
    pub permit: Permit,
    /// Later arrivals with the same id and fingerprint.
    pub attached: Vec<Arrival>,
}

impl Active {
    /// Returns the running attempt, if any.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            Phase::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Returns the running attempt, if any.
    pub fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.phase {
            Phase::Running(attempt) => Some(attempt),
            _ => None,
        }
    }
}
