//! Decisions of a host that shares its targets with other hosts.
//!
//! Each entry host decides for the requests that it took. Targets check keys and names themselves,
//! so several senders do no harm; what hosts tell each other of their load only makes decisions
//! better. A [`service::Service`] takes events with the time and returns what is to be done.

pub mod service;
pub mod target;
pub mod window;
