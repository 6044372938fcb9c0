//! Requests of operators and targets to control hosts.

use std::net;
use std::time;

use bytes::Bytes;
use http::{Method, response};
use yucca_own::site::{item, lease, target};

/// A request to a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A target announces itself.
    Announce {
        /// The target's description of itself.
        target: target::Target,
        /// The keys that it holds or released.
        heartbeat: lease::Heartbeat,
    },
    /// A target is deregistered.
    Leave {
        /// The target.
        name: item::Name,
        /// Start time of the instance. `None` means the latest instance.
        started: Option<u64>,
    },
    /// An operator changes the configuration.
    Change(item::Patch),
    /// An operator reads the configuration.
    Read,
}

/// Error of a request that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No request has this path and method.
    UnknownPath,
    /// The body can't be decoded, for the given reason.
    Malformed(String),
}

/// Active configuration item, as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The kind and name of the item.
    pub key: item::Key,
    /// The revision.
    pub revision: item::Revision,
    /// The source text that the operator sent.
    pub source: Bytes,
}

/// Answer of a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The announcement is accepted.
    Announced {
        /// The keys that the target may hold, and for how long. `None` renews nothing.
        grants: Option<(Vec<lease::Grant>, time::Duration)>,
        /// Address for the next announcement.
        next: Option<net::SocketAddr>,
    },
    /// The change or the deregistration is committed.
    Done,
    /// The change is refused because of these faults.
    Refused(Vec<item::Fault>),
    /// The active items.
    Items(Vec<Item>),
    /// Another control host, at this address, is the leader.
    Redirect(net::SocketAddr),
    /// The request was not performed, or it is unknown whether it was.
    Unavailable(String),
    /// The request can't be decoded.
    Invalid(Error),
}

/// Protocol that operators and targets use with control hosts.
pub trait Operator: Send + Sync {
    /// Decodes a request.
    ///
    /// # Errors
    /// Fails if no request has this path and method, or if the body can't be decoded.
    fn read(&self, method: &Method, path: &str, body: &Bytes) -> Result<Call, Error>;

    /// Encodes the answer to a request on `path`.
    fn write(&self, path: &str, answer: &Answer) -> response::Response<Bytes>;
}
