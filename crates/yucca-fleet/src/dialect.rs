//! Protocols of callers, targets and operators, with one trait for each.
//!
//! A dialect only translates: it has no state and makes no decisions.

pub mod caller;
pub mod operator;
pub mod target;
