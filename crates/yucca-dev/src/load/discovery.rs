//! Finds the deployment under load: reads the ready line of `yucca-dev` and fetches its targets.

use std::fmt;
use std::fs;
use std::io;
use std::net;
use std::path;

use serde::{Deserialize, Serialize};
use yucca_wire::id;

use super::client;
use crate::fleet;

/// The line of JSON that `yucca-dev` prints once it can serve requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ready {
    /// Always true.
    pub ready: bool,
    /// Entry hosts.
    pub entries: Vec<Entry>,
    /// URL of the operator interface.
    pub operator: String,
    /// URL of the fault API.
    pub faults: String,
}

/// An entry host in the ready line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Failure domain of the host.
    pub domain: id::Domain,
    /// Address for callers.
    pub callers: net::SocketAddr,
}

/// Targets of a deployment, and a second, identical set for the baselines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Targets {
    /// Targets that the deployment sends requests to.
    pub served: Vec<fleet::Listing>,
    /// Targets that are not announced to the deployment, so that no lane sends to them. They don't
    /// check tokens, so that baselines can send to them directly.
    pub spare: Vec<fleet::Listing>,
}

/// Why a deployment can't be found.
#[derive(Debug)]
pub enum Error {
    /// The file cannot be read.
    Read {
        /// The file.
        file: path::PathBuf,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The text is not a ready line.
    Parse {
        /// The file.
        file: path::PathBuf,
        /// Error message of the parser.
        reason: String,
    },
    /// The URL of the fault API is malformed.
    Url {
        /// The rejected text.
        text: String,
    },
    /// The list of targets cannot be fetched.
    Client(client::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { file, source } => write!(
                f,
                "cannot read {}: {source}; start yucca-dev with its output in that file",
                file.display()
            ),
            Self::Parse { file, reason } => {
                write!(f, "{} contains no ready line: {reason}", file.display())
            }
            Self::Url { text } => write!(f, "{text:?} is not of the form http://IP:PORT"),
            Self::Client(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl Ready {
    /// Reads the ready line from a file, or from standard input if the file is `-`.
    ///
    /// # Errors
    /// Fails if the file can't be read or its first line is not a ready line.
    pub fn read(file: &path::Path) -> Result<Self, Error> {
        let text = if file == path::Path::new("-") {
            let mut line = String::new();
            io::stdin().read_line(&mut line).map(|_| line)
        } else {
            fs::read_to_string(file)
        };
        let text = text.map_err(|source| Error::Read {
            file: file.into(),
            source,
        })?;
        let line = text.lines().next().unwrap_or_default();
        serde_json::from_str(line).map_err(|error| Error::Parse {
            file: file.into(),
            reason: error.to_string(),
        })
    }

    /// Returns the address of the fault API.
    ///
    /// # Errors
    /// Fails if its URL is malformed.
    pub fn faults_address(&self) -> Result<net::SocketAddr, Error> {
        let text = self.faults.strip_prefix("http://").unwrap_or_default();
        text.trim_end_matches('/').parse().map_err(|_| Error::Url {
            text: self.faults.clone(),
        })
    }

    /// Fetches the list of targets.
    ///
    /// # Errors
    /// Fails if the URL of the fault API is malformed, or if the fault API does not return the list.
    pub async fn targets(&self, client: &client::Client) -> Result<Targets, Error> {
        let address = self.faults_address()?;
        client.get(address, "/targets").await.map_err(Error::Client)
    }
}
