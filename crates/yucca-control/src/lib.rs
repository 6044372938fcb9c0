//! The control process: one on each host, for what the system agrees on and keeps.
//!
//! It runs replicas of the global log and of its domain's log, hears entry processes and
//! operators, and passes versions of the table on: global log, domain, host.

pub mod client;
pub mod connection;
pub mod directory;
pub mod machine;
pub mod message;
mod mutex;
pub mod peer;
pub mod process;
pub mod replay;
pub mod replica;
pub mod request;
pub mod settings;
pub mod transport;
pub mod version;
