//! Stand-ins for trying yuccahill on one machine: targets, a one-process deployment and load.
//!
//! Nothing here is part of a deployment in use.

pub mod cluster;
pub mod deployment;
pub mod fleet;
pub mod journal;
pub mod load;
pub mod route;
pub mod slope;
pub mod target;
pub mod work;
