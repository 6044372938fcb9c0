//! Checked TOML settings, shared by all binaries.
//!
//! A binary declares its settings with [`section!`]; [`read`] then gives them, or all findings at
//! once, each with its place and how to mend it. [`defaults::print`] documents every setting.

pub mod defaults;
pub mod field;
mod place;
pub mod reader;
mod section;
pub mod value;

pub use reader::{read, read_checked};
