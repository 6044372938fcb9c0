//! Snapshots: taking them locally, sending them in chunks, and receiving them.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use yucca_wire::id;

use crate::entry;
use crate::membership;
use crate::message;
use crate::node::{Node, Output, State, follower};
use crate::progress;
use crate::storage;

/// A partially received snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Incoming {
    position: entry::Position,
    data: BytesMut,
}

impl Node {
    /// Installs the newest stored snapshot in the state machine.
    pub(super) fn restore(&mut self) {
        if let Some(snapshot) = self.log.snapshot() {
            let install = Output::Install {
                version: snapshot.position.version,
                state: snapshot.state.clone(),
            };
            self.outputs.push(install);
        }
    }

    pub(super) fn request_snapshot(&mut self) {
        let since = self.applied.0 - self.log.snapshot_version().0;
        if self.snapshot_requested || since < self.config.snapshot_entries {
            return;
        }
        self.snapshot_requested = true;
        let version = self.applied;
        self.outputs.push(Output::TakeSnapshot { version });
    }

    pub(super) fn store_snapshot(&mut self, version: id::Version, state: Bytes) {
        self.snapshot_requested = false;
        if version > self.applied || version <= self.log.snapshot_version() {
            return;
        }
        let Some(snapshot) = self.log.make_snapshot(version, state) else {
            return;
        };
        self.log.compact(snapshot, self.config.keep_entries);
        self.persist_image();
    }

    /// Replaces all stored records by an image of the current state.
    fn persist_image(&mut self) {
        let image = storage::Image {
            cluster: self.cluster,
            vote: storage::Vote {
                term: self.term,
                candidate: self.vote.clone(),
            },
            snapshot: self.log.snapshot().cloned(),
            entries: self.log.entries(),
        };
        self.writer.push(storage::Record::Image(Box::new(image)));
    }

    pub(super) fn start_snapshot(&mut self, replica: &membership::Replica) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        if let Some(progress) = lead.progress.get_mut(replica) {
            progress.outgoing = Some(progress::Outgoing {
                snapshot,
                held: 0,
                retry_at: self.now,
            });
        }
        self.resend_chunk(replica);
    }

    /// Sends the next chunk, if the retry time has come.
    pub(super) fn resend_chunk(&mut self, replica: &membership::Replica) {
        let retry = self.now + self.election_timeout() / 2;
        let chunk_bytes = self.config.chunk_bytes;
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let round = lead.round;
        let progress = lead.progress.get_mut(replica);
        let Some(outgoing) = progress.and_then(|p| p.outgoing.as_mut()) else {
            return;
        };
        if self.now < outgoing.retry_at {
            return;
        }
        outgoing.retry_at = retry;
        let chunk = outgoing.chunk(round, chunk_bytes);
        self.send_now(replica, message::Body::Snapshot(chunk));
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        sender: &membership::Replica,
        term: entry::Term,
        reply: &message::ChunkReply,
    ) {
        if !self.record_reply(sender, term, reply.round) {
            return;
        }
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let progress = lead.progress.get_mut(sender);
        let Some(outgoing) = progress.and_then(|p| p.outgoing.as_mut()) else {
            return;
        };
        if outgoing.snapshot.position.version != reply.version || outgoing.held == reply.held {
            return;
        }
        outgoing.held = reply.held;
        outgoing.retry_at = Duration::ZERO;
        self.resend_chunk(sender);
    }

    pub(super) fn on_chunk(
        &mut self,
        sender: membership::Replica,
        term: entry::Term,
        chunk: message::Chunk,
    ) {
        let too_large = chunk.total > self.config.max_snapshot_bytes as u64;
        if !self.accept_leader(&sender, term, chunk.round) || self.writer.is_full() || too_large {
            return;
        }
        let version = chunk.position.version;
        if version <= self.commit {
            let matched = version.min(self.writer.durable());
            self.send_now(&sender, follower::accept_reply(chunk.round, matched));
            return;
        }
        let (round, total) = (chunk.round, chunk.total);
        let position = chunk.position;
        let members = chunk.members.clone();
        let held = self.add_chunk(chunk);
        if held < total {
            let reply = message::ChunkReply {
                round,
                version,
                held,
            };
            self.send_now(&sender, message::Body::ChunkReply(reply));
            return;
        }
        self.install(position, members);
        self.send_after_sync(&sender, follower::accept_reply(round, version));
    }

    /// Adds a chunk and returns the number of bytes received so far without a gap.
    fn add_chunk(&mut self, chunk: message::Chunk) -> u64 {
        let same = |incoming: &Incoming| incoming.position == chunk.position;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(Incoming {
                position: chunk.position,
                data: BytesMut::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        let held = incoming.data.len() as u64;
        let fits = held + chunk.data.len() as u64 <= chunk.total;
        if chunk.offset == held && fits {
            incoming.data.extend_from_slice(&chunk.data);
        }
        incoming.data.len() as u64
    }

    fn install(&mut self, position: entry::Position, members: membership::Members) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let state = incoming.data.freeze();
        self.log.replace(entry::Snapshot {
            position,
            members: members.clone(),
            state: state.clone(),
        });
        self.writer.truncate(id::Version(0));
        self.commit = position.version;
        self.applied = position.version;
        self.snapshot_requested = false;
        self.outputs.push(Output::Install {
            version: position.version,
            state,
        });
        self.outputs.push(Output::Members(members));
        self.persist_image();
    }
}

impl progress::Outgoing {
    fn chunk(&self, round: u64, chunk_bytes: usize) -> message::Chunk {
        let state = &self.snapshot.state;
        let start = usize::try_from(self.held).unwrap_or(0).min(state.len());
        let end = (start + chunk_bytes).min(state.len());
        message::Chunk {
            round,
            position: self.snapshot.position,
            members: self.snapshot.members.clone(),
            total: state.len() as u64,
            offset: start as u64,
            data: state.slice(start..end),
        }
    }
}
