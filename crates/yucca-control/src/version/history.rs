//! The newest versions of one part of the table.

use std::collections::VecDeque;
use std::sync;

use yucca_wire::{id, report, table};

/// How many versions are kept to make deltas from.
const KEPT: usize = 32;

/// A part of the table with a version of its own.
pub trait Part: Sized + Clone + PartialEq {
    /// Returns the version.
    fn version(&self) -> id::Version;

    /// Returns what makes `new` of `old`.
    fn diff(old: &Self, new: &Self) -> report::Change<Self>;

    /// Returns `old` with a change; `None` where the change does not fit.
    fn apply(old: &Self, change: report::Change<Self>) -> Option<Self>;
}

impl Part for table::Global {
    fn version(&self) -> id::Version {
        self.version
    }

    fn diff(_old: &Self, new: &Self) -> report::Change<Self> {
        report::Change::Snapshot(new.clone())
    }

    fn apply(_old: &Self, _change: report::Change<Self>) -> Option<Self> {
        None
    }
}

impl Part for table::Local {
    fn version(&self) -> id::Version {
        self.version
    }

    fn diff(_old: &Self, new: &Self) -> report::Change<Self> {
        report::Change::Snapshot(new.clone())
    }

    fn apply(_old: &Self, _change: report::Change<Self>) -> Option<Self> {
        None
    }
}

/// The newest versions of one part, oldest first.
#[derive(Debug)]
pub struct History<T> {
    kept: VecDeque<sync::Arc<T>>,
}

impl<T> Default for History<T> {
    fn default() -> Self {
        Self {
            kept: VecDeque::new(),
        }
    }
}

impl<T: Part> History<T> {
    /// Returns the newest version of the part.
    pub fn newest(&self) -> Option<&sync::Arc<T>> {
        self.kept.back()
    }

    /// Returns the newest version; 0 where there is none.
    pub fn version(&self) -> id::Version {
        self.newest().map_or(id::Version(0), |part| part.version())
    }

    /// Takes a part in where it is newer; tells whether it was.
    pub fn offer(&mut self, part: sync::Arc<T>) -> bool {
        if part.version() <= self.version() {
            return false;
        }
        self.kept.push_back(part);
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
        true
    }

    /// Returns what is newer than a known version: a delta where that version is kept, else all.
    pub fn since(&self, known: id::Version) -> Option<report::Change<T>> {
        let newest = self.newest()?;
        if newest.version() <= known {
            return None;
        }
        let base = self.kept.iter().find(|part| part.version() == known);
        Some(match base {
            Some(base) => T::diff(base, newest),
            None => report::Change::Snapshot(T::clone(newest)),
        })
    }
}
