//! Keys and the shards that they fall into.

use bytes::Bytes;
use xxhash_rust::xxh3;

use crate::id;

/// Returns the shard of a key among `shards`, which is a power of two.
pub fn shard(key: &[u8], shards: u32) -> id::Shard {
    let mask = u64::from(shards.next_power_of_two() - 1);
    let hash = xxh3::xxh3_64(key) & mask;
    id::Shard(hash as u32)
}

/// A key: the bytes that a service's key rule finds in a request.
pub type Key = Bytes;
