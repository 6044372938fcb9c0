//! State machines on the replicated logs.

pub mod domain;
pub mod global;

use bytes::Bytes;
use yucca_wire::id;

use crate::version::feed;

/// A deterministic state that committed entries change.
pub trait Machine: Send + 'static {
    /// Applies a committed entry and returns the answer to its proposer.
    fn apply(&mut self, version: id::Version, entry: &[u8]) -> Bytes;

    /// Forgets everything, before a replica starts anew from its storage.
    fn clear(&mut self);

    /// Returns the whole state.
    fn save(&self) -> Bytes;

    /// Replaces the state by a saved one.
    ///
    /// # Errors
    /// Fails where the bytes are not a state.
    fn restore(&mut self, version: id::Version, state: &[u8]) -> Result<(), String>;

    /// Tells the feed of the newest part of the table.
    fn publish(&self, feed: &feed::Feed);
}

/// Encodes a value that always encodes.
pub fn pack<T: serde::Serialize>(value: &T) -> Bytes {
    rmp_serde::to_vec(value).unwrap_or_default().into()
}
