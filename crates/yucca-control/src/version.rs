//! Versions of the table.

pub mod feed;
