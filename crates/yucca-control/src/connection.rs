//! What lives as long as a connection.

pub mod listener;
