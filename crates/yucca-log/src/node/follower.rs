//! The follower: appends entries from the leader and replies once they are synced.

use yucca_wire::id;

use crate::entry;
use crate::membership;
use crate::message;
use crate::node::Node;
use crate::storage;

impl Node {
    /// Follows the sender as the leader if its term is current, else rejects the message.
    /// Returns whether the term is current.
    pub(super) fn accept_leader(
        &mut self,
        sender: &membership::Replica,
        term: entry::Term,
        round: u64,
    ) -> bool {
        if term < self.term {
            let mismatch = message::Mismatch {
                previous: id::Version(0),
                retry_after: self.commit,
            };
            self.reject(sender, round, mismatch);
            return false;
        }
        self.become_follower(term, Some(sender.clone()));
        true
    }

    pub(super) fn on_append(
        &mut self,
        sender: membership::Replica,
        term: entry::Term,
        append: message::Append,
    ) {
        if !self.accept_leader(&sender, term, append.round) {
            return;
        }
        if !is_contiguous(&append, term) {
            return;
        }
        if let Some(mismatch) = self.mismatch(append.previous) {
            self.reject(&sender, append.round, mismatch);
            return;
        }
        let count = append.entries.len() as u64;
        let matched = id::Version(append.previous.version.0.saturating_add(count));
        if count > 0 && self.writer.is_full() {
            return;
        }
        self.append_entries(append.entries);
        self.commit = self.commit.max(append.commit.min(matched));
        self.acknowledge(&sender, append.round, matched, count == 0);
    }

    /// Replies to a heartbeat at once with the synced version, and to entries once they are synced.
    fn acknowledge(
        &mut self,
        leader: &membership::Replica,
        round: u64,
        matched: id::Version,
        heartbeat: bool,
    ) {
        let synced = matched.min(self.writer.durable());
        if heartbeat {
            self.send_now(leader, accept_reply(round, synced));
        } else {
            self.send_after_sync(leader, accept_reply(round, matched));
        }
    }

    pub(super) fn reject(
        &mut self,
        sender: &membership::Replica,
        round: u64,
        mismatch: message::Mismatch,
    ) {
        let reply = message::AppendReply {
            round,
            matched: id::Version(0),
            mismatch: Some(mismatch),
        };
        self.send_now(sender, message::Body::AppendReply(reply));
    }

    /// Returns the mismatch if the log does not match the leader's at a position.
    fn mismatch(&self, previous: entry::Position) -> Option<message::Mismatch> {
        let retry_after = self.retry_after(previous)?;
        Some(message::Mismatch {
            previous: previous.version,
            retry_after,
        })
    }

    fn retry_after(&self, previous: entry::Position) -> Option<id::Version> {
        let version = previous.version;
        let last = self.log.last().version;
        if version > last {
            return Some(last);
        }
        if version <= self.commit {
            return None;
        }
        let held = self.log.term(version)?;
        if held == previous.term {
            return None;
        }
        Some(self.before_term(held, version))
    }

    /// Returns the version before the run of entries of a term that ends at `version`, but at least
    /// the commit version.
    fn before_term(&self, term: entry::Term, version: id::Version) -> id::Version {
        let mut version = version;
        while version > self.commit && self.log.term(version) == Some(term) {
            version = id::Version(version.0 - 1);
        }
        version
    }

    fn append_entries(&mut self, entries: Vec<entry::Entry>) {
        let mut missing = entries.into_iter().skip_while(|entry| self.holds(entry));
        let Some(first) = missing.next() else {
            return;
        };
        let new: Vec<entry::Entry> = std::iter::once(first).chain(missing).collect();
        let before = id::Version(new[0].version().0 - 1);
        if before < self.log.last().version {
            self.log.truncate(before);
            self.writer.truncate(before);
        }
        for entry in &new {
            self.log.push(entry.clone());
        }
        self.writer.push(storage::Record::Append(new));
    }

    fn holds(&self, entry: &entry::Entry) -> bool {
        let version = entry.version();
        version <= self.commit || self.log.term(version) == Some(entry.position.term)
    }
}

/// Returns whether the entries follow `previous` without a gap, in terms that do not decrease and
/// do not exceed `term`.
fn is_contiguous(append: &message::Append, term: entry::Term) -> bool {
    let mut before = append.previous;
    for entry in &append.entries {
        let position = entry.position;
        let follows = before.version.0.checked_add(1) == Some(position.version.0);
        if !follows || position.term < before.term {
            return false;
        }
        before = position;
    }
    before.term <= term
}

/// Returns the reply to entries that were accepted.
pub(super) fn accept_reply(round: u64, matched: id::Version) -> message::Body {
    message::Body::AppendReply(message::AppendReply {
        round,
        matched,
        mismatch: None,
    })
}
