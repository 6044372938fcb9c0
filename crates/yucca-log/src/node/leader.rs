//! The leader: proposals, heartbeats, and stepping down when it loses contact with a quorum.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_wire::id;

use crate::entry;
use crate::membership;
use crate::node::{Node, Output, Refusal, State};
use crate::progress;
use crate::storage;

/// State of a leader for its term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Leadership {
    pub progress: IndexMap<membership::Replica, progress::Progress>,
    /// Version of the first entry of the term. Once it is committed, so are all earlier entries.
    pub first: id::Version,
    /// Number of the newest heartbeat round.
    pub round: u64,
    /// Recent rounds, which may still be answered.
    pub rounds: VecDeque<Round>,
    pub reads: VecDeque<Read>,
    pub proposals: VecDeque<Proposal>,
    pub pending_bytes: usize,
    pub transfer: Option<Transfer>,
    pub heartbeat_at: Duration,
}

/// The members to which a heartbeat round is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// All members.
    Members,
    /// The voters, whose answers confirm a read.
    Voters,
}

/// A heartbeat round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Round {
    pub number: u64,
    pub sent: Duration,
}

/// A read that waits until a quorum answers a round sent after the read arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Read {
    pub request_id: u64,
    pub round: u64,
}

/// A proposal that is not applied yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Proposal {
    pub request_id: u64,
    pub version: id::Version,
    pub bytes: usize,
}

/// A leadership transfer in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Transfer {
    pub to: membership::Replica,
    /// Time at which the transfer is abandoned, since process start.
    pub until: Duration,
}

impl Leadership {
    pub fn next_wake(&self) -> Duration {
        self.heartbeat_at
    }
}

impl Node {
    pub(super) fn become_leader(&mut self) {
        let last = self.log.last().version;
        self.state = State::Leader(Box::new(Leadership {
            progress: IndexMap::new(),
            first: entry::after(last),
            round: 0,
            rounds: VecDeque::new(),
            reads: VecDeque::new(),
            proposals: VecDeque::new(),
            pending_bytes: 0,
            transfer: None,
            heartbeat_at: self.now,
        }));
        self.leader = Some(self.replica.clone());
        self.outputs.push(Output::Lead { term: self.term });
        self.update_progress(last);
        self.append_own(entry::Body::Noop);
        self.heartbeat();
    }

    /// Starts tracking the progress of new members and drops that of removed ones.
    pub(super) fn update_progress(&mut self, last: id::Version) {
        let members = self.log.members().clone();
        let own = self.replica.clone();
        let now = self.now;
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        lead.progress.retain(|replica, _| members.contains(replica));
        for member in members.iter().filter(|member| **member != own) {
            let progress = lead.progress.entry(member.clone());
            progress.or_insert_with(|| progress::Progress::new(last, now));
        }
    }

    /// Appends an entry to the leader's own log and returns its version.
    pub(super) fn append_own(&mut self, body: entry::Body) -> id::Version {
        let version = entry::after(self.log.last().version);
        let entry = entry::Entry {
            position: entry::Position {
                term: self.term,
                version,
            },
            body,
        };
        self.log.push(entry.clone());
        self.writer.push(storage::Record::Append(vec![entry]));
        version
    }

    pub(super) fn propose(&mut self, request_id: u64, data: Bytes) {
        let bytes = data.len();
        let limit = self.config.max_entry_bytes;
        if bytes > limit {
            self.refuse(request_id, Refusal::Large { bytes, limit });
            return;
        }
        if let Some(refusal) = self.refusal(bytes) {
            self.refuse(request_id, refusal);
            return;
        }
        let version = self.append_own(entry::Body::Data(data));
        self.await_commit(request_id, version, bytes + entry::OVERHEAD_BYTES);
    }

    pub(super) fn await_commit(&mut self, request_id: u64, version: id::Version, bytes: usize) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        lead.pending_bytes += bytes;
        lead.proposals.push_back(Proposal {
            request_id,
            version,
            bytes,
        });
    }

    /// Returns the reason why a proposal of this size, in bytes, can't be accepted now, if any.
    pub(super) fn refusal(&self, bytes: usize) -> Option<Refusal> {
        let State::Leader(lead) = &self.state else {
            let leader = self.leader().cloned();
            return Some(Refusal::NotLeader { leader });
        };
        if lead.transfer.is_some() {
            return Some(Refusal::Transferring);
        }
        if self.writer.is_full() {
            return Some(Refusal::Full);
        }
        let pending = lead.pending_bytes + bytes;
        (pending > self.config.max_pending_bytes).then_some(Refusal::Busy)
    }

    pub(super) fn refuse(&mut self, request_id: u64, refusal: Refusal) {
        let result = Err(refusal);
        self.outputs.push(Output::Proposed { request_id, result });
    }

    /// Returns the greatest value that a quorum of voters has reached.
    pub(super) fn quorum_value<T: Ord + Copy>(
        &self,
        own: T,
        value: impl Fn(&progress::Progress) -> T,
    ) -> T {
        let State::Leader(lead) = &self.state else {
            return own;
        };
        let members = self.log.members();
        let voters = members.voters().iter();
        let mut values: Vec<T> = voters
            .map(|voter| lead.progress.get(voter).map_or(own, &value))
            .collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.quorum() - 1).copied().unwrap_or(own)
    }

    pub(super) fn tick_leader(&mut self) {
        let contact = self.quorum_value(self.now, |progress| progress.last_contact);
        if self.now >= contact + self.election_timeout() {
            self.become_follower(self.term, None);
            return;
        }
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        lead.transfer.take_if(|transfer| self.now >= transfer.until);
        if self.now >= lead.heartbeat_at {
            self.heartbeat();
        }
    }

    /// Starts the heartbeat round that is due at the interval of heartbeats.
    pub(super) fn heartbeat(&mut self) {
        let next = self.now + self.config.heartbeat_interval;
        if let State::Leader(lead) = &mut self.state {
            lead.heartbeat_at = next;
        }
        self.start_round(Scope::Members);
    }

    /// Starts a heartbeat round.
    pub(super) fn start_round(&mut self, scope: Scope) {
        let oldest = self.now.saturating_sub(self.election_timeout() * 2);
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        lead.round += 1;
        lead.rounds.retain(|round| round.sent >= oldest);
        lead.rounds.push_back(Round {
            number: lead.round,
            sent: self.now,
        });
        self.send_heartbeats(scope);
        self.try_transfer();
    }

    /// Refuses the pending proposals and reads when leadership is lost.
    pub(super) fn refuse_pending(&mut self, lead: Leadership) {
        for proposal in lead.proposals {
            self.refuse(proposal.request_id, Refusal::Unknown);
        }
        for read in lead.reads {
            let refusal = Refusal::NotLeader { leader: None };
            let request_id = read.request_id;
            self.outputs.push(Output::ReadRefused {
                request_id,
                refusal,
            });
        }
    }
}
