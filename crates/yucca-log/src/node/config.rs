//! Settings of a replica.

use std::time::Duration;

use yucca_wire::id;

/// Settings of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Host of the replica.
    pub id: id::Host,
    /// Name of the log.
    pub group: String,
    /// Hosts whose replicas bootstrap the log when all of them are empty; the first host creates
    /// it. An empty replica also asks these hosts for a log to join.
    pub bootstrap_members: Vec<id::Host>,
    /// Other hosts that may have a replica. An empty replica asks them too, and creates no log if
    /// one of them is already a member of one.
    pub peers: Vec<id::Host>,
    /// Interval between the heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum time without contact with a leader after which a follower campaigns; the maximum is
    /// twice this. A leader that no quorum has answered for this time steps down.
    pub election_timeout: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum size of the entries in one message, in bytes; a single entry may exceed it.
    pub max_append_bytes: usize,
    /// Maximum size of a proposal, in bytes.
    pub max_entry_bytes: usize,
    /// Maximum total size of uncommitted proposals, in bytes.
    pub max_pending_bytes: usize,
    /// Maximum size of a snapshot that is accepted from a leader, in bytes.
    pub max_snapshot_bytes: usize,
    /// Size of one chunk of a snapshot, in bytes.
    pub chunk_bytes: usize,
    /// Number of entries applied since the last snapshot after which a new one is taken.
    pub snapshot_entries: u64,
    /// Number of entries before a snapshot that are retained for slow members.
    pub keep_entries: u64,
    /// Maximum number of entries that a learner may lack when it is promoted.
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
