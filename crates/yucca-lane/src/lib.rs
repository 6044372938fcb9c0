//! The logic of a lane: admission, queues, retries, at-most-once execution and the health of its
//! target.
//!
//! A lane is the only sender of requests to one target. This crate does no I/O and reads no clock:
//! a [`lane::Lane`] takes [`lane::Input`]s and the time since its process started, and returns
//! [`lane::Output`]s for the process to carry out. It is deterministic: the same inputs give the
//! same outputs.

pub mod budget;
pub mod estimate;
pub mod evidence;
pub mod lane;
pub mod ledger;
pub mod owners;
pub mod queue;
pub mod request;
pub mod shared;
pub mod slots;
pub mod standby;
