//! What callers say and are told.

use std::time;

use bytes::Bytes;
use http::{request, response};

/// What the head of a request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The caller's identity of the request.
    pub id: Bytes,
    /// The host name that it is for.
    pub host: String,
    /// How long the caller waits.
    pub timeout: Option<time::Duration>,
    /// The key, where it carries one.
    pub key: Option<u16>,
}

/// Why this process answers a request by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The head can't be understood.
    Malformed,
    /// No route is for it.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// It has not run and never will; the caller may return after this time.
    NotRun(time::Duration),
    /// It was sent, and whether it ran is not known.
    Unknown,
    /// There was no answer in time.
    Timeout,
}

/// How callers speak.
pub trait Caller: Send + Sync {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// Fails where the head can't be understood.
    fn head(&self, parts: &request::Parts) -> Result<Head, Refusal>;

    /// Returns the answer for a request that this process answers by itself.
    fn refuse(&self, id: Option<&Bytes>, refusal: Refusal) -> response::Response<Bytes>;
}
