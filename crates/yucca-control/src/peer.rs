//! Calls between control processes.

pub mod http;
pub mod memory;

use std::fmt;
use std::net;
use std::time;

use bytes::Bytes;
use futures_util::future;

/// The future of a call's answer.
pub type Answer<'a> = future::BoxFuture<'a, Result<Bytes, Error>>;

/// A frame for another control process.
#[derive(Debug, Clone)]
pub struct Call {
    /// The address of the process.
    pub to: net::SocketAddr,
    /// The path, which identifies the type of the message.
    pub path: &'static str,
    /// The frame.
    pub frame: Bytes,
    /// Maximum time to wait for the answer.
    pub timeout: time::Duration,
}

/// Sends frames to other control processes.
pub trait Peer: Send + Sync {
    /// Sends a frame and returns the frame with the answer.
    fn call(&self, call: Call) -> Answer<'_>;
}

/// Answers calls of other control processes.
pub trait Handler: Send + Sync {
    /// Answers a frame that was sent to `path`.
    fn handle(&self, path: String, frame: Bytes) -> future::BoxFuture<'_, Result<Bytes, Refusal>>;
}

/// Why a call failed.
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
        /// The cause.
        reason: String,
    },
    /// The process refused the call.
    Refused {
        /// The process.
        to: net::SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The reason that the process gave.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout { to } => write!(
                f,
                "control process at {to} did not answer in time; check whether it runs and can be reached"
            ),
            Self::Connection { to, reason } => write!(
                f,
                "connection to the control process at {to} failed: {reason}; check whether it runs"
            ),
            Self::Refused { to, status, reason } => {
                write!(
                    f,
                    "control process at {to} refused the call with {status}: {reason}"
                )
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
        /// The fault.
        reason: String,
    },
    /// The message was received before.
    Replayed {
        /// The sender.
        from: String,
    },
    /// The path is unknown.
    Path {
        /// The path.
        path: String,
    },
    /// The process cannot answer now.
    Unavailable {
        /// The reason.
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
                "a message of {from} was received before; two processes may run as this host, or the message was replayed"
            ),
            Self::Path { path } => write!(f, "unknown path {path}; upgrade this process"),
            Self::Unavailable { reason } => f.write_str(reason),
        }
    }
}

impl std::error::Error for Refusal {}
