//! Errors of commands, and their exit codes.

use std::fmt;
use std::io;
use std::path::PathBuf;

use yucca_wire::finding;

/// Reason why a command failed.
#[derive(Debug)]
pub enum Error {
    /// A file cannot be read or written.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A ticket or settings file has findings.
    Findings(Vec<finding::Finding>),
    /// An argument, or the file that it names, is invalid.
    Argument {
        /// Name of the argument.
        name: &'static str,
        /// Description of the problem.
        problem: String,
    },
    /// The control process cannot be reached or does not respond in time.
    Unreachable {
        /// Address of the control process.
        operator: String,
        /// Reason, such as an error of the connection.
        reason: String,
    },
    /// A control process refused the request.
    Refused {
        /// HTTP status code.
        status: u16,
        /// Body of the response, which describes the problem.
        problem: serde_json::Value,
    },
    /// The ticket's number belongs to an accepted ticket with other content.
    NumberTaken {
        /// Accepted ticket.
        accepted: serde_json::Value,
        /// Submitted ticket.
        submitted: serde_json::Value,
    },
    /// An accepted ticket did not come into force on all hosts in time.
    NotInForce {
        /// Number of the ticket.
        number: u64,
        /// Hosts where it is not in force; empty if this is not known.
        missing: Vec<String>,
    },
    /// A response of a control process is invalid. Failures to encode output, to draw a plot and to
    /// start the runtime are reported as this error, too.
    InvalidResponse {
        /// Description of the problem.
        reason: String,
    },
}

impl Error {
    /// Returns the exit code: 1 for a refused request or an invalid response, 2 for invalid input
    /// or a file that cannot be read or written, 3 for an unreachable control process, 4 for a
    /// ticket that was accepted but did not come into force in time.
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
            Self::File { path, source } => {
                write!(f, "cannot read or write {}: {source}", path.display())
            }
            Self::Findings(findings) => {
                for finding in findings {
                    writeln!(f, "{finding}")?;
                }
                write!(f, "{} findings; nothing was changed", findings.len())
            }
            Self::Argument { name, problem } => write!(f, "{name}: {problem}"),
            Self::Unreachable { operator, reason } => write!(
                f,
                "no response from a control process at {operator}: {reason}; try the operator address of another host (--operator)"
            ),
            Self::Refused { status, problem } => write_problem(f, *status, problem),
            Self::NumberTaken {
                accepted,
                submitted,
            } => write!(
                f,
                "the number belongs to an accepted ticket with other content\n--- accepted\n{accepted:#}\n+++ submitted\n{submitted:#}\nsubmit yours under an unused number if it is still needed"
            ),
            Self::NotInForce { number, missing } if missing.is_empty() => write!(
                f,
                "ticket {number} is accepted, but the hosts where it is in force are not known; see `yucca ticket status {number}`"
            ),
            Self::NotInForce { number, missing } => write!(
                f,
                "ticket {number} is accepted, but not yet in force on {}; see `yucca ticket status {number}`",
                missing.join(", ")
            ),
            Self::InvalidResponse { reason } => write!(
                f,
                "invalid response: {reason}; compare the versions of yucca and of the hosts"
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
