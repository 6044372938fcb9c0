//! Handling of a single request, from its head to its answer.

pub mod answer;
pub mod body;
pub mod choose;
pub mod fields;
pub mod forward;
pub mod hop;
pub mod measure;
pub mod parse;
