//! Load generation, the measures taken under load, and the baselines for comparison.

pub mod client;
pub mod discovery;
pub mod drive;
pub mod experiment;
pub mod measure;
pub mod router;
pub mod table;
pub mod tally;
pub mod trace;
