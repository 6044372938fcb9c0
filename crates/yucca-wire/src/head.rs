//! Heads of requests and responses between an entry process and a lane.
//!
//! A head is sent as a length-prefixed [`codec`](crate::codec) frame, followed by the raw body.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::problem;
use crate::table;

/// Head of a request that is sent to a lane.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Id of the request. Unless it is idempotent, a request runs at most once under its id.
    pub id: id::Request,
    /// Service that the request is for.
    pub service: id::Service,
    /// Key of the request, if the service is divided by key.
    pub key: Option<Bytes>,
    /// Target whose lane receives the request.
    pub target: id::Target,
    /// Fencing token of the key's owner as known to the sender. The lane decides by its own state.
    pub token: id::Token,
    /// Work class.
    pub class: table::Class,
    /// Whether running the request more than once is safe.
    pub idempotent: bool,
    /// Time left until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Whether the request was relayed by a host already; it is not relayed again.
    pub relayed: bool,
    /// Whether an earlier attempt of the same request may have reached a lane.
    pub resent: bool,
    /// Length of the body in bytes, if known.
    pub length: Option<u64>,
    /// HTTP method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub uri: String,
    /// End-to-end headers.
    pub headers: Vec<Field>,
}

/// Header field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Name in lower case.
    pub name: String,
    /// Raw value.
    pub value: Bytes,
}

/// Head of a response that is sent back to the entry process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Result of the request.
    pub verdict: Verdict,
    /// Load of the lane at the time of the response.
    pub load: Load,
}

/// Result of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The target responded; the body of its response follows.
    Answered {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<Field>,
    },
    /// The lane itself responds, with a problem.
    Refused(problem::Problem),
}

/// Returns whether an HTTP status is one of a final answer. HTTP libraries also take others for the
/// status of an answer: 600 to 999, and 101 for a request that asked for no other protocol.
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}

/// Load of a lane.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests at the target.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Predicted wait of a new request of the short work class, in microseconds.
    pub wait_us: u64,
}
