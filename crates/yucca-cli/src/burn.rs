//! The report on service-level burn: how fast each service uses up its error budget, and on what.
//!
//! Entry processes count requests by service, class, and cause of failure. [`scrape`] reads the
//! counters, [`record`] keeps them over time, [`report`] computes burn rates over several windows,
//! [`page`] draws them.

pub mod objectives;
pub mod page;
pub mod record;
pub mod report;
pub mod scrape;
