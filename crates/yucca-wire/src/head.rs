//! The heads of requests and answers that pass between entry and lane.
//!
//! Both travel as a length-prefixed [`codec`](crate::codec) frame before the raw body.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::problem;
use crate::table;

/// The head of a request on its way to a lane.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The id under which it runs at most once.
    pub id: id::Request,
    /// The service.
    pub service: id::Service,
    /// The key, where the service is divided by key.
    pub key: Option<Bytes>,
    /// The target whose lane it goes to.
    pub target: id::Target,
    /// The fencing token that the sender knows for the key's owner; the lane's own knowledge decides.
    pub token: id::Token,
    /// The work class.
    pub class: table::Class,
    /// Whether running it again does no harm.
    pub idempotent: bool,
    /// The time left until its deadline, in microseconds.
    pub remaining_us: u64,
    /// Whether it has already passed a relay; it passes no second one.
    pub relayed: bool,
    /// Whether an earlier sending of the same request may have reached a lane.
    pub resent: bool,
    /// How many bytes of body follow, where known.
    pub length: Option<u64>,
    /// The method.
    pub method: String,
    /// The path and query as the caller sent them.
    pub uri: String,
    /// The end-to-end headers.
    pub headers: Vec<Field>,
}

/// A header field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// The name in lower case.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// The head of an answer on its way back to the entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// What became of the request.
    pub verdict: Verdict,
    /// The load of the lane when it answered.
    pub load: Load,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The target answered; its body follows.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The end-to-end headers.
        headers: Vec<Field>,
    },
    /// The lane answers in the target's place.
    Refused(problem::Problem),
}

/// The load of a lane.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests at the target.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// The predicted wait of new short work, in microseconds.
    pub wait_us: u64,
}
