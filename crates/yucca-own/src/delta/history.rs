//! The last versions of a part, from which deltas are made.

use std::collections::VecDeque;
use std::sync;

use yucca_wire::id;
use yucca_wire::report;

use super::{Part, diff};

/// The last versions of a part. Versions share what did not change, so each costs little.
#[derive(Debug, Clone)]
pub struct History<T> {
    limit: usize,
    versions: VecDeque<sync::Arc<T>>,
}

impl<T: Part> History<T> {
    /// Returns a history of at most so many versions.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            versions: VecDeque::new(),
        }
    }

    /// Adds a version; one that is not newer than the newest is passed over.
    pub fn push(&mut self, part: sync::Arc<T>) {
        let newest = self.versions.back().map(|newest| newest.version());
        if newest.is_some_and(|newest| part.version() <= newest) {
            return;
        }
        self.versions.push_back(part);
        while self.versions.len() > self.limit.max(1) {
            self.versions.pop_front();
        }
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<&sync::Arc<T>> {
        self.versions.back()
    }

    /// Returns what a host needs that has this version: nothing, a delta, or a snapshot where the
    /// version is no longer known. A host that is ahead is left alone.
    pub fn since(&self, held: id::Version) -> Option<report::Change<T>> {
        let newest = self.newest()?;
        if held >= newest.version() {
            return None;
        }
        let base = self
            .versions
            .binary_search_by_key(&held, |part| part.version());
        let base = base.ok().map(|at| self.versions[at].as_ref());
        Some(diff(base, newest))
    }
}
