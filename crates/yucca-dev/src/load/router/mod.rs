//! Routers under comparison: the deployment and its baselines.

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

/// Sends requests to targets.
pub trait Router: Send + Sync {
    /// Sends a request and reads the complete response.
    fn send<'a>(
        &'a self,
        arrival: &'a trace::Arrival,
    ) -> BoxFuture<'a, Result<client::Reply, client::Error>>;
}

/// Kind of router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The deployment: entry hosts, lanes and placement.
    Yuccahill,
    /// Direct requests, limited only by the target's connections: by hash of the key, or to a
    /// random target of a pool. The target itself queues.
    Direct,
    /// One client-side queue per target in order of arrival, limited to the target's slots, without
    /// work classes. Keys are hashed; a pool's request goes to the less busy of two random targets.
    OneQueue,
    /// As `OneQueue`, but with work classes: long work never takes a target's last slot. Shows the
    /// effect of placement, which is replaced by hashing.
    Hashing,
}

impl Kind {
    /// All kinds, the deployment first.
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
