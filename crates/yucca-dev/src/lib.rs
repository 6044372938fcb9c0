//! Stand-ins for trying yuccahill on one machine: targets, a one-process deployment and load.
//!
//! Nothing here is part of a deployment in use.

pub mod deployment;
pub mod route;
pub mod work;
