//! The decisions of a lane: admission, queues, retries, at-most-once and the state of its target.
//!
//! A lane is the only sender of work to one target. Everything here is free of IO and of clocks:
//! a [`lane::Lane`] takes [`lane::Input`]s and the time since its process started, and returns
//! [`lane::Output`]s for the process to carry out. Equal inputs give equal outputs.

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
