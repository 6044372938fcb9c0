//! The answers that yuccahill itself gives: RFC 9457 problems.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::unit;

/// The header that tells what became of a request that yuccahill itself answered.
pub const OUTCOME_HEADER: &str = "yucca-outcome";

/// The media type of a problem body.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target ran it.
    Ran,
    /// The target did not run it and never will.
    NotRun,
    /// The target may have run it.
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

/// A stable kind of problem. Its kebab-case name ends the `type` URI.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// No service has a prefix of the path.
    NoService,
    /// The request carries no key.
    NoKey,
    /// The request carries more than one key.
    TwoKeys,
    /// A header that yuccahill reads is malformed.
    BadHeader,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The body is larger than the service's limit.
    BodyTooLarge,
    /// The request's framing is ambiguous or its method is not served.
    BadRequest,
    /// The key has no owner now.
    NoOwner,
    /// The owner's domain cannot be reached.
    Unreachable,
    /// The queue of the target is full.
    QueueFull,
    /// The predicted wait passes the deadline.
    TooLate,
    /// It was shed to keep capacity for more important work.
    Shed,
    /// The deadline passed.
    DeadlineExceeded,
    /// The target refused it before running it.
    TargetRefused,
    /// The target was lost while the request was there.
    TargetLost,
    /// The same request id is running or has run, and its answer is not kept.
    AlreadyAccepted,
    /// The same request id was used with other content.
    IdReused,
    /// This host is stopping.
    Stopping,
    /// This host is not ready yet.
    NotReady,
    /// A fault of yuccahill's own.
    Internal,
}

impl Kind {
    /// The stable URI of the kind.
    pub fn uri(self) -> String {
        format!("urn:yuccahill:problem:{self}")
    }

    /// The HTTP status of the answer.
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

    /// How the caller or operator mends it.
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

/// An answer of yuccahill's own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// The kind.
    pub kind: Kind,
    /// What became of the request.
    pub outcome: Outcome,
    /// What happened, with names and figures.
    pub detail: String,
    /// When to try again, where that helps.
    pub retry_after: Option<unit::Span>,
}

impl Problem {
    /// Returns a problem of a request that did not run.
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Returns a problem of a request that may have run.
    pub fn unknown(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// Adds when to try again.
    #[must_use]
    pub fn retry_after(self, span: unit::Span) -> Self {
        Self {
            retry_after: Some(span),
            ..self
        }
    }

    /// Returns the JSON body of the answer, as RFC 9457 lays it out.
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
