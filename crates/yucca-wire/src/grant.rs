//! What a lane tells its target: grants and revocations of shards and pins.
//!
//! Sent as JSON by `POST` to [`PATH`]; each request also carries [`TOKEN_HEADER`].

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id;

/// The path of a target's grants.
pub const PATH: &str = "/.yucca/grants";

/// The header by which each request and order carries its fencing token.
pub const TOKEN_HEADER: &str = "yucca-token";

/// The header by which each request carries its id.
pub const REQUEST_HEADER: &str = "yucca-request";

/// The header by which each request carries the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "yucca-deadline-ms";

/// The header by which a target states that it refused a request before running it.
pub const REFUSED_HEADER: &str = "yucca-refused";

/// An order of a lane to its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token of the lane.
    pub token: id::Token,
    /// The shards that the target owns from now on.
    pub granted: Vec<Shard>,
    /// The shards that it no longer owns.
    pub revoked: Vec<Shard>,
    /// The hot keys that it owns from now on.
    pub pinned: Vec<Pin>,
    /// The hot keys that it no longer owns.
    pub unpinned: Vec<Pin>,
}

/// A shard in an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// The shard.
    pub shard: id::Shard,
    /// The fencing token of its grant.
    pub token: id::Token,
}

/// A hot key in an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pin {
    /// The key.
    pub key: Bytes,
    /// The fencing token of its grant.
    pub token: id::Token,
}
