//! Findings: problems in a ticket or settings file, each with its place in the text.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Problem in a ticket or settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Place of the problem in the text.
    pub place: Place,
    /// Description of the problem.
    pub problem: String,
    /// Instruction that fixes the problem.
    pub remedy: String,
}

/// Place in a text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// File name; `None` for text received over a connection.
    pub file: Option<String>,
    /// Line, counted from 1, if known.
    pub line: Option<usize>,
    /// Column, counted from 1, if known.
    pub column: Option<usize>,
    /// Dotted path of the value, such as `services.till.deadline`.
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
