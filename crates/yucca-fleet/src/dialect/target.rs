//! What targets are told and answer.

use std::time;

use bytes::Bytes;
use http::{HeaderMap, response};
use yucca_own::site::item;

/// What a target must know of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// The target that it is for.
    pub target: &'a item::Name,
    /// How long an answer is waited for.
    pub remaining: time::Duration,
}

/// What the head of an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer to the request.
    Answer,
    /// The target ran the request and failed at it.
    Failure,
    /// The target has not run the request: it has no room or is about to leave.
    Shed,
    /// The target has not run the request: it does not hold the key.
    NotOwner,
    /// Another target has the address; the request has not run.
    WrongTarget,
    /// It is not the answer to this request, or none that can be trusted.
    Untrusted,
}

/// How targets speak.
pub trait Target: Send + Sync {
    /// Sets what a target must know in the head of a request.
    fn set_headers(&self, headers: &mut HeaderMap, attempt: Attempt<'_>);

    /// Tells what the head of an answer to the request `id` means.
    fn classify(&self, parts: &response::Parts, id: &Bytes, target: &item::Name) -> Verdict;
}
