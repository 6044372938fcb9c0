//! `yucca ticket check FILE`

use std::fs;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use yucca_own::ticket;

use crate::error::Error;
use crate::show;

/// Checks a ticket file.
///
/// Example: `yucca ticket check tickets/kelani.toml`
#[derive(Debug, Clone, Bpaf)]
pub struct Check {
    /// Ticket file, in TOML if its name ends in `.toml`, else in JSON.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Ticket file without findings.
pub struct File {
    /// Text of the file.
    pub text: Vec<u8>,
    /// Format of the text.
    pub format: ticket::Format,
    /// Content.
    pub checked: ticket::Checked,
}

/// Reads and checks a ticket file.
///
/// # Errors
/// Returns an error if the file cannot be read or has findings.
pub fn read(path: &Path) -> Result<File, Error> {
    let text = fs::read(path).map_err(|source| Error::File {
        path: path.into(),
        source,
    })?;
    let is_toml = path
        .extension()
        .is_some_and(|extension| extension == "toml");
    let format = if is_toml {
        ticket::Format::Toml
    } else {
        ticket::Format::Json
    };
    let checked = ticket::check(&text, format).map_err(|mut findings| {
        for finding in &mut findings {
            finding.place.file = Some(path.display().to_string());
        }
        Error::Findings(findings)
    })?;
    Ok(File {
        text,
        format,
        checked,
    })
}

impl Check {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or has findings.
    pub fn run(&self) -> Result<show::Report, Error> {
        let checked = read(&self.file)?.checked;
        let json = serde_json::json!({ "number": checked.number, "findings": [] });
        let text = format!(
            "ticket {} is valid: {} services, {} domains, {} sets of pins, {} sets of drains",
            checked.number,
            checked.services.len(),
            checked.domains.len(),
            checked.pins.len(),
            checked.drains.len()
        );
        Ok(show::Report::new(json, text))
    }
}
