//! Messages from a lane to its target: grants and revocations of shards and pins.
//!
//! They are sent as JSON by `POST` to [`PATH`]; each request also carries [`TOKEN_HEADER`].

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id;

/// Path on a target that receives orders.
pub const PATH: &str = "/.yucca/grants";

/// Header with the fencing token of a request or order.
pub const TOKEN_HEADER: &str = "yucca-token";

/// Header with the id of a request.
pub const REQUEST_HEADER: &str = "yucca-request";

/// Header with the time left until the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "yucca-deadline-ms";

/// Header that a target sends if it refused a request without running it.
pub const REFUSED_HEADER: &str = "yucca-refused";

/// Order of a lane to its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lane.
    pub token: id::Token,
    /// Shards that the target owns from now on.
    pub granted: Vec<Shard>,
    /// Shards that the target no longer owns.
    pub revoked: Vec<Shard>,
    /// Hot keys that the target owns from now on.
    pub pinned: Vec<Pin>,
    /// Hot keys that the target no longer owns.
    pub unpinned: Vec<Pin>,
}

/// Shard in an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Number of the shard.
    pub shard: id::Shard,
    /// Fencing token of the shard's grant.
    pub token: id::Token,
}

/// Hot key in an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pin {
    /// Bytes of the key.
    pub key: Bytes,
    /// Fencing token of the key's grant.
    pub token: id::Token,
}
