//! Processes of a deployment with one log group: control hosts with disks, and entry hosts that all
//! send to the same targets.
//!
//! Hosts are named by their IP address and find each other from a few seeds. The protocols of
//! callers, targets and operators are behind the traits of [`dialect`].

pub mod body;
pub mod clock;
pub mod contact;
pub mod control;
pub mod dialect;
pub mod entry;
pub mod error;
pub mod journal;
pub mod mesh;
pub mod metric;
mod mutex;
pub mod server;
pub mod settings;
