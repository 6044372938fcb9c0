//! What operators and targets ask of control hosts.

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
        /// What it says of itself.
        target: target::Target,
        /// What it says of its keys.
        heartbeat: lease::Heartbeat,
    },
    /// A target has left; without `started` the latest instance is meant.
    Leave {
        /// The target.
        name: item::Name,
        /// Its life.
        started: Option<u64>,
    },
    /// An operator changes the configuration.
    Change(item::Patch),
    /// An operator reads the configuration.
    Read,
}

/// Why a request can't be understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// There is no such request.
    UnknownPath,
    /// It can't be read; the reason is told.
    Malformed(String),
}

/// One item that stands, as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Which one.
    pub key: item::Key,
    /// The revision.
    pub revision: item::Revision,
    /// The operator's text.
    pub source: Bytes,
}

/// What a control host answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The announcement is taken.
    Announced {
        /// What the target may hold, and for how long; none renews nothing.
        grants: Option<(Vec<lease::Grant>, time::Duration)>,
        /// Where the next announcement should go.
        next: Option<net::SocketAddr>,
    },
    /// The change or the leave is agreed on.
    Done,
    /// The change is refused for these reasons.
    Refused(Vec<item::Fault>),
    /// The items that stand.
    Items(Vec<Item>),
    /// Another control host leads.
    Redirect(net::SocketAddr),
    /// It can't be done now, or it is not known whether it was done.
    Unavailable(String),
    /// The request can't be understood.
    Invalid(Error),
}

/// How operators and targets speak to control hosts.
pub trait Operator: Send + Sync {
    /// Reads a request.
    ///
    /// # Errors
    /// Fails where it can't be understood.
    fn read(&self, method: &Method, path: &str, body: &Bytes) -> Result<Call, Error>;

    /// Writes the answer to a request on `path`.
    fn write(&self, path: &str, answer: &Answer) -> response::Response<Bytes>;
}
