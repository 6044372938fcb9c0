//! Deltas between versions of a part of the routing table.
//!
//! A delta holds the part with only the entries that changed, and the paths of the removed entries.
//! It applies to exactly one version; a host with another version needs a snapshot.

mod global;
mod history;
mod local;
mod path;

use std::fmt;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::report;

pub use history::History;

/// Error when a change is applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The delta is based on another version than the current one.
    Base {
        /// Version that the delta is based on.
        expected: id::Version,
        /// Current version, if there is one.
        held: Option<id::Version>,
    },
    /// A removed path is malformed.
    Path {
        /// Malformed path.
        path: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Base {
                expected,
                held: Some(held),
            } => write!(
                f,
                "delta is based on version {expected}, current is {held}; request a snapshot"
            ),
            Self::Base { expected, .. } => write!(
                f,
                "delta is based on version {expected}, current is none; request a snapshot"
            ),
            Self::Path { path } => {
                write!(
                    f,
                    "delta removes the malformed path {path:?}; upgrade the sender"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// Part of the routing table that deltas can be computed for.
pub trait Part: Clone {
    /// Returns the version of the part.
    fn version(&self) -> id::Version;

    /// Returns the part with only the entries that differ from `old`, and adds the paths of the
    /// removed entries to `removed`.
    fn changed(&self, old: &Self, removed: &mut Vec<String>) -> Self;

    /// Inserts the changed entries and sets the version to that of `changed`.
    fn merge(&mut self, changed: Self);

    /// Removes the entry with this path.
    ///
    /// # Errors
    /// Returns [`Error::Path`] if the path is malformed.
    fn remove(&mut self, path: &str) -> Result<(), Error>;
}

/// Returns the change from `old` to `new`: a delta, or a snapshot if there is no `old`.
pub fn diff<T: Part>(old: Option<&T>, new: &T) -> report::Change<T> {
    let Some(old) = old else {
        return report::Change::Snapshot(new.clone());
    };
    let mut removed = Vec::new();
    let changed = new.changed(old, &mut removed);
    report::Change::Delta {
        from: old.version(),
        changed,
        removed,
    }
}

/// Applies a change to the current version and returns the new one.
///
/// # Errors
/// Returns [`Error::Base`] if a delta is based on another version than the current one, and
/// [`Error::Path`] if it is malformed.
pub fn apply<T: Part>(held: Option<&T>, change: report::Change<T>) -> Result<T, Error> {
    match change {
        report::Change::Snapshot(part) => Ok(part),
        report::Change::Delta {
            from,
            changed,
            removed,
        } => {
            let base = held.filter(|held| held.version() == from);
            let mut part = base.cloned().ok_or_else(|| Error::Base {
                expected: from,
                held: held.map(Part::version),
            })?;
            for path in &removed {
                part.remove(path)?;
            }
            part.merge(changed);
            Ok(part)
        }
    }
}

/// Returns the entries that differ from those in `old`, and calls `gone` for each removed key.
fn entries<K, V>(
    new: &IndexMap<K, V>,
    old: &IndexMap<K, V>,
    mut gone: impl FnMut(&K),
) -> IndexMap<K, V>
where
    K: Clone + Eq + std::hash::Hash,
    V: Clone + PartialEq,
{
    for key in old.keys().filter(|key| !new.contains_key(*key)) {
        gone(key);
    }
    let differs = |(key, value): &(&K, &V)| old.get(*key) != Some(*value);
    let changed = new.iter().filter(differs);
    changed
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}
