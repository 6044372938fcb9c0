//! Tools for trying yuccahill on one machine: mock targets, a deployment in one process, and load
//! generation.
//!
//! Nothing here runs in production.

pub mod cluster;
pub mod deployment;
pub mod fleet;
pub mod journal;
pub mod load;
pub mod route;
pub mod slope;
pub mod target;
pub mod work;
