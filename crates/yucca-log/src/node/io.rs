//! What a replica takes and what it asks of its owner.

use std::fmt;

use bytes::Bytes;
use yucca_wire::id;

use crate::entry;
use crate::membership;
use crate::message;
use crate::storage;

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; due at [`crate::node::Node::next_wake`].
    Tick,
    /// A message arrived.
    Message {
        /// The host that sent it, as the transport knows it.
        from: id::Host,
        /// The message.
        message: message::Message,
    },
    /// The owner wants an entry committed.
    Propose {
        /// Comes back in [`Output::Proposed`].
        ticket: u64,
        /// The entry.
        entry: Bytes,
    },
    /// The owner wants to read what is committed by now.
    Read {
        /// Comes back in [`Output::ReadReady`] or [`Output::ReadRefused`].
        ticket: u64,
    },
    /// The owner wants the membership changed.
    Change {
        /// Comes back in [`Output::Proposed`].
        ticket: u64,
        /// The change.
        change: membership::Change,
    },
    /// The owner wants another voter to lead: the named host, or the most up to date one.
    Transfer {
        /// The next leader.
        to: Option<id::Host>,
    },
    /// The owner believes that the leader is lost; campaigns without waiting for silence.
    Campaign,
    /// The records of [`Output::Persist`] up to this sequence number are synced.
    Synced {
        /// The sequence number.
        upto: u64,
    },
    /// There was no room for the records with this sequence number; none of them was kept.
    Full {
        /// The sequence number.
        sequence: u64,
    },
    /// The state machine's state, asked for by [`Output::TakeSnapshot`].
    Snapshot {
        /// The last entry that the state includes.
        version: id::Version,
        /// The state.
        state: Bytes,
    },
}

/// What the owner must do, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: id::Host,
        /// The message.
        message: message::Message,
    },
    /// Append the records as a whole and sync them, then answer [`Input::Synced`], or
    /// [`Input::Full`] where there is no room. There is at most one at a time.
    Persist {
        /// The sequence number.
        sequence: u64,
        /// The records.
        records: Vec<storage::Record>,
    },
    /// Apply a committed entry to the state machine.
    Apply {
        /// The version of the entry; they rise, and membership changes leave gaps.
        version: id::Version,
        /// The entry.
        entry: Bytes,
    },
    /// Replace the state machine by a snapshot.
    Install {
        /// The last entry that the state includes.
        version: id::Version,
        /// The state.
        state: Bytes,
    },
    /// Answers [`Input::Propose`] and [`Input::Change`].
    Proposed {
        /// The ticket of the proposal.
        ticket: u64,
        /// The version at which it is committed.
        result: Result<id::Version, Refusal>,
    },
    /// A read may be served by a state machine that has applied this version.
    ReadReady {
        /// The ticket of the read.
        ticket: u64,
        /// The version.
        version: id::Version,
    },
    /// A read can't be served here.
    ReadRefused {
        /// The ticket of the read.
        ticket: u64,
        /// Why.
        refusal: Refusal,
    },
    /// This replica leads from now on.
    Lead {
        /// The term it leads.
        term: entry::Term,
    },
    /// This replica follows from now on.
    Follow {
        /// The term.
        term: entry::Term,
        /// The leader, where known.
        leader: Option<id::Host>,
    },
    /// The committed membership changed.
    Members(membership::Members),
    /// Answer [`Input::Snapshot`] with the state machine's state, as soon as convenient.
    TakeSnapshot {
        /// The newest version applied.
        version: id::Version,
    },
    /// A replica that is no member asks the leader to let it join.
    Joining {
        /// The replica.
        replica: membership::Replica,
    },
}

/// Why a proposal, change or read is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// This replica does not lead. The proposal was not made.
    NotLeader {
        /// The leader, where known.
        leader: Option<id::Host>,
    },
    /// Leadership is being handed over. The proposal was not made.
    Transferring,
    /// Too much is uncommitted. The proposal was not made.
    Busy,
    /// There is no room on the leader's disk. The proposal was not made.
    Full,
    /// The entry is too large. The proposal was not made.
    Large {
        /// Its size in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// Another change of the membership is not committed yet.
    ChangePending,
    /// The learner has not caught up.
    Lagging {
        /// The entries it lacks.
        entries: u64,
    },
    /// A leader can't remove itself; transfer leadership first.
    RemovesLeader,
    /// The change does not fit the membership.
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
