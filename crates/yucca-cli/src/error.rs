//! Why a command failed, and the exit code that tells it to scripts.

use std::fmt;
use std::io;
use std::path::PathBuf;

use yucca_wire::finding;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read.
    File {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A text has faults.
    Findings(Vec<finding::Finding>),
    /// An argument is malformed.
    Argument {
        /// The argument.
        name: &'static str,
        /// What is wrong.
        problem: String,
    },
    /// No control process answers.
    Unreachable {
        /// The address that was tried.
        operator: String,
        /// What the connection reported.
        reason: String,
    },
    /// A control process refused the request.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The problem body.
        problem: serde_json::Value,
    },
    /// The number of a ticket stands for other content.
    NumberTaken {
        /// Accepted ticket.
        accepted: serde_json::Value,
        /// What was submitted.
        submitted: serde_json::Value,
    },
    /// An accepted ticket is not in force everywhere.
    NotInForce {
        /// The ticket.
        number: u64,
        /// The hosts that lack it.
        missing: Vec<String>,
    },
    /// An answer was not understood.
    InvalidResponse {
        /// What is wrong with it.
        reason: String,
    },
}

impl Error {
    /// The exit code: 1 refused, 2 bad input, 3 unreachable, 4 accepted but not in force in time.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::NumberTaken { .. } | Self::InvalidResponse { .. } => 1,
            Self::File { .. } | Self::Findings(_) | Self::Argument { .. } => 2,
            Self::Unreachable { .. } => 3,
            Self::NotInForce { .. } => 4,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => write!(f, "cannot read {}: {source}", path.display()),
            Self::Findings(findings) => {
                for finding in findings {
                    writeln!(f, "{finding}")?;
                }
                write!(f, "{} findings; nothing took effect", findings.len())
            }
            Self::Argument { name, problem } => write!(f, "{name}: {problem}"),
            Self::Unreachable { operator, reason } => write!(
                f,
                "no control process answers at {operator}: {reason}; try the operator address of another host (--operator)"
            ),
            Self::Refused { status, problem } => write_problem(f, *status, problem),
            Self::NumberTaken {
                accepted,
                submitted,
            } => write!(
                f,
                "the number stands for other content\n--- stands\n{accepted:#}\n+++ submitted\n{submitted:#}\nsubmit yours under a number of its own, if it is still wanted"
            ),
            Self::NotInForce { number, missing } if missing.is_empty() => write!(
                f,
                "ticket {number} is accepted, and where it is in force could not be asked; `yucca ticket status {number}` tells more"
            ),
            Self::NotInForce { number, missing } => write!(
                f,
                "ticket {number} is accepted, and not yet in force on {}; `yucca ticket status {number}` tells more",
                missing.join(", ")
            ),
            Self::InvalidResponse { reason } => write!(
                f,
                "the answer was not understood: {reason}; compare the versions of yucca and of the hosts"
            ),
        }
    }
}

fn write_problem(
    f: &mut fmt::Formatter<'_>,
    status: u16,
    problem: &serde_json::Value,
) -> fmt::Result {
    let text = |name: &str| problem.get(name).and_then(serde_json::Value::as_str);
    write!(f, "refused with status {status}")?;
    if let Some(detail) = text("detail") {
        write!(f, ": {detail}")?;
    }
    if let Some(remedy) = text("remedy") {
        write!(f, "; {remedy}")?;
    }
    let findings = problem.get("findings").and_then(|list| list.as_array());
    for finding in findings.into_iter().flatten() {
        match serde_json::from_value::<finding::Finding>(finding.clone()) {
            Ok(finding) => write!(f, "\n{finding}")?,
            Err(_) => write!(f, "\n{finding}")?,
        }
    }
    Ok(())
}

impl std::error::Error for Error {}
