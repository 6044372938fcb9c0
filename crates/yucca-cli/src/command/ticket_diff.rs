//! `yucca ticket diff FILE`

use std::path::PathBuf;

use bpaf::Bpaf;
use serde_json::Value;

use crate::client;
use crate::command::ticket_check;
use crate::error::Error;
use crate::show;

/// Shows what a ticket file would change.
///
/// Example: `yucca ticket diff tickets/kelani.toml`
#[derive(Debug, Clone, Bpaf)]
pub struct Diff {
    /// Ticket file, in TOML if its name ends in `.toml`, else in JSON.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Sections of a ticket that are compared name by name.
const SECTIONS: [&str; 4] = ["services", "domains", "pins", "drains"];

impl Diff {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or has findings, or if the control process
    /// cannot be reached.
    pub async fn run(&self, client: &client::Client) -> Result<show::Report, Error> {
        let file = ticket_check::read(&self.file)?;
        let table = client.get("/table").await?;
        let submitted =
            serde_json::to_value(&file.checked).map_err(|error| Error::InvalidResponse {
                reason: error.to_string(),
            })?;
        let current = table.get("global").cloned().unwrap_or_default();
        let mut lines = Vec::new();
        for section in SECTIONS {
            for (name, value) in show::members(&submitted, section) {
                let before = current.get(section).and_then(|part| part.get(name));
                compare(&format!("{section}.{name}"), before, value, &mut lines);
            }
        }
        if lines.is_empty() {
            lines.push("nothing would change".into());
        }
        let json = serde_json::json!({ "changes": lines });
        Ok(show::Report::new(json, lines.join("\n")))
    }
}

/// Adds a line for each value that differs.
fn compare(path: &str, before: Option<&Value>, after: &Value, lines: &mut Vec<String>) {
    match (before, after) {
        (Some(before), after) if before == after => {}
        (Some(Value::Object(old)), Value::Object(new)) => {
            for (name, value) in new {
                compare(&format!("{path}.{name}"), old.get(name), value, lines);
            }
            for name in old.keys().filter(|name| !new.contains_key(*name)) {
                // Tickets do not contain the generation of a domain: control processes set it.
                if name != "generation" {
                    lines.push(format!("- {path}.{name}"));
                }
            }
        }
        (Some(_), Value::Null) => lines.push(format!("- {path}")),
        (Some(before), after) => lines.push(format!("~ {path}: {before} -> {after}")),
        (None, Value::Null) => {}
        (None, after) => lines.push(format!("+ {path}: {after}")),
    }
}
