//! Inputs of a replica, and outputs to its owner.

use std::fmt;

use bytes::Bytes;
use yucca_wire::id;

use crate::entry;
use crate::membership;
use crate::message;
use crate::storage;

/// Input of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. Due at [`crate::node::Node::next_wake`].
    Tick,
    /// A message arrived.
    Message {
        /// Sender, as identified by the transport.
        from: id::Host,
        /// The message.
        message: message::Message,
    },
    /// Proposes an entry to be committed.
    Propose {
        /// Returned in [`Output::Proposed`].
        request_id: u64,
        /// The entry.
        entry: Bytes,
    },
    /// Asks for a linearizable read.
    Read {
        /// Returned in [`Output::ReadReady`] or [`Output::ReadRefused`].
        request_id: u64,
    },
    /// Proposes a membership change.
    Change {
        /// Returned in [`Output::Proposed`].
        request_id: u64,
        /// The change.
        change: membership::Change,
    },
    /// Transfers leadership to the given host, or else to the most up-to-date voter.
    Transfer {
        /// The next leader.
        to: Option<id::Host>,
    },
    /// Reports to the leader that this replica is about to stop. The message may be lost, so the
    /// owner repeats it until [`Output::Left`].
    Leave,
    /// Campaigns without waiting for the election timeout, because the owner assumes that the
    /// leader is lost.
    Campaign,
    /// The records of [`Output::Persist`] up to this sequence number are synced.
    Synced {
        /// The sequence number.
        upto: u64,
    },
    /// The disk had no space for the records with this sequence number; none was stored.
    Full {
        /// The sequence number.
        sequence: u64,
    },
    /// State of the state machine, in reply to [`Output::TakeSnapshot`].
    Snapshot {
        /// Version of the last entry that the state includes.
        version: id::Version,
        /// The state.
        state: Bytes,
    },
}

/// Output of a replica. The owner carries outputs out in the given order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: id::Host,
        /// The message.
        message: message::Message,
    },
    /// Append the records atomically and sync them, then pass [`Input::Synced`], or
    /// [`Input::Full`] if the disk is full. At most one is in flight at a time.
    Persist {
        /// The sequence number.
        sequence: u64,
        /// The records.
        records: Vec<storage::Record>,
    },
    /// Apply a committed entry to the state machine.
    Apply {
        /// The version of the entry. Versions increase; entries that are not proposals of the
        /// state machine leave gaps.
        version: id::Version,
        /// The entry.
        entry: Bytes,
    },
    /// Replace the state of the state machine by a snapshot.
    Install {
        /// Version of the last entry that the state includes.
        version: id::Version,
        /// The state.
        state: Bytes,
    },
    /// Result of [`Input::Propose`] or [`Input::Change`].
    Proposed {
        /// The request ID of the proposal.
        request_id: u64,
        /// The version at which the entry is committed, or why it was refused.
        result: Result<id::Version, Refusal>,
    },
    /// The read may be served by a state machine that has applied this version.
    ReadReady {
        /// The request ID of the read.
        request_id: u64,
        /// The version.
        version: id::Version,
    },
    /// The read can't be served by this replica.
    ReadRefused {
        /// The request ID of the read.
        request_id: u64,
        /// The reason.
        refusal: Refusal,
    },
    /// This replica has become the leader.
    Lead {
        /// The term in which it leads.
        term: entry::Term,
    },
    /// The leader that this replica follows has changed.
    Follow {
        /// The term.
        term: entry::Term,
        /// The leader, if known.
        leader: Option<id::Host>,
    },
    /// The committed membership changed.
    Members(membership::Members),
    /// Pass the state of the state machine in [`Input::Snapshot`], as soon as convenient.
    TakeSnapshot {
        /// The newest version applied.
        version: id::Version,
    },
    /// A replica that is not a member asks to join. Emitted by the leader.
    Joining {
        /// The replica.
        replica: membership::Replica,
    },
    /// A member is about to stop. Emitted by the leader.
    Leaving {
        /// The replica.
        replica: membership::Replica,
    },
    /// This replica, which is about to stop, is no longer a voter.
    Left,
}

/// Why a proposal, change or read is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// This replica does not lead. The proposal was not made.
    NotLeader {
        /// The leader, if known.
        leader: Option<id::Host>,
    },
    /// A leadership transfer is under way. The proposal was not made.
    Transferring,
    /// Uncommitted proposals have reached their size limit. The proposal was not made.
    Busy,
    /// The leader's disk is full. The proposal was not made.
    Full,
    /// The entry is too large. The proposal was not made.
    Large {
        /// Its size in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// Another membership change, or the first entry of the leader's term, is not committed yet.
    ChangePending,
    /// The learner has not caught up, or has not replied recently.
    Lagging {
        /// Number of entries that it lacks.
        entries: u64,
    },
    /// The change would remove the leader; transfer leadership first.
    RemovesLeader,
    /// The change is not valid for the current membership.
    Membership(membership::Error),
    /// Leadership was lost before the entry was committed. It may still be committed.
    Unknown,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(host) } => write!(f, "not the leader; ask {host}"),
            Self::NotLeader { leader: None } => f.write_str("no leader is known; retry later"),
            Self::Transferring => f.write_str("leadership is being handed over; retry later"),
            Self::Busy => f.write_str("too much is uncommitted; retry later"),
            Self::Full => f.write_str("the leader's disk is full; free space"),
            Self::Large { bytes, limit } => {
                write!(f, "entry has {bytes} bytes, the limit is {limit}; split it")
            }
            Self::ChangePending => {
                f.write_str("another membership change is under way; retry later")
            }
            Self::Lagging { entries } => {
                write!(
                    f,
                    "learner lacks {entries} entries; retry when it has caught up"
                )
            }
            Self::RemovesLeader => {
                f.write_str("a leader cannot remove itself; transfer leadership first")
            }
            Self::Membership(error) => error.fmt(f),
            Self::Unknown => {
                f.write_str("leadership was lost; look up whether the entry was committed")
            }
        }
    }
}

impl std::error::Error for Refusal {}
