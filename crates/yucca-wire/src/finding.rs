//! Findings: what is wrong in a text that an operator wrote, each with its place.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Something wrong in a ticket or settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub problem: String,
    /// How to mend it.
    pub remedy: String,
}

/// A place in a text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The file; none for text that came over a connection.
    pub file: Option<String>,
    /// The line, from 1, where known.
    pub line: Option<usize>,
    /// The column, from 1, where known.
    pub column: Option<usize>,
    /// The dotted path of the value, such as `services.till.deadline`.
    pub path: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.problem, self.remedy)
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}:")?;
        }
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(f, "{line}:{column}: ")?;
        }
        f.write_str(&self.path)
    }
}
