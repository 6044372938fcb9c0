//! The operators' tools: `yucca`, the command line, and `yucca-burn`, the report on service-level
//! burn.

pub mod burn;
pub mod client;
pub mod command;
pub mod error;
pub mod show;

pub use command::Command;
