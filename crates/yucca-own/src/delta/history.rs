//! Latest versions of a part, from which deltas are computed.

use std::collections::VecDeque;
use std::sync;

use yucca_wire::id;
use yucca_wire::report;

use super::{Part, diff};

/// Latest versions of a part. Versions share unchanged data, so each costs little memory.
#[derive(Debug, Clone)]
pub struct History<T> {
    limit: usize,
    versions: VecDeque<sync::Arc<T>>,
}

impl<T: Part> History<T> {
    /// Returns an empty history of at most `limit` versions, but at least one.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            versions: VecDeque::new(),
        }
    }

    /// Adds a version. A version that is not newer than the newest one is ignored.
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

    /// Returns the change from version `held` to the newest one: a delta, or a snapshot if `held`
    /// is not in the history. Returns `None` if `held` is not older than the newest version.
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
