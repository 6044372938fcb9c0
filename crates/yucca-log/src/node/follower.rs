//! The follower: takes entries from the leader and answers once they are synced.

use yucca_wire::id;

use crate::entry;
use crate::membership;
use crate::message;
use crate::node::Node;
use crate::storage;

impl Node {
    /// Takes the sender of entries for the leader; tells whether its term is current.
    pub(super) fn obey(
        &mut self,
        sender: &membership::Replica,
        term: entry::Term,
        round: u64,
    ) -> bool {
        if term < self.term {
            let nothing = message::Mismatch {
                previous: id::Version(0),
                retry_after: self.commit,
            };
            self.reject(sender, round, nothing);
            return false;
        }
        self.follow(term, Some(sender.clone()));
        true
    }

    pub(super) fn on_append(
        &mut self,
        sender: membership::Replica,
        term: entry::Term,
        append: message::Append,
    ) {
        if !self.obey(&sender, term, append.round) {
            return;
        }
        if !is_sound(&append, term) {
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
        self.take_entries(append.entries);
        self.commit = self.commit.max(append.commit.min(matched));
        self.acknowledge(&sender, append.round, matched, count == 0);
    }

    /// Answers what is synced at once to a heartbeat, and all of it once it is synced.
    fn acknowledge(
        &mut self,
        leader: &membership::Replica,
        round: u64,
        matched: id::Version,
        heartbeat: bool,
    ) {
        let synced = matched.min(self.writer.durable());
        if heartbeat {
            self.send_free(leader, accepted(round, synced));
        } else {
            self.send_synced(leader, accepted(round, matched));
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
        self.send_free(sender, message::Body::AppendReply(reply));
    }

    /// Returns what does not fit after a position, if anything.
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

    /// Returns the version before the entries of a term that end at `version`.
    fn before_term(&self, term: entry::Term, version: id::Version) -> id::Version {
        let mut version = version;
        while version > self.commit && self.log.term(version) == Some(term) {
            version = id::Version(version.0 - 1);
        }
        version
    }

    fn take_entries(&mut self, entries: Vec<entry::Entry>) {
        let mut lacked = entries.into_iter().skip_while(|entry| self.holds(entry));
        let Some(first) = lacked.next() else {
            return;
        };
        let new: Vec<entry::Entry> = std::iter::once(first).chain(lacked).collect();
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

/// Tells whether entries follow on their position without a gap, in terms that do not fall.
fn is_sound(append: &message::Append, term: entry::Term) -> bool {
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

/// Returns the answer to entries that fit.
pub(super) fn accepted(round: u64, matched: id::Version) -> message::Body {
    message::Body::AppendReply(message::AppendReply {
        round,
        matched,
        mismatch: None,
    })
}
