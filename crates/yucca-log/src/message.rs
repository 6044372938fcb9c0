//! Messages between the replicas of a log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;
use yucca_wire::id;

use crate::entry;
use crate::membership;

/// A hash of a log's name, which identifies the log within a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Group(u32);

impl Group {
    /// Returns the identifier of the log with this name.
    pub fn new(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// One message from a replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The log that the message belongs to.
    pub group: Group,
    /// Identity of the sender's log; `None` if the sender has not joined one.
    pub cluster: Option<entry::Cluster>,
    /// Incarnation of the sender.
    pub from: u64,
    /// Incarnation of the receiver; `None` if the sender does not know it.
    pub to: Option<u64>,
    /// Term of the sender; in [`Body::PreVote`] the term in which it would campaign.
    pub term: entry::Term,
    /// Contents of the message.
    pub body: Body,
}

/// Contents of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted, without raising any term.
    PreVote(VoteRequest),
    /// Answers [`Body::PreVote`].
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers [`Body::Vote`].
    VoteReply(VoteReply),
    /// Sends entries; without entries it is a heartbeat.
    Append(Append),
    /// Answers [`Body::Append`] and [`Body::Snapshot`].
    AppendReply(AppendReply),
    /// Sends one chunk of a snapshot.
    Snapshot(Chunk),
    /// Answers a chunk after which others are missing.
    ChunkReply(ChunkReply),
    /// Asks a follower to campaign at once, to complete a leadership transfer.
    Campaign,
    /// Reports that the sender is a member of no log, or no longer of the one that it joined.
    Join,
    /// Answers [`Body::Join`]. A leader reports the replica to its owner instead.
    #[serde(rename = "Welcome")]
    JoinReply(JoinReply),
    /// Reports to the leader that the sender is about to stop and should not vote any more.
    Leave,
    /// Answers [`Body::Leave`] once the removal of the sender from the voters is committed.
    Left,
}

/// A request for a vote or a pre-vote.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Position of the last entry in the candidate's log.
    pub last: entry::Position,
    /// Whether the leader requested this campaign.
    pub transfer: bool,
}

/// The reply to a [`VoteRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteReply {
    /// Whether the vote is granted.
    pub granted: bool,
    /// The leader that the voter follows, if any. Sent only in [`Body::PreVoteReply`].
    pub leader: Option<id::Host>,
}

/// Entries to append after a position.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Append {
    /// The heartbeat round, echoed in the reply.
    pub round: u64,
    /// Position of the entry before `entries`.
    pub previous: entry::Position,
    /// The leader's commit version.
    pub commit: id::Version,
    /// The entries.
    pub entries: Vec<entry::Entry>,
}

/// The reply to an [`Append`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppendReply {
    /// Round of the message that is answered.
    pub round: u64,
    /// Version up to which the sender's synced log matches the leader's.
    pub matched: id::Version,
    /// Set if the append was rejected.
    pub mismatch: Option<Mismatch>,
}

/// The reason why an append was rejected: the logs differ before its entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Mismatch {
    /// Version before the entries, which the follower lacks or has with another term.
    pub previous: id::Version,
    /// Version after which the leader should retry.
    pub retry_after: id::Version,
}

/// A chunk of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Chunk {
    /// The heartbeat round, echoed in the reply.
    pub round: u64,
    /// Position of the last entry that the snapshot includes.
    pub position: entry::Position,
    /// The membership at that entry.
    pub members: membership::Members,
    /// Size of the complete state, in bytes.
    pub total: u64,
    /// Offset of the chunk in the state, in bytes.
    pub offset: u64,
    /// Data of the chunk.
    pub data: Bytes,
}

/// The reply to a [`Chunk`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChunkReply {
    /// Round of the chunk that is answered.
    pub round: u64,
    /// Version of the snapshot.
    pub version: id::Version,
    /// Number of bytes received without a gap.
    pub held: u64,
}

/// The reply to [`Body::Join`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JoinReply {
    /// The sender of this reply is a member of no log either.
    #[serde(rename = "Blank")]
    Empty,
    /// The sender of this reply has joined a log; with the leader that it follows, if any.
    Member(Option<id::Host>),
}
