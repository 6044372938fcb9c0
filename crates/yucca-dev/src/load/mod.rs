//! Open-loop load, the measures taken under it, and the baselines that run beside it.

pub mod client;
pub mod discovery;
pub mod drive;
pub mod experiment;
pub mod measure;
pub mod router;
pub mod table;
pub mod tally;
pub mod trace;
