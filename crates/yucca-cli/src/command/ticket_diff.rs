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
    /// The ticket, as TOML or JSON.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// The sections of a ticket that are shown name by name.
const SECTIONS: [&str; 4] = ["services", "domains", "pins", "drains"];

impl Diff {
    /// Carries the command out.
    ///
    /// # Errors
    /// Fails where the file has findings or no control process answers.
    pub async fn run(&self, client: &client::Client) -> Result<show::Report, Error> {
        let file = ticket_check::read(&self.file)?;
        let table = client.get("/table").await?;
        let wanted =
            serde_json::to_value(&file.checked).map_err(|error| Error::InvalidResponse {
                reason: error.to_string(),
            })?;
        let stands = table.get("global").cloned().unwrap_or_default();
        let mut lines = Vec::new();
        for section in SECTIONS {
            for (name, value) in show::members(&wanted, section) {
                let before = stands.get(section).and_then(|part| part.get(name));
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
                // The generation of a domain is the system's own; tickets do not name it.
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
