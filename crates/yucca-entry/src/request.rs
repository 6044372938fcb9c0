//! What lives for one request.

pub mod answer;
pub mod body;
pub mod choose;
pub mod fields;
pub mod forward;
pub mod hop;
pub mod measure;
pub mod parse;
