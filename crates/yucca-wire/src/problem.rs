//! Error responses of yuccahill itself, as RFC 9457 problem details.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::unit;

/// Header with the [`Outcome`] of a request to which yuccahill itself responds.
pub const OUTCOME_HEADER: &str = "yucca-outcome";

/// Media type of a problem body.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Whether the target ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target ran the request.
    Ran,
    /// The target did not run the request and never will.
    NotRun,
    /// The target may have run the request.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

impl str::FromStr for Outcome {
    type Err = id::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "ran" => Ok(Self::Ran),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(id::Error::Number { text: text.into() }),
        }
    }
}

/// Kind of a problem. Its kebab-case name is stable and is the last part of the `type` URI.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// No service has a path prefix that matches the request.
    NoService,
    /// The request has no key.
    NoKey,
    /// The request has more than one key.
    TwoKeys,
    /// A header that yuccahill reads is malformed.
    BadHeader,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The body is larger than the service's limit.
    BodyTooLarge,
    /// The framing of the request is ambiguous, or its method is not supported.
    BadRequest,
    /// The key has no owner at present.
    NoOwner,
    /// The owner's domain cannot be reached.
    Unreachable,
    /// The queue of the target is full.
    QueueFull,
    /// The predicted wait exceeds the deadline.
    TooLate,
    /// The request was shed to reserve capacity for more important work.
    Shed,
    /// The deadline passed.
    DeadlineExceeded,
    /// The target refused the request without running it.
    TargetRefused,
    /// The target was lost while it had the request.
    TargetLost,
    /// A request with the same id is running or has run, and its response is not retained.
    AlreadyAccepted,
    /// The same request id was used before with different content.
    IdReused,
    /// This host is stopping.
    Stopping,
    /// This host is not ready yet.
    NotReady,
    /// Internal error of yuccahill.
    Internal,
}

impl Kind {
    /// Returns the URI of the kind; it is stable.
    pub fn uri(self) -> String {
        format!("urn:yuccahill:problem:{self}")
    }

    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::NoService => 404,
            Self::NoKey | Self::TwoKeys | Self::BadHeader | Self::BadRequest => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::IdReused => 422,
            Self::AlreadyAccepted => 409,
            Self::QueueFull | Self::Shed => 429,
            Self::NoOwner
            | Self::Unreachable
            | Self::TooLate
            | Self::TargetRefused
            | Self::Stopping
            | Self::NotReady => 503,
            Self::TargetLost => 502,
            Self::DeadlineExceeded => 504,
            Self::Internal => 500,
        }
    }

    /// Returns an instruction for the caller or operator that fixes the problem.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::NoService => "use the path prefix of a service that a ticket created",
            Self::NoKey => "send the key where the service's key rule expects it",
            Self::TwoKeys => "send exactly one key",
            Self::BadHeader => "correct the header",
            Self::HeadTooLarge => "send fewer or shorter headers",
            Self::BodyTooLarge => "send a smaller body, or raise limits.body in a ticket",
            Self::BadRequest => "send one well-formed HTTP request",
            Self::NoOwner => "try again shortly; `yucca key explain` tells why",
            Self::Unreachable => "try again, or reach the service in the owner's domain",
            Self::QueueFull | Self::Shed => "try again after Retry-After",
            Self::TooLate => "try again after Retry-After, or allow more time",
            Self::DeadlineExceeded => {
                "allow more time; look up what became of work that may have run"
            }
            Self::TargetRefused => "try again after Retry-After",
            Self::TargetLost => "look up what became of the work before sending it under a new id",
            Self::AlreadyAccepted => "wait for the first request's answer, or look up the work",
            Self::IdReused => "use a new Idempotency-Key for other content",
            Self::Stopping | Self::NotReady => "try another entry host",
            Self::Internal => "report it with the request id",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// Error response of yuccahill itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of the problem.
    pub kind: Kind,
    /// Whether the target ran the request.
    pub outcome: Outcome,
    /// Description of this occurrence, with names and numbers.
    pub detail: String,
    /// Delay after which the caller may try again; `None` if a retry does not help.
    pub retry_after: Option<unit::Span>,
}

impl Problem {
    /// Returns a problem for a request that did not run.
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Returns a problem for a request that may have run.
    pub fn unknown(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// Sets the delay after which the caller may try again.
    #[must_use]
    pub fn retry_after(self, span: unit::Span) -> Self {
        Self {
            retry_after: Some(span),
            ..self
        }
    }

    /// Returns the JSON body of the response, in the format of RFC 9457.
    pub fn body(&self, service: Option<&id::Service>) -> serde_json::Value {
        serde_json::json!({
            "type": self.kind.uri(),
            "title": self.kind.to_string(),
            "status": self.kind.status(),
            "detail": self.detail,
            "service": service,
            "outcome": self.outcome,
            "remedy": self.kind.remedy(),
        })
    }
}
