//! Generates the border types of `yucca-wire` (the types of its external JSON formats) from the
//! JSON Schemas in `schema/`.

use std::fmt;
use std::fs;
use std::io;
use std::path;

/// File stems of the schemas from which border types are generated.
const SCHEMAS: [&str; 2] = ["announce", "ticket"];

/// Error of a generation or check.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read or written.
    File {
        /// The file.
        path: path::PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A schema is not valid JSON, or types cannot be generated from it.
    Schema {
        /// The schema's file.
        path: path::PathBuf,
        /// The reason.
        reason: String,
    },
    /// A committed file differs from the one that is generated from its schema.
    Stale {
        /// The committed file.
        path: path::PathBuf,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => {
                write!(f, "cannot read or write {}: {source}", path.display())
            }
            Self::Schema { path, reason } => write!(
                f,
                "cannot generate types from schema {}: {reason}; fix the schema",
                path.display()
            ),
            Self::Stale { path } => write!(
                f,
                "{} is not up to date with its schema; run `cargo run -p yucca-task -- border`",
                path.display()
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Generates the types of every schema under the workspace's `root` and writes them to their files.
///
/// # Errors
/// Fails if types cannot be generated from a schema, or if a file cannot be read or written.
pub fn write(root: &path::Path) -> Result<(), Error> {
    for stem in SCHEMAS {
        let target = generated_path(root, stem);
        let text = generate(root, stem)?;
        fs::write(&target, text).map_err(|source| Error::File {
            path: target,
            source,
        })?;
    }
    Ok(())
}

/// Checks that every committed file equals the one that is generated from its schema.
///
/// # Errors
/// Fails if a file differs or cannot be read, or if types cannot be generated from a schema.
pub fn check(root: &path::Path) -> Result<(), Error> {
    for stem in SCHEMAS {
        let target = generated_path(root, stem);
        let expected = generate(root, stem)?;
        let committed = read(&target)?;
        if committed != expected {
            return Err(Error::Stale { path: target });
        }
    }
    Ok(())
}

fn generated_path(root: &path::Path, stem: &str) -> path::PathBuf {
    root.join("crates/yucca-wire/src/generated")
        .join(format!("{stem}.rs"))
}

fn read(path: &path::Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_path_buf(),
        source,
    })
}

fn generate(root: &path::Path, stem: &str) -> Result<String, Error> {
    let path = root.join("schema").join(format!("{stem}.json"));
    let text = read(&path)?;
    let explain = |reason: String| Error::Schema {
        path: path.clone(),
        reason,
    };
    let schema: schemars::schema::RootSchema =
        serde_json::from_str(&text).map_err(|error| explain(error.to_string()))?;
    let mut settings = typify::TypeSpaceSettings::default();
    settings.with_map_type("::indexmap::IndexMap");
    settings.with_derive("PartialEq".into());
    let mut space = typify::TypeSpace::new(&settings);
    space
        .add_root_schema(schema)
        .map_err(|error| explain(error.to_string()))?;
    let file = syn::parse2(space.to_stream()).map_err(|error| explain(error.to_string()))?;
    let header = format!(
        "//! Border types generated from `schema/{stem}.json` by `cargo run -p yucca-task -- border`.\n\n"
    );
    Ok(header + &prettyplease::unparse(&file))
}
