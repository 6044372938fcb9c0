//! Replication: the leader sends its log and commits what a quorum has synced.

use std::time::Duration;

use yucca_wire::id;

use crate::entry;
use crate::membership;
use crate::message;
use crate::node::leader::Scope;
use crate::node::{Node, State};
use crate::progress;

/// Next message to a member.
enum Plan {
    Append(message::Append),
    Snapshot,
    Nothing,
}

impl Node {
    fn progress(&mut self, replica: &membership::Replica) -> Option<&mut progress::Progress> {
        match &mut self.state {
            State::Leader(lead) => lead.progress.get_mut(replica),
            _ => None,
        }
    }

    fn followers(&self) -> Vec<membership::Replica> {
        match &self.state {
            State::Leader(lead) => lead.progress.keys().cloned().collect(),
            _ => Vec::new(),
        }
    }

    fn round(&self) -> u64 {
        match &self.state {
            State::Leader(lead) => lead.round,
            _ => 0,
        }
    }

    pub(super) fn send_heartbeats(&mut self, scope: Scope) {
        let commit = self.commit;
        let mut replicas = self.followers();
        if scope == Scope::Voters {
            replicas.retain(|replica| self.members().is_voter(replica));
        }
        for replica in replicas {
            let Some(progress) = self.progress(&replica) else {
                continue;
            };
            let version = progress.previous();
            progress.commit_sent = commit;
            // To a member that needs a snapshot it only shows that the leader is alive: the default
            // position, 0, matches any log.
            let previous = self.position(version).unwrap_or_default();
            let append = self.append_message(previous, Vec::new());
            self.send_now(&replica, message::Body::Append(append));
            self.resend_chunk(&replica);
        }
    }

    pub(super) fn position(&self, version: id::Version) -> Option<entry::Position> {
        let term = self.log.term(version)?;
        Some(entry::Position { term, version })
    }

    fn append_message(
        &self,
        previous: entry::Position,
        entries: Vec<entry::Entry>,
    ) -> message::Append {
        message::Append {
            round: self.round(),
            previous,
            commit: self.commit,
            entries,
        }
    }

    /// Sends each member the entries that it lacks, as far as its window allows.
    pub(super) fn replicate(&mut self) {
        for replica in self.followers() {
            loop {
                match self.plan(&replica) {
                    Plan::Append(append) => self.send_append(&replica, append),
                    Plan::Snapshot => {
                        self.start_snapshot(&replica);
                        break;
                    }
                    Plan::Nothing => break,
                }
            }
        }
    }

    fn plan(&mut self, replica: &membership::Replica) -> Plan {
        let last = self.log.last().version;
        let commit = self.commit;
        let Some(progress) = self.progress(replica) else {
            return Plan::Nothing;
        };
        if progress.outgoing.is_some() || !progress.has_room() {
            return Plan::Nothing;
        }
        let (next, previous) = (progress.next, progress.previous());
        let idle = next > last;
        let commit_unsent = progress.commit_sent < commit && progress.matched >= commit;
        if idle && !commit_unsent {
            return Plan::Nothing;
        }
        let Some(previous) = self.position(previous) else {
            return Plan::Snapshot;
        };
        let entries = self.log.slice(next, self.config.max_append_bytes);
        Plan::Append(self.append_message(previous, entries))
    }

    fn send_append(&mut self, replica: &membership::Replica, append: message::Append) {
        let commit = self.commit;
        let count = append.entries.len() as u64;
        if let Some(progress) = self.progress(replica) {
            progress.record_sent(count);
            progress.commit_sent = commit;
        }
        self.send_now(replica, message::Body::Append(append));
    }

    /// Records a reply. Returns whether it is from a member and of the current term.
    pub(super) fn record_reply(
        &mut self,
        sender: &membership::Replica,
        term: entry::Term,
        round: u64,
    ) -> bool {
        if term > self.term {
            self.become_follower(term, None);
            return false;
        }
        let State::Leader(lead) = &mut self.state else {
            return false;
        };
        let Some(progress) = lead.progress.get_mut(sender) else {
            return false;
        };
        if term < self.term {
            return false;
        }
        let sent = lead.rounds.iter().find(|r| r.number == round);
        let sent = sent.map_or(Duration::ZERO, |r| r.sent);
        progress.last_contact = progress.last_contact.max(sent);
        progress.round = progress.round.max(round.min(lead.round));
        progress.answered = true;
        true
    }

    pub(super) fn on_append_reply(
        &mut self,
        sender: &membership::Replica,
        term: entry::Term,
        reply: &message::AppendReply,
    ) {
        if !self.record_reply(sender, term, reply.round) {
            return;
        }
        let last = self.log.last().version;
        if let Some(progress) = self.progress(sender) {
            match reply.mismatch {
                Some(mismatch) => progress.reject(mismatch, last),
                None => progress.accept(reply.matched.min(last)),
            }
        }
        self.try_transfer();
    }

    /// Commits the entries that a quorum has synced if the newest of them is of the current term.
    pub(super) fn advance_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let synced = self.quorum_value(self.writer.durable(), |progress| progress.matched);
        if synced > self.commit && self.log.term(synced) == Some(self.term) {
            self.commit = synced;
        }
    }
}
