//! Changes between versions of a part of the routing table, and their application.
//!
//! A delta holds the part with only the entries that changed, and the paths of those that went
//! away. It applies to exactly one version; whoever has another one gets a snapshot.

mod global;
mod history;
mod local;
mod path;

use std::fmt;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::report;

pub use history::History;

/// Why a change does not apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The delta is from another version than the one held.
    Base {
        /// The version that the delta changes.
        expected: id::Version,
        /// The version held, where one is.
        held: Option<id::Version>,
    },
    /// A removed path is malformed.
    Path {
        /// The path.
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
                "delta changes version {expected}, held is {held}; ask for a snapshot"
            ),
            Self::Base { expected, .. } => write!(
                f,
                "delta changes version {expected}, none is held; ask for a snapshot"
            ),
            Self::Path { path } => {
                write!(
                    f,
                    "delta removes {path:?}, which is no path; upgrade the sender"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// A part of the routing table of which deltas are made.
pub trait Part: Clone {
    /// Returns its version.
    fn version(&self) -> id::Version;

    /// Returns the part with only the entries that differ from `old`, and adds the paths of those
    /// that went away to `removed`.
    fn changed(&self, old: &Self, removed: &mut Vec<String>) -> Self;

    /// Takes in the entries that changed.
    fn merge(&mut self, changed: Self);

    /// Removes the entry with this path.
    ///
    /// # Errors
    /// Fails where the path is malformed.
    fn remove(&mut self, path: &str) -> Result<(), Error>;
}

/// Returns the change that leads from `old`, where the receiver has one, to `new`.
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

/// Applies a change to what is held.
///
/// # Errors
/// Fails where a delta is from another version than the one held, or is malformed.
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

/// Returns the entries that differ from those in `old`, and tells of the keys that went away.
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
