//! What lives as long as a version of the table.

pub mod feed;
