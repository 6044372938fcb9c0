//! The entry process: hears callers, routes each request to the lane of the target that owns its
//! key, and holds the lanes that its domain gave to this host.
//!
//! Modules are laid out by life span: [`request`], [`connection`], [`version`], [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;
