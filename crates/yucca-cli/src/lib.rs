//! Operators' tools: the command line `yucca`, and `yucca-burn`, which reports how fast services
//! use up their error budgets.

pub mod burn;
pub mod client;
pub mod command;
pub mod error;
pub mod show;

pub use command::Command;
