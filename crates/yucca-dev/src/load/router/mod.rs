//! Ways to bring a request to a target: through the deployment, or by a baseline.

mod baseline;
mod entries;
mod queue;

use std::fmt;

use futures_util::future::BoxFuture;
use serde::Serialize;

use super::client;
use super::trace;

pub use baseline::Baseline;
pub use entries::Entries;

/// A way to bring a request to a target.
pub trait Router: Send + Sync {
    /// Sends a request and reads the whole answer.
    fn send<'a>(
        &'a self,
        arrival: &'a trace::Arrival,
    ) -> BoxFuture<'a, Result<client::Reply, client::Error>>;
}

/// What is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The deployment: entries, lanes and placement.
    Yuccahill,
    /// Straight to targets: hashing for keys, random choice for pools, the target's own queue.
    Direct,
    /// A queue in order of arrival for each target, exact slots, no classes; hashing.
    OneQueue,
    /// Classes and exact slots for each target, and hashing instead of placement.
    Hashing,
}

impl Kind {
    /// Returns all of them, the deployment first.
    pub const ALL: [Self; 4] = [Self::Yuccahill, Self::Direct, Self::OneQueue, Self::Hashing];
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Yuccahill => "yuccahill",
            Self::Direct => "direct",
            Self::OneQueue => "one queue",
            Self::Hashing => "hashing",
        })
    }
}
