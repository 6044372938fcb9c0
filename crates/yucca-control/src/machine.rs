//! State machines on the replicated logs.

pub mod domain;
pub mod global;

use bytes::Bytes;
use yucca_wire::id;

use crate::version::feed;

/// A deterministic state machine that applies committed entries.
pub trait Machine: Send + 'static {
    /// Applies a committed entry and returns the reply to its proposer.
    fn apply(&mut self, version: id::Version, entry: &[u8]) -> Bytes;

    /// Resets the state, before a replica restarts from its storage.
    fn clear(&mut self);

    /// Returns a snapshot of the state.
    fn save(&self) -> Bytes;

    /// Replaces the state by a snapshot.
    ///
    /// # Errors
    /// Fails if the bytes are not a valid snapshot.
    fn restore(&mut self, version: id::Version, state: &[u8]) -> Result<(), String>;

    /// Passes the newest part of the table to the feed.
    fn publish(&self, feed: &feed::Feed);
}

/// Encodes a value whose encoding cannot fail; returns no bytes if it does.
pub fn pack<T: serde::Serialize>(value: &T) -> Bytes {
    rmp_serde::to_vec(value).unwrap_or_default().into()
}
