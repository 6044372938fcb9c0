//! Versions of the routing table.

pub mod current;
pub mod sync;
pub mod view;
