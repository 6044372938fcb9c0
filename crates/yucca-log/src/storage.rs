//! Durable state of a replica, and the storage that holds it.

mod error;
pub mod file;
mod frame;
pub mod memory;
mod read;

use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::entry;
use crate::membership;

pub use error::Error;

/// A record of durable state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// Identity of the log that the replica joined.
    Cluster(entry::Cluster),
    /// Current term, and the vote in it.
    Vote(Vote),
    /// Entries. They replace all earlier entries from the version of the first one on.
    Append(Vec<entry::Entry>),
    /// The complete durable state. It replaces all earlier records.
    Image(Box<Image>),
}

/// Term of a replica, and the candidate that it voted for in this term.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The term.
    pub term: entry::Term,
    /// The candidate, if any.
    pub candidate: Option<membership::Replica>,
}

/// Complete durable state of a replica, except for its identity.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Image {
    /// Identity of the log that the replica joined, if any.
    pub cluster: Option<entry::Cluster>,
    /// Term and vote of the replica.
    pub vote: Vote,
    /// The newest snapshot.
    pub snapshot: Option<entry::Snapshot>,
    /// The retained entries up to the snapshot and all entries after it.
    pub entries: Vec<entry::Entry>,
}

impl Image {
    /// Applies a record to the image.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Cluster(cluster) => self.cluster = Some(cluster),
            Record::Vote(vote) => self.vote = vote,
            Record::Append(entries) => self.append(entries),
            Record::Image(image) => *self = *image,
        }
    }

    fn append(&mut self, entries: Vec<entry::Entry>) {
        let Some(first) = entries.first().map(entry::Entry::version) else {
            return;
        };
        let keep = self.entries.partition_point(|e| e.version() < first);
        self.entries.truncate(keep);
        self.entries.extend(entries);
    }

    /// Returns whether the snapshot and the entries have no gap.
    fn is_contiguous(&self) -> bool {
        let snapshot = self.snapshot.as_ref().map_or(0, |s| s.position.version.0);
        let first = self.entries.first().map_or(snapshot + 1, |e| e.version().0);
        let mut pairs = self.entries.windows(2);
        first <= snapshot + 1 && pairs.all(|p| p[0].version().0 + 1 == p[1].version().0)
    }
}

/// State that a replica starts from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Recovered {
    /// Incarnation of the replica.
    pub incarnation: u64,
    /// The stored state.
    pub image: Image,
}

impl Recovered {
    /// Returns the state of a replica that has stored nothing yet.
    pub fn empty(incarnation: u64) -> Self {
        Self {
            incarnation,
            image: Image::default(),
        }
    }

    /// Returns the state of a replica of a log that was bootstrapped with these members.
    pub fn bootstrapped(
        incarnation: u64,
        cluster: entry::Cluster,
        members: membership::Members,
    ) -> Self {
        let image = Image {
            cluster: Some(cluster),
            entries: vec![bootstrap_entry(members)],
            ..Image::default()
        };
        Self { incarnation, image }
    }
}

/// Returns the first entry of a log.
pub(crate) fn bootstrap_entry(members: membership::Members) -> entry::Entry {
    entry::Entry {
        position: entry::Position {
            term: entry::Term(0),
            version: id::Version(1),
        },
        body: entry::Body::Members(members),
    }
}

/// Storage for the records of one replica.
pub trait Store: Send {
    /// Appends the records atomically and syncs them.
    ///
    /// # Errors
    /// After [`Error::Full`] nothing was stored, and the same records may be tried again. After any
    /// other error the replica must stop and restart from its storage.
    fn append(&mut self, records: &[Record]) -> Result<(), Error>;

    /// Returns the size of the stored data, in bytes.
    fn bytes(&self) -> u64;
}
