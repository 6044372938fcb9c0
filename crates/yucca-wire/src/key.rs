//! Keys and their mapping to shards.

use bytes::Bytes;
use xxhash_rust::xxh3;

use crate::id;

/// Returns the shard of a key. `shards` is the number of shards of the service, a power of two.
pub fn shard(key: &[u8], shards: u32) -> id::Shard {
    let mask = u64::from(shards.next_power_of_two() - 1);
    let hash = xxh3::xxh3_64(key) & mask;
    id::Shard(hash as u32)
}

/// Bytes that a service's key rule extracts from a request.
pub type Key = Bytes;
