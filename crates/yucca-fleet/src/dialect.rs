//! What outsiders speak: one trait for callers, one for targets, one for operators.
//!
//! A dialect only translates. It keeps no state and decides nothing.

pub mod caller;
pub mod operator;
pub mod target;
