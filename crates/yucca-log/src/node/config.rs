//! The settings of a replica.

use std::time::Duration;

use yucca_wire::id;

/// The settings of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The replica's host.
    pub id: id::Host,
    /// The name of the log.
    pub group: String,
    /// The hosts whose replicas found the log, when each of them is blank; the first one acts.
    /// A blank replica also asks them for a log to join.
    pub bootstrap_members: Vec<id::Host>,
    /// Other hosts that may have a replica. A blank replica asks them too, and founds no log where
    /// one of them is a member of one.
    pub peers: Vec<id::Host>,
    /// How often a leader is heard.
    pub heartbeat_interval: Duration,
    /// The shortest silence after which a follower campaigns; the longest is twice this. A leader
    /// that no quorum has answered for as long steps down.
    pub election_timeout: Duration,
    /// The seed of all randomness.
    pub seed: u64,
    /// The most bytes of entries in one message; a single entry may exceed it.
    pub max_append_bytes: usize,
    /// The largest proposal, in bytes.
    pub max_entry_bytes: usize,
    /// The most bytes of proposals that are not committed.
    pub max_pending_bytes: usize,
    /// The largest snapshot that is taken from a leader, in bytes.
    pub max_snapshot_bytes: usize,
    /// The bytes of one chunk of a snapshot.
    pub chunk_bytes: usize,
    /// How many applied entries call for a snapshot.
    pub snapshot_entries: u64,
    /// How many entries before a snapshot are kept for slow members.
    pub keep_entries: u64,
    /// How many entries a learner may lack when it is promoted.
    pub promote_lag: u64,
}

impl Config {
    /// Returns the default settings for a log whose members are about 0.5 ms apart.
    pub fn new(id: id::Host, group: &str) -> Self {
        Self {
            id,
            group: group.into(),
            bootstrap_members: Vec::new(),
            peers: Vec::new(),
            heartbeat_interval: Duration::from_millis(70),
            election_timeout: Duration::from_millis(250),
            seed: 0,
            max_append_bytes: 256 << 10,
            max_entry_bytes: 4 << 20,
            max_pending_bytes: 16 << 20,
            max_snapshot_bytes: 128 << 20,
            chunk_bytes: 256 << 10,
            snapshot_entries: 10_000,
            keep_entries: 1_000,
            promote_lag: 16,
        }
    }
}
