//! What lives for one connection: framing, connections to peers, connections to targets.

pub mod framed;
pub mod peers;
pub mod pool;
pub mod socket;
