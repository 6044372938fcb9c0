//! Why a process does not start.

use std::fmt;
use std::net;

/// Why a process does not start.
#[derive(Debug)]
pub enum Error {
    /// An address can't be listened on.
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// What the system reported.
        error: std::io::Error,
    },
    /// A setting is missing.
    Missing(&'static str),
    /// The host's address makes no name.
    Name(yucca_wire::id::Error),
    /// The log's storage does not open.
    Storage(yucca_log::storage::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, error } => write!(
                f,
                "cannot listen on {address}: {error}; see whether another process does"
            ),
            Self::Missing(setting) => {
                write!(f, "setting `{setting}` is missing; this role needs it")
            }
            Self::Name(error) => write!(f, "the host has no name: {error}"),
            Self::Storage(error) => write!(f, "the log does not open: {error}"),
        }
    }
}

impl std::error::Error for Error {}
