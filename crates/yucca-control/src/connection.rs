//! Connections of operators, peers and health checks.

pub mod listener;
