//! State of the whole process: listeners, lanes, start and stop.

pub mod announce;
pub mod balancer;
pub mod callers;
pub mod lanes;
pub mod listen;
pub mod peer;
pub mod running;
pub mod shared;

pub use running::{Addresses, Error, Process};
