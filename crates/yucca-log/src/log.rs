//! The newest snapshot and the entries that a replica holds in memory.

use std::collections::VecDeque;

use yucca_wire::id;

use crate::entry;
use crate::membership;

/// The tail of the log, and the newest snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Log {
    /// Position of the last entry that is no longer in memory.
    base: entry::Position,
    entries: VecDeque<entry::Entry>,
    /// The membership at the snapshot and all later ones, in order of version; never empty.
    memberships: Vec<Membership>,
    /// The newest snapshot. Its position is between `base` and the last entry.
    snapshot: Option<entry::Snapshot>,
}

/// A membership and the version of the entry that set it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Membership {
    version: id::Version,
    members: membership::Members,
}

impl Log {
    pub fn new(snapshot: Option<entry::Snapshot>, entries: Vec<entry::Entry>) -> Self {
        let first = entries.first().map(entry::Entry::version);
        let snapshot_position = snapshot.as_ref().map(|s| s.position).unwrap_or_default();
        let members = snapshot.as_ref().map(|s| s.members.clone());
        let mut log = Self {
            base: snapshot_position,
            entries: VecDeque::new(),
            memberships: vec![Membership {
                version: snapshot_position.version,
                members: members.unwrap_or_default(),
            }],
            snapshot,
        };
        // Entries retained for slow followers start before the snapshot's position.
        if let Some(first) = first
            && first <= snapshot_position.version
        {
            log.base = entry::Position {
                term: entry::Term(0),
                version: id::Version(first.0 - 1),
            };
        }
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub fn snapshot(&self) -> Option<&entry::Snapshot> {
        self.snapshot.as_ref()
    }

    pub fn snapshot_version(&self) -> id::Version {
        let position = self.snapshot.as_ref().map(|s| s.position);
        position.unwrap_or_default().version
    }

    pub fn last(&self) -> entry::Position {
        self.entries.back().map_or(self.base, |e| e.position)
    }

    pub fn members(&self) -> &membership::Members {
        &self.newest().members
    }

    /// Returns the version of the entry that set the newest membership.
    pub fn members_version(&self) -> id::Version {
        self.newest().version
    }

    fn newest(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1]
    }

    fn members_at(&self, version: id::Version) -> membership::Members {
        let memberships = self.memberships.iter().rev();
        let mut in_effect = memberships.filter(|membership| membership.version <= version);
        in_effect
            .next()
            .map(|membership| membership.members.clone())
            .unwrap_or_default()
    }

    fn index(&self, version: id::Version) -> Option<usize> {
        let offset = version.0.checked_sub(self.base.version.0)?.checked_sub(1)?;
        usize::try_from(offset).ok()
    }

    pub fn get(&self, version: id::Version) -> Option<&entry::Entry> {
        self.entries.get(self.index(version)?)
    }

    /// Returns the term of the entry at a version, if known.
    pub fn term(&self, version: id::Version) -> Option<entry::Term> {
        if let Some(snapshot) = &self.snapshot
            && snapshot.position.version == version
        {
            return Some(snapshot.position.term);
        }
        if version == self.base.version {
            let known = self.base.term.0 > 0 || version.0 == 0;
            return known.then_some(self.base.term);
        }
        self.get(version).map(|entry| entry.position.term)
    }

    pub fn push(&mut self, entry: entry::Entry) {
        let version = entry.version();
        if let entry::Body::Members(members) = &entry.body
            && version > self.members_version()
        {
            self.memberships.push(Membership {
                version,
                members: members.clone(),
            });
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries after a version.
    pub fn truncate(&mut self, version: id::Version) {
        let Some(keep) = self.index(entry::after(version)) else {
            return;
        };
        self.entries.truncate(keep);
        self.memberships
            .retain(|membership| membership.version <= version);
    }

    /// Returns entries from a version on, up to a total size in bytes, but at least one entry.
    pub fn slice(&self, from: id::Version, max_bytes: usize) -> Vec<entry::Entry> {
        let Some(start) = self.index(from) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.iter().skip(start) {
            bytes += entry.size();
            if !slice.is_empty() && bytes > max_bytes {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Builds the snapshot at a version from the state machine's state.
    pub fn make_snapshot(
        &self,
        version: id::Version,
        state: bytes::Bytes,
    ) -> Option<entry::Snapshot> {
        let term = self.term(version)?;
        Some(entry::Snapshot {
            position: entry::Position { term, version },
            members: self.members_at(version),
            state,
        })
    }

    /// Stores a snapshot and drops the entries before it, except for the last `keep` ones.
    pub fn compact(&mut self, snapshot: entry::Snapshot, keep: u64) {
        let version = snapshot.position.version;
        let from = id::Version(version.0.saturating_sub(keep));
        while let Some(first) = self.entries.front() {
            if first.version() > from {
                break;
            }
            self.base = first.position;
            self.entries.pop_front();
        }
        let members = snapshot.members.clone();
        self.memberships
            .retain(|membership| membership.version > version);
        self.memberships.insert(0, Membership { version, members });
        self.snapshot = Some(snapshot);
    }

    /// Replaces the complete log by a snapshot from the leader.
    pub fn replace(&mut self, snapshot: entry::Snapshot) {
        *self = Self::new(Some(snapshot), Vec::new());
    }

    /// Returns all entries in memory.
    pub fn entries(&self) -> Vec<entry::Entry> {
        self.entries.iter().cloned().collect()
    }

    /// Returns the approximate size of the entries in memory, in bytes.
    pub fn bytes(&self) -> usize {
        let sizes = self.entries.iter().map(entry::Entry::size);
        sizes.sum::<usize>() + self.entries.len() * size_of::<entry::Entry>()
    }
}
