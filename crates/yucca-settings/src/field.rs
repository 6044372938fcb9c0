//! What is known of a setting before a file is read.

/// A setting of a section.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Its name in the file.
    pub name: &'static str,
    /// What it means, as lines of text.
    pub description: &'static [&'static str],
    /// Its default as TOML text, where it has one.
    pub default: Option<&'static str>,
    /// The form of its value.
    pub shape: fn() -> Shape,
}

/// The form of a value.
#[derive(Debug, Clone)]
pub enum Shape {
    /// A single value; the text completes "expected ...".
    Single(String),
    /// A value that may be absent.
    Optional(Box<Shape>),
    /// A table with these fields.
    Table(&'static [Field]),
    /// Any number of values.
    List(Box<Shape>),
}

impl Shape {
    /// Returns the text that completes "expected ...".
    pub fn expected(&self) -> String {
        match self {
            Self::Single(text) => text.clone(),
            Self::Optional(inner) => inner.expected(),
            Self::Table(_) => "a table".into(),
            Self::List(inner) => format!("a list, each entry {}", inner.expected()),
        }
    }
}
