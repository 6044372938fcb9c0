//! Errors of the storage.

use std::fmt;
use std::path;

/// Error of opening or writing a folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// There is no space for the records; nothing was stored.
    Full {
        /// The file.
        path: path::PathBuf,
        /// Number of bytes to be written.
        bytes: u64,
    },
    /// An operation of the file system failed.
    Io {
        /// The file.
        path: path::PathBuf,
        /// The operation that failed.
        action: &'static str,
        /// The error that the system reported.
        reason: String,
    },
    /// An earlier write failed, so the contents of the file are unknown.
    Poisoned {
        /// The file.
        path: path::PathBuf,
    },
    /// Synced records are damaged.
    Corrupt {
        /// The file.
        path: path::PathBuf,
        /// Offset of the damage, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: String,
    },
    /// The folder belongs to another host.
    OtherHost {
        /// The file.
        path: path::PathBuf,
        /// The host that the folder belongs to.
        found: String,
        /// This host.
        expected: String,
    },
    /// The folder holds another log.
    OtherGroup {
        /// The file.
        path: path::PathBuf,
        /// Name of the log that the folder holds.
        found: String,
        /// Name of the log expected.
        expected: String,
    },
    /// The folder was written by a newer release.
    Newer {
        /// The file.
        path: path::PathBuf,
        /// Format of the file.
        found: u16,
        /// The newest format that this release reads.
        supported: u16,
    },
    /// Another process has the folder open.
    Locked {
        /// The file.
        path: path::PathBuf,
    },
    /// Encoding the records failed.
    Encode {
        /// The error that the encoder reported.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full { path, bytes } => write!(
                f,
                "{}: no space for {bytes} bytes; free space or raise the quota",
                path.display()
            ),
            Self::Io {
                path,
                action,
                reason,
            } => write!(
                f,
                "{}: cannot {action}: {reason}; check the disk and its permissions",
                path.display()
            ),
            Self::Poisoned { path } => write!(
                f,
                "{}: an earlier write failed; restart the process to read the file again",
                path.display()
            ),
            Self::Corrupt {
                path,
                offset,
                reason,
            } => write!(
                f,
                "{}: damaged at byte {offset}: {reason}; set the file aside so that this replica rejoins as a learner",
                path.display()
            ),
            Self::OtherHost {
                path,
                found,
                expected,
            } => write!(
                f,
                "{}: belongs to host {found}, this is {expected}; check the data folder in the settings",
                path.display()
            ),
            Self::OtherGroup {
                path,
                found,
                expected,
            } => write!(
                f,
                "{}: holds log {found}, not {expected}; check the data folder in the settings",
                path.display()
            ),
            Self::Newer {
                path,
                found,
                supported,
            } => write!(
                f,
                "{}: has format {found}, this release reads up to {supported}; upgrade it",
                path.display()
            ),
            Self::Locked { path } => write!(
                f,
                "{}: in use by another process; stop that one first",
                path.display()
            ),
            Self::Encode { reason } => write!(f, "cannot encode records: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
