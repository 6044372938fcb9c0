//! Tickets, shard homes, ownership and placement: the deterministic states on the replicated logs.
//!
//! [`global`] is the state that all domains share, [`domain`] the state that one domain decides by
//! itself, and [`site`] the whole state of a deployment with one log.
//!
//! The states do no I/O: `apply` is a pure function of state, version and command, and `plan`
//! returns the commands that the leader should propose next. Every command carries the conditions
//! under which it was proposed. It has no effect if they no longer hold, so late and repeated
//! commands are harmless. See `docs/design/`.

pub mod delta;
pub mod domain;
pub mod global;
pub mod lease;
pub mod site;
pub mod ticket;
