//! A replicated log: one leader per term, commit by quorum, durable before it is acknowledged.
//!
//! The core is sans-IO. [`node::Node`] takes an input and the time since process start and
//! returns outputs; the owner sends messages, stores records and applies entries.

pub mod entry;
mod log;
pub mod membership;
pub mod message;
pub mod node;
mod progress;
pub mod storage;
