//! Checked TOML settings, shared by all binaries.
//!
//! A binary declares its settings with [`section!`]. [`read`] returns the settings in a text, or
//! all findings, each with its place and remedy. [`defaults::print`] documents every setting.

pub mod defaults;
pub mod field;
mod place;
pub mod reader;
mod section;
pub mod value;

pub use reader::{read, read_checked};
