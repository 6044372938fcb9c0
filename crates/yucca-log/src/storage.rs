//! What a replica must keep, and where.

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

/// One thing to keep.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The log that the replica joined.
    Cluster(entry::Cluster),
    /// The term and the vote given in it.
    Vote(Vote),
    /// Entries. They replace those from the first one's version on.
    Append(Vec<entry::Entry>),
    /// Everything; it replaces all earlier records.
    Image(Box<Image>),
}

/// The term of a replica and the candidate that it voted for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The term.
    pub term: entry::Term,
    /// The candidate, if any.
    pub candidate: Option<membership::Replica>,
}

/// All that a replica keeps but its identity.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Image {
    /// The log that it joined.
    pub cluster: Option<entry::Cluster>,
    /// Its term and vote.
    pub vote: Vote,
    /// The newest snapshot.
    pub snapshot: Option<entry::Snapshot>,
    /// The entries around and after the snapshot.
    pub entries: Vec<entry::Entry>,
}

impl Image {
    /// Brings the image up to date with a record.
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

    /// Tells whether entries and snapshot join without a gap.
    fn is_contiguous(&self) -> bool {
        let snapshot = self.snapshot.as_ref().map_or(0, |s| s.position.version.0);
        let first = self.entries.first().map_or(snapshot + 1, |e| e.version().0);
        let mut pairs = self.entries.windows(2);
        first <= snapshot + 1 && pairs.all(|p| p[0].version().0 + 1 == p[1].version().0)
    }
}

/// What a replica starts from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Recovered {
    /// The incarnation of the replica.
    pub incarnation: u64,
    /// What was kept.
    pub image: Image,
}

impl Recovered {
    /// Returns the start of a replica that keeps nothing yet.
    pub fn empty(incarnation: u64) -> Self {
        Self {
            incarnation,
            image: Image::default(),
        }
    }

    /// Returns the start of a replica of a log that was founded with these members.
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

/// Keeps the records of one replica.
pub trait Store: Send {
    /// Appends the records as a whole and syncs them.
    ///
    /// # Errors
    /// After [`Error::Full`] nothing was kept and the same records may be tried again. After any
    /// other error the replica must stop and start anew from its storage.
    fn append(&mut self, records: &[Record]) -> Result<(), Error>;

    /// Returns the bytes in use.
    fn bytes(&self) -> u64;
}
