//! Calls to other control processes.

pub mod http;
pub mod memory;

use std::fmt;
use std::net;
use std::time;

use bytes::Bytes;
use futures_util::future;

/// A call's answer, in the future.
pub type Answer<'a> = future::BoxFuture<'a, Result<Bytes, Error>>;

/// A frame on its way to another control process.
#[derive(Debug, Clone)]
pub struct Call {
    /// The process.
    pub to: net::SocketAddr,
    /// The path, which tells the kind of message.
    pub path: &'static str,
    /// The frame.
    pub frame: Bytes,
    /// How long to wait for the answer.
    pub timeout: time::Duration,
}

/// Sends frames to other control processes.
pub trait Peer: Send + Sync {
    /// Sends one frame and returns the frame that the process answers.
    fn call(&self, call: Call) -> Answer<'_>;
}

/// What answers the calls of other control processes.
pub trait Handler: Send + Sync {
    /// Answers one frame.
    fn handle(&self, path: String, frame: Bytes) -> future::BoxFuture<'_, Result<Bytes, Refusal>>;
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The process did not answer in time.
    Timeout {
        /// The process.
        to: net::SocketAddr,
    },
    /// The connection failed.
    Connection {
        /// The process.
        to: net::SocketAddr,
        /// What the system reported.
        reason: String,
    },
    /// The process refused the call.
    Refused {
        /// The process.
        to: net::SocketAddr,
        /// The HTTP status.
        status: u16,
        /// What it said.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout { to } => write!(
                f,
                "control process at {to} did not answer in time; see whether it runs and can be reached"
            ),
            Self::Connection { to, reason } => write!(
                f,
                "no connection to the control process at {to}: {reason}; see whether it runs"
            ),
            Self::Refused { to, status, reason } => {
                write!(f, "control process at {to} refused with {status}: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Why a call is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The frame is malformed, or of another deployment or a newer wire version.
    Frame {
        /// What is wrong with it.
        reason: String,
    },
    /// The message was heard before.
    Replayed {
        /// The sender.
        from: String,
    },
    /// No call has this path.
    Path {
        /// The path.
        path: String,
    },
    /// The process cannot answer now.
    Unavailable {
        /// Why not.
        reason: String,
    },
}

impl Refusal {
    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        match self {
            Self::Frame { .. } => 400,
            Self::Replayed { .. } => 409,
            Self::Path { .. } => 404,
            Self::Unavailable { .. } => 503,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Frame { reason } => f.write_str(reason),
            Self::Replayed { from } => write!(
                f,
                "message of {from} was heard before; two processes may run as this host, or a message was replayed"
            ),
            Self::Path { path } => write!(f, "no call has the path {path}; upgrade this process"),
            Self::Unavailable { reason } => f.write_str(reason),
        }
    }
}

impl std::error::Error for Refusal {}
