//! The entries of the log and their positions.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::membership;

/// Approximate encoded size of an entry without its body, in bytes.
pub(crate) const OVERHEAD_BYTES: usize = 24;

/// A term: a period with at most one leader.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// The identity of a replicated log, drawn at random when the log is bootstrapped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Cluster(pub u64);

impl fmt::Display for Cluster {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A position in a log. Of two logs, the one with the greater last position is more up to date.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the entry was proposed.
    pub term: Term,
    /// The version of the entry.
    pub version: id::Version,
}

/// Contents of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// No operation. A new leader commits one to find out which earlier entries are committed.
    #[serde(rename = "Blank")]
    Noop,
    /// A proposal, to be applied to the state machine.
    Data(Bytes),
    /// The complete new membership.
    Members(membership::Members),
}

impl Body {
    fn size(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Data(data) => data.len(),
            Self::Members(members) => members.len() * membership::MEMBER_BYTES,
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position of the entry in the log.
    pub position: Position,
    /// Contents of the entry.
    pub body: Body,
}

impl Entry {
    /// Returns the version of the entry.
    pub fn version(&self) -> id::Version {
        self.position.version
    }

    /// Returns the approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        self.body.size() + OVERHEAD_BYTES
    }
}

/// A snapshot of the state machine, with the membership in force at its position.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the state includes.
    pub position: Position,
    /// The membership at that entry.
    pub members: membership::Members,
    /// State of the state machine.
    pub state: Bytes,
}

/// Returns the version after the given one.
pub(crate) fn after(version: id::Version) -> id::Version {
    id::Version(version.0.saturating_add(1))
}
