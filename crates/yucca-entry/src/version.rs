//! What lives for one version of the routing table.

pub mod current;
pub mod sync;
pub mod view;
