//! Errors that keep a process from starting.

use std::fmt;
use std::net;

/// Error that keeps a process from starting.
#[derive(Debug)]
pub enum Error {
    /// The process can't listen on an address.
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// This setting is missing; the role of the process needs it.
    Missing(&'static str),
    /// The host's address is not a valid host name.
    Name(yucca_wire::id::Error),
    /// The storage of the log can't be opened.
    Storage(yucca_log::storage::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, error } => write!(
                f,
                "cannot listen on {address}: {error}; check whether another process uses it"
            ),
            Self::Missing(setting) => {
                write!(
                    f,
                    "setting `{setting}` is missing; the role of this process needs it"
                )
            }
            Self::Name(error) => write!(
                f,
                "the address of this host is not a valid host name: {error}"
            ),
            Self::Storage(error) => write!(f, "cannot open the log: {error}"),
        }
    }
}

impl std::error::Error for Error {}
