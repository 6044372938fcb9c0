//! A replicated log in the manner of Raft: one leader per term, commit by quorum, and entries that
//! are durable before they are acknowledged.
//!
//! The core is sans-IO. [`node::Node`] takes an input and the time since process start and
//! returns outputs. The owner sends the messages, stores the records and applies the entries.

pub mod entry;
mod log;
pub mod membership;
pub mod message;
pub mod node;
mod progress;
pub mod storage;
