//! The entry process. It receives requests of callers, routes each to the lane of the target that
//! owns its key, and runs the lanes that its domain assigned to this host.
//!
//! Modules are ordered by lifetime of their state: [`request`], [`connection`], [`version`] (of the
//! routing table), [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;
