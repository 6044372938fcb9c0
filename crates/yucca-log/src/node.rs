//! One replica: `step(input, now) -> outputs`.
//!
//! The code is split by role and concern: elections, the leader, replication by the leader, the
//! follower, snapshots, membership changes, joining, and applying committed entries.

mod apply;
mod change;
mod config;
mod election;
mod follower;
mod io;
mod join;
mod leader;
mod leave;
mod outbox;
mod read;
mod replicate;
mod snapshot;
mod transfer;
mod writer;

use std::time::Duration;

use indexmap::IndexSet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yucca_wire::id;

use crate::entry;
use crate::log;
use crate::membership;
use crate::message;
use crate::storage;

pub use config::Config;
pub use io::{Input, Output, Refusal};

/// Role of a replica in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes or pre-votes.
    Candidate,
    /// Leads the log in its term.
    Leader,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Follower,
    PreCandidate(IndexSet<membership::Replica>),
    Candidate(IndexSet<membership::Replica>),
    Leader(Box<leader::Leadership>),
}

/// One replica of a log.
#[derive(Debug, Clone)]
pub struct Node {
    config: Config,
    group: message::Group,
    replica: membership::Replica,
    cluster: Option<entry::Cluster>,
    term: entry::Term,
    vote: Option<membership::Replica>,
    state: State,
    leader: Option<membership::Replica>,
    /// Time of the last contact with a leader, since process start; `None` before the first.
    leader_contact: Option<Duration>,
    /// The last host that said of itself that it leads, while this replica asked to join.
    claimed_leader: Option<join::Claim>,
    log: log::Log,
    commit: id::Version,
    applied: id::Version,
    writer: writer::Writer,
    incoming: Option<snapshot::Incoming>,
    snapshot_requested: bool,
    /// Replicas that reported that they are members of no log.
    empty_peers: IndexSet<membership::Replica>,
    /// Whether any replica reported that it is a member of a log.
    log_exists: bool,
    election_at: Duration,
    join_at: Duration,
    rng: ChaCha8Rng,
    now: Duration,
    outputs: Vec<Output>,
}

impl Node {
    /// Starts a replica from its recovered storage.
    ///
    /// A replica whose storage was lost needs an incarnation that its host has never used.
    pub fn new(config: Config, recovered: storage::Recovered) -> Self {
        let image = recovered.image;
        let replica = membership::Replica {
            host: config.id.clone(),
            incarnation: recovered.incarnation,
        };
        let log = log::Log::new(image.snapshot, image.entries);
        let commit = log.snapshot_version();
        let mut node = Self {
            group: message::Group::new(&config.group),
            replica,
            cluster: image.cluster,
            term: image.vote.term,
            vote: image.vote.candidate,
            state: State::Follower,
            leader: None,
            leader_contact: None,
            claimed_leader: None,
            commit,
            applied: commit,
            writer: writer::Writer::new(log.last().version),
            log,
            incoming: None,
            snapshot_requested: false,
            empty_peers: IndexSet::new(),
            log_exists: false,
            election_at: Duration::ZERO,
            join_at: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            now: Duration::ZERO,
            outputs: Vec::new(),
            config,
        };
        node.restore();
        node.reset_election();
        node
    }

    /// Handles an input at a time since process start and returns what the owner must do.
    pub fn step(&mut self, input: Input, now: Duration) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.receive(from, message),
            Input::Propose { request_id, entry } => self.propose(request_id, entry),
            Input::Read { request_id } => self.read(request_id),
            Input::Change { request_id, change } => self.change(request_id, &change),
            Input::Transfer { to } => self.transfer(to),
            Input::Leave => self.leave(),
            Input::Campaign => self.campaign_now(),
            Input::Synced { upto } => self.on_synced(upto),
            Input::Full { sequence } => self.on_disk_full(sequence),
            Input::Snapshot { version, state } => self.store_snapshot(version, state),
        }
        self.flush();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&id::Host> {
        self.leader.as_ref().map(|leader| &leader.host)
    }

    /// Returns the host to ask for the leader: the leader of the current term or, while this replica
    /// follows none, the last host that said of itself that it leads. The latter may be out of date.
    pub fn leader_hint(&self) -> Option<&id::Host> {
        let claim = self.claimed_leader.as_ref();
        let claim = claim.filter(|claim| self.now < claim.until);
        self.leader().or(claim.map(|claim| &claim.host))
    }

    /// Returns the role of the replica in its term.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) | State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the current term.
    pub fn term(&self) -> entry::Term {
        self.term
    }

    /// Returns the replica's own identity.
    pub fn replica(&self) -> &membership::Replica {
        &self.replica
    }

    /// Returns the identity of the log that the replica joined, if it has joined one.
    pub fn cluster(&self) -> Option<entry::Cluster> {
        self.cluster
    }

    /// Returns the newest known membership, which may not be committed yet.
    pub fn members(&self) -> &membership::Members {
        self.log.members()
    }

    /// Returns the newest version known to be committed.
    pub fn commit(&self) -> id::Version {
        self.commit
    }

    /// Returns whether a leader is known and an entry of its term is known to be committed. Until
    /// then, the commit version of a restarted replica may be behind that of the log.
    pub fn is_commit_current(&self) -> bool {
        self.leader.is_some() && self.log.term(self.commit) == Some(self.term)
    }

    /// Returns the last position of the log in memory.
    pub fn last(&self) -> entry::Position {
        self.log.last()
    }

    /// Returns the version up to which the log is synced.
    pub fn durable(&self) -> id::Version {
        self.writer.durable()
    }

    /// Returns the entry at a version, if it is still in memory.
    pub fn entry(&self, version: id::Version) -> Option<&entry::Entry> {
        self.log.get(version)
    }

    /// Returns the approximate memory used by the entries and the newest snapshot, in bytes.
    pub fn bytes(&self) -> usize {
        let snapshot = self.log.snapshot().map_or(0, |s| s.state.len());
        self.log.bytes() + snapshot
    }

    /// Returns the time of the next [`Input::Tick`] that has something to do.
    pub fn next_wake(&self) -> Duration {
        let timer = match &self.state {
            State::Leader(lead) => lead.next_wake(),
            _ if self.is_voter() => self.election_at,
            _ => self.join_at,
        };
        let retry = self.writer.retry_at();
        retry.map_or(timer, |at| at.min(timer))
    }

    fn is_voter(&self) -> bool {
        self.members().is_voter(&self.replica)
    }

    fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    fn tick(&mut self) {
        if let Some(work) = self.writer.retry(self.now) {
            self.persist(work);
        }
        if self.is_leader() {
            self.tick_leader();
        } else if self.is_voter() {
            self.tick_voter();
        } else {
            self.tick_non_voter();
        }
    }

    fn receive(&mut self, from: id::Host, message: message::Message) {
        if message.group != self.group || from == self.config.id {
            return;
        }
        let sender = membership::Replica {
            host: from,
            incarnation: message.from,
        };
        if message.to.is_some_and(|to| to != self.replica.incarnation) {
            self.send_now(&sender, message::Body::Join);
            return;
        }
        match message.body {
            message::Body::Join => self.on_join(sender, message.cluster),
            message::Body::JoinReply(reply) => self.on_join_reply(sender, reply),
            body => {
                if self.accepts_cluster(message.cluster, message.to, &body) {
                    self.dispatch(sender, message.term, body);
                }
            }
        }
    }

    fn dispatch(&mut self, sender: membership::Replica, term: entry::Term, body: message::Body) {
        match body {
            message::Body::PreVote(request) => self.on_pre_vote(&sender, term, &request),
            message::Body::PreVoteReply(reply) => self.on_pre_vote_reply(sender, term, &reply),
            message::Body::Vote(request) => self.on_vote(&sender, term, &request),
            message::Body::VoteReply(reply) => self.on_vote_reply(sender, term, &reply),
            message::Body::Append(append) => self.on_append(sender, term, append),
            message::Body::AppendReply(reply) => self.on_append_reply(&sender, term, &reply),
            message::Body::Snapshot(chunk) => self.on_chunk(sender, term, chunk),
            message::Body::ChunkReply(reply) => self.on_chunk_reply(&sender, term, &reply),
            message::Body::Campaign => self.on_campaign(&sender, term),
            message::Body::Leave => self.on_leave(sender),
            message::Body::Left => self.on_left(&sender, term),
            message::Body::Join | message::Body::JoinReply(_) => {}
        }
    }

    /// Collects the outputs that have become possible, in the order in which the owner may carry
    /// them out.
    fn flush(&mut self) {
        self.advance_commit();
        self.replicate();
        self.apply();
        self.answer_reads();
        if let Some(work) = self.writer.next_write(self.log.last().version) {
            self.persist(work);
        }
        self.request_snapshot();
    }

    /// Returns a random duration below `span`.
    fn jitter(&mut self, span: Duration) -> Duration {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        if micros == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(self.rng.random_range(0..micros))
    }
}
