//! What a lane knows of one request while it lives.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use yucca_wire::id;
use yucca_wire::table;

/// The process's handle of one waiting exchange; two arrivals with the same id have two.
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

/// A request that reached the lane.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The id under which it runs at most once.
    pub id: id::Request,
    /// Who waits for the answer.
    pub caller: Caller,
    /// A hash of its method, its URI and what is known of its body.
    pub fingerprint: u64,
    /// The work class.
    pub class: table::Class,
    /// Whether running it again does no harm.
    pub idempotent: bool,
    /// The shard of its key, where the service is divided by key.
    pub shard: Option<id::Shard>,
    /// Its key, where the service is divided by key.
    pub key: Option<Bytes>,
    /// The bytes that it holds while it waits.
    pub bytes: u64,
    /// Its deadline on the lane's clock.
    pub deadline: Duration,
    /// Whether an earlier lane may have seen the id: the entry places it again, or the id is the
    /// caller's own.
    pub resent: bool,
}

impl Arrival {
    /// Tells whether the target may have run it before. Non-idempotent work is in the ledger then.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.resent && self.idempotent
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target refused it before running it.
    Refused,
    /// The target refused it before running it because it has too much work.
    Shed {
        /// How long the target asks to be spared.
        retry_after: Duration,
    },
    /// No connection was had, so nothing was sent.
    ConnectFailed,
    /// The connection was lost after the request was sent.
    Lost,
    /// No answer came by the deadline.
    Timeout,
}

impl Failure {
    /// Tells whether the target surely did not run the request.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::Refused | Self::Shed { .. } | Self::ConnectFailed
        )
    }
}

/// What is known of an id whose answer is no longer on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered with this status; the body is not kept.
    Answered(Status),
    /// The target may have run it.
    Unknown,
}

/// How the standby's leave to send a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permit {
    /// Not asked for, or refused.
    None,
    /// Asked for with the ledger entry of this sequence number.
    Requested(u64),
    /// Given, or not needed.
    Granted,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a slot.
    Queued,
    /// Waits for the end of a move of its shard or pin.
    Held,
    /// Waits until then to be tried again.
    Delayed(Duration),
    /// Is at the target.
    Running(Attempt),
}

/// An attempt at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// When it was sent.
    pub sent: Duration,
    /// When the target gives it up.
    pub deadline: Duration,
    /// Whether its answer's head was delivered.
    pub head_received: bool,
    /// Whether the process was told to abort it.
    pub aborted: bool,
    /// Whether it took much longer than usual and the target was dialled for it.
    pub overdue: bool,
}

/// A lost attempt on which the target may still work.
#[derive(Debug, Clone)]
pub(crate) struct Ghost {
    /// The class whose slot it holds.
    pub class: table::Class,
    /// The shard of its key.
    pub shard: Option<id::Shard>,
    /// Its key.
    pub key: Option<Bytes>,
    /// When the target surely gave it up.
    pub until: Duration,
}

/// A request that the lane has not finished.
#[derive(Debug, Clone)]
pub(crate) struct Active {
    /// The request, with the caller that gets the answer.
    pub arrival: Arrival,
    /// Whether that caller still waits.
    pub awaited: bool,
    /// Its place among requests with the same deadline.
    pub order: u64,
    /// How often it was sent.
    pub attempts: u32,
    /// Whether the target may have run it although the lane goes on with it.
    pub doubt: bool,
    /// Where it stands.
    pub phase: Phase,
    /// How the standby's leave stands.
    pub permit: Permit,
    /// Later arrivals with the same id and fingerprint.
    pub attached: Vec<Arrival>,
}

impl Active {
    /// Returns the running attempt.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            Phase::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Returns the running attempt.
    pub fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.phase {
            Phase::Running(attempt) => Some(attempt),
            _ => None,
        }
    }
}
