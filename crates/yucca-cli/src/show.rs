//! Output of commands: tables for people, JSON for scripts.

use comfy_table::{ContentArrangement, Table, presets};
use serde_json::Value;

/// Result of a command.
#[derive(Debug, Clone)]
pub struct Report {
    /// Complete result, for `--json`.
    pub json: Value,
    /// Result as text.
    pub text: String,
}

impl Report {
    /// Creates a report.
    pub fn new(json: Value, text: impl Into<String>) -> Self {
        Self {
            json,
            text: text.into(),
        }
    }

    /// Returns the output of the command.
    pub fn render(&self, as_json: bool) -> String {
        if as_json {
            format!("{:#}", self.json)
        } else {
            self.text.clone()
        }
    }
}

/// Returns a table with these columns and rows.
pub fn table(columns: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(columns.to_vec());
    for row in rows {
        table.add_row(row);
    }
    let lines: Vec<String> = table.lines().map(|line| line.trim_end().into()).collect();
    lines.join("\n")
}

/// Returns a member of an object as text, or a dash if it is absent or null.
pub fn text(value: &Value, name: &str) -> String {
    match value.get(name) {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Returns a fencing token as text, or a dash if `value` is not a token.
pub fn token(value: &Value) -> String {
    match serde_json::from_value::<yucca_wire::id::Token>(value.clone()) {
        Ok(token) => token.to_string(),
        Err(_) => "-".into(),
    }
}

/// Returns the names and values in the object that is the member `name` of `value`; none if it is
/// absent.
pub fn members<'a>(value: &'a Value, name: &str) -> Vec<(&'a str, &'a Value)> {
    let object = value.get(name).and_then(Value::as_object);
    let members = object.into_iter().flatten();
    members
        .map(|(name, value)| (name.as_str(), value))
        .collect()
}
