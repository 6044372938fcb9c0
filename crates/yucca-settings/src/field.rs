//! Declarations of settings: name, description, default and form of the value.

/// Declaration of a setting in a section.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Name of the setting in the file.
    pub name: &'static str,
    /// Description, as lines of text.
    pub description: &'static [&'static str],
    /// Default value as TOML text, if any.
    pub default: Option<&'static str>,
    /// Returns the form of the value.
    pub shape: fn() -> Shape,
}

/// Form of a value.
#[derive(Debug, Clone)]
pub enum Shape {
    /// Single value; the text completes "expected ...".
    Single(String),
    /// Value that may be absent.
    Optional(Box<Shape>),
    /// Table with these fields.
    Table(&'static [Field]),
    /// List with any number of values.
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
