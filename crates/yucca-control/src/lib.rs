//! The control process, which runs once on each host and manages the replicated state.
//!
//! It runs replicas of the global log and of domain logs, answers entry processes and operators,
//! and distributes versions of the table from the global log to the domains and their hosts.

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
