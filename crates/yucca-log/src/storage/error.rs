//! Why storage failed.

use std::fmt;
use std::path;

/// Why a folder can't be opened or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// There is no room for the records; nothing was kept.
    Full {
        /// The file.
        path: path::PathBuf,
        /// The bytes wanted.
        bytes: u64,
    },
    /// The system refused an operation.
    Io {
        /// The file.
        path: path::PathBuf,
        /// What was tried.
        action: &'static str,
        /// What the system reported.
        reason: String,
    },
    /// An earlier write failed, so what the file holds is unknown.
    Poisoned {
        /// The file.
        path: path::PathBuf,
    },
    /// Records that were synced are damaged.
    Corrupt {
        /// The file.
        path: path::PathBuf,
        /// Where the damage starts, in bytes.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// The folder is another host's.
    OtherHost {
        /// The file.
        path: path::PathBuf,
        /// The host that wrote it.
        found: String,
        /// This host.
        expected: String,
    },
    /// The folder is another log's.
    OtherGroup {
        /// The file.
        path: path::PathBuf,
        /// The log it holds.
        found: String,
        /// The log wanted.
        expected: String,
    },
    /// The folder was written by a newer release.
    Newer {
        /// The file.
        path: path::PathBuf,
        /// Its format.
        found: u16,
        /// The newest format that this release reads.
        supported: u16,
    },
    /// Another process has the folder open.
    Locked {
        /// The file.
        path: path::PathBuf,
    },
    /// The records do not encode.
    Encode {
        /// What the codec reported.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full { path, bytes } => write!(
                f,
                "{}: no room for {bytes} bytes; free space or raise the quota",
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
                "{}: an earlier write failed; restart the process to read the file anew",
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
            Self::Encode { reason } => write!(f, "records do not encode: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
