//! Connections to peers and targets, and the framing of messages.

pub mod framed;
pub mod peers;
pub mod pool;
pub mod socket;
