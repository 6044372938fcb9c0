//! Requests to targets and their answers.

use std::time;

use bytes::Bytes;
use http::{HeaderMap, response};
use yucca_own::site::item;
use yucca_wire::unit;

/// Properties of an attempt that are sent to the target.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Name of the target that the attempt is for.
    pub target: &'a item::Name,
    /// Time left until the answer is no longer awaited.
    pub remaining: time::Duration,
}

/// Meaning of the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer to the request.
    Answer,
    /// The target ran the request, which failed.
    Failure,
    /// The target did not run the request: it has no free slot or is about to leave.
    Shed,
    /// The target did not run the request: it does not hold the key.
    NotOwner,
    /// Another target has the address. The request did not run.
    WrongTarget,
    /// It is not the answer to this request, or can't be trusted.
    Untrusted,
}

/// Protocol of targets.
pub trait Target: Send + Sync {
    /// Sets the headers that a target needs in a request.
    fn set_headers(&self, headers: &mut HeaderMap, attempt: Attempt<'_>);

    /// Returns the meaning of the head of an answer to the request `id`, sent to `target`.
    fn classify(&self, parts: &response::Parts, id: &Bytes, target: &item::Name) -> Verdict;

    /// Returns the requests per second that a target takes from all hosts together, if it states
    /// that in an answer.
    ///
    /// # Errors
    /// Fails if what it states is not a rate.
    fn limit(&self, headers: &HeaderMap) -> Result<Option<unit::Rate>, unit::Error>;

    /// Returns the time for which a target that refused a request wants no others from this host, if
    /// it says so.
    ///
    /// # Errors
    /// Fails if what it says is not a time.
    fn rest(&self, parts: &response::Parts) -> Result<Option<time::Duration>, unit::Error>;

    /// Returns whether a target says in an answer that it leaves.
    ///
    /// # Errors
    /// Fails if what it says is neither yes nor no.
    fn leaves(&self, headers: &HeaderMap) -> Result<bool, unit::Error>;
}
