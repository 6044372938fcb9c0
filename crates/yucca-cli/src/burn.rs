//! Service-level burn: how fast each service uses up its error budget, and for which causes.
//!
//! Entry processes count requests by service, class, and cause of failure. [`scrape`] reads the
//! counters, [`record`] appends them to a file, [`report`] computes burn rates over several
//! windows, and [`page`] renders the report as HTML.

pub mod objectives;
pub mod page;
pub mod record;
pub mod report;
pub mod scrape;
