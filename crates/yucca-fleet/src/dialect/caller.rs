//! Requests of callers and the answers that this process gives by itself.

use std::time;

use bytes::Bytes;
use http::{StatusCode, request, response};

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Identifier that the caller gave the request.
    pub id: Bytes,
    /// Host name that the request is for.
    pub host: String,
    /// Maximum time that the caller waits, if it names one.
    pub timeout: Option<time::Duration>,
    /// The key, if the request carries one.
    pub key: Option<u16>,
}

/// Why this process refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The head can't be decoded.
    Malformed,
    /// No route matches the request.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// The request did not run and will not run. The caller may retry after this time.
    NotRun(time::Duration),
    /// The request was sent, and it is unknown whether it ran.
    Unknown,
    /// No answer arrived in time.
    Timeout,
    /// Requests like this one crashed targets, so it is not sent to another.
    Quarantined,
}

/// Protocol of callers.
pub trait Caller: Send + Sync {
    /// Decodes the head of a request.
    ///
    /// # Errors
    /// Fails if the head can't be decoded.
    fn head(&self, parts: &request::Parts) -> Result<Head, Refusal>;

    /// Returns whether callers take a status for a promise that the request has not run and will not
    /// run, so that they may send it again.
    fn promises_not_run(&self, status: StatusCode) -> bool;

    /// Returns the answer to a request that this process refuses. `id` is `None` if the head could
    /// not be decoded.
    fn refuse(&self, id: Option<&Bytes>, refusal: Refusal) -> response::Response<Bytes>;
}
