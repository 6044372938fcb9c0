//! The messages between the replicas of a log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;
use yucca_wire::id;

use crate::entry;
use crate::membership;

/// Tells the logs of a deployment apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Group(u32);

impl Group {
    /// Returns the mark of the log with this name.
    pub fn new(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// One message from a replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The log it is about.
    pub group: Group,
    /// The founded log, or none from a replica that has not joined one.
    pub cluster: Option<entry::Cluster>,
    /// The sender's incarnation.
    pub from: u64,
    /// The incarnation it is meant for; none where the sender does not know it.
    pub to: Option<u64>,
    /// The sender's term; in [`Body::PreVote`] the term it would campaign for.
    pub term: entry::Term,
    /// What is said.
    pub body: Body,
}

/// The kinds of message.
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
    /// Carries entries, or none as a heartbeat.
    Append(Append),
    /// Answers [`Body::Append`] and [`Body::Snapshot`].
    AppendReply(AppendReply),
    /// Carries one chunk of a snapshot.
    Snapshot(Chunk),
    /// Answers a chunk that was not the last.
    ChunkReply(ChunkReply),
    /// Asks the follower to campaign at once, for a leadership transfer.
    Campaign,
    /// Says that the sender is a member of no log, or is no longer in the one it was in.
    Join,
    /// Answers [`Body::Join`] of a replica without a log.
    #[serde(rename = "Welcome")]
    JoinReply(JoinReply),
}

/// What a candidate states.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The last entry of the candidate's log.
    pub last: entry::Position,
    /// Whether the leader asked for this campaign.
    pub transfer: bool,
}

/// The answer to a candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteReply {
    /// Whether the vote is given.
    pub granted: bool,
    /// The leader that the voter follows.
    pub leader: Option<id::Host>,
}

/// Entries to append after a position.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Append {
    /// The heartbeat round, echoed in the answer.
    pub round: u64,
    /// The entry before the first one carried.
    pub previous: entry::Position,
    /// The leader's commit version.
    pub commit: id::Version,
    /// The entries.
    pub entries: Vec<entry::Entry>,
}

/// The answer to entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppendReply {
    /// The round of the message answered.
    pub round: u64,
    /// The version up to which the sender's synced log is the leader's.
    pub matched: id::Version,
    /// Set where the entries did not fit.
    pub mismatch: Option<Mismatch>,
}

/// Why entries did not fit a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Mismatch {
    /// The version before the entries, which the sender of this lacks or holds in another term.
    pub previous: id::Version,
    /// The version after which to try again.
    pub retry_after: id::Version,
}

/// A chunk of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Chunk {
    /// The heartbeat round, echoed in the answer.
    pub round: u64,
    /// The last entry of the snapshot.
    pub position: entry::Position,
    /// The membership at that entry.
    pub members: membership::Members,
    /// The size of the whole state in bytes.
    pub total: u64,
    /// Where the chunk starts, in bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub data: Bytes,
}

/// The answer to a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChunkReply {
    /// The round of the chunk answered.
    pub round: u64,
    /// The snapshot.
    pub version: id::Version,
    /// How many bytes of it are held, without a gap.
    pub held: u64,
}

/// What a replica answers to one that looks for a log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JoinReply {
    /// The sender has no log either.
    #[serde(rename = "Blank")]
    Empty,
    /// The sender is a member of a log, with the leader it follows.
    Member(Option<id::Host>),
}
