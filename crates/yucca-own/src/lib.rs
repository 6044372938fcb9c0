//! Tickets, shard homes, ownership and placement: the deterministic states on the replicated logs.
//!
//! [`global`] is what all domains agree on, [`domain`] what one domain decides alone, [`site`] the whole
//! state of a deployment with one log. They are
//! sans-IO: `apply` is a pure function of state, version and command, and `plan` tells the leader
//! what to propose next. Every command carries what it presumes, and has no effect where that no
//! longer holds, so that a late or repeated one does no harm. See `docs/design/`.

pub mod delta;
pub mod domain;
pub mod global;
pub mod lease;
pub mod site;
pub mod ticket;
