//! Scheduling on targets that several entry hosts share.
//!
//! Each entry host decides about the requests that it received. Targets check keys and names
//! themselves, so several senders are safe; the load figures that hosts exchange only improve the
//! decisions. A [`service::Service`] takes events and the time, and returns [`service::Decision`]s.

pub mod cell;
pub mod digest;
pub mod limit;
pub mod quarantine;
pub mod service;
pub mod survey;
pub mod target;
pub mod window;
