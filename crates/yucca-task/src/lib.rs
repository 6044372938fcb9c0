//! Tasks of the workspace that contributors run by hand and CI runs as checks.

pub mod border;
