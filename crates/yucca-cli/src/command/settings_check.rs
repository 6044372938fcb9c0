//! `yucca settings check FILE...`

use std::fs;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use yucca_wire::finding;

use crate::error::Error;
use crate::show;

/// Checks settings files and prints the findings of all files.
///
/// The name of a file shows its kind: `control.toml` or `*.control.toml`, `entry.toml` or
/// `*.entry.toml`. Example: `yucca settings check settings/kelani/*.toml`
#[derive(Debug, Clone, Bpaf)]
pub struct Check {
    /// Settings files.
    #[bpaf(positional("FILE"), some("name at least one file"))]
    pub files: Vec<PathBuf>,
}

impl Check {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read, has a name of no known kind, or has findings.
    pub fn run(&self) -> Result<show::Report, Error> {
        let mut findings = Vec::new();
        for file in &self.files {
            findings.extend(check_file(file)?);
        }
        if !findings.is_empty() {
            return Err(Error::Findings(findings));
        }
        let json = serde_json::json!({ "files": self.files.len(), "findings": [] });
        let text = format!("{} files are valid", self.files.len());
        Ok(show::Report::new(json, text))
    }
}

fn check_file(path: &Path) -> Result<Vec<finding::Finding>, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::File {
        path: path.into(),
        source,
    })?;
    let name = path.display().to_string();
    let found = if name.ends_with("control.toml") {
        yucca_control::settings::read(&text, &name).err()
    } else if name.ends_with("entry.toml") {
        yucca_settings::read::<yucca_entry::settings::Settings>(&text, &name).err()
    } else {
        return Err(Error::Argument {
            name: "FILE",
            problem: format!("{name} ends in neither control.toml nor entry.toml"),
        });
    };
    Ok(found.unwrap_or_default())
}
