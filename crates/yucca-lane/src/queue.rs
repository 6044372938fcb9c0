//! Waiting requests, ordered by due time.

use std::collections::VecDeque;
use std::time::Duration;

use yucca_wire::id;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Time at which it is due.
    pub due: Duration,
    /// Its position among requests that are due at the same time.
    pub order: u64,
    /// The request.
    pub id: id::Request,
}

impl Entry {
    fn key(&self) -> (Duration, u64) {
        (self.due, self.order)
    }
}

/// Waiting requests, sorted by due time.
///
/// Later arrivals mostly have later deadlines, so most insertions are near the end and therefore
/// cheap. A binary search gives the number of requests ahead of a deadline.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    entries: VecDeque<Entry>,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request.
    pub fn insert(&mut self, entry: Entry) {
        let at = self.position(entry.key());
        self.entries.insert(at, entry);
    }

    /// Removes a request. Returns whether it was in the queue.
    pub fn remove(&mut self, due: Duration, order: u64) -> bool {
        let at = self.position((due, order));
        let found = self.entries.get(at).map(Entry::key) == Some((due, order));
        if found {
            self.entries.remove(at);
        }
        found
    }

    /// Returns the request that is due first.
    pub fn first(&self) -> Option<&Entry> {
        self.entries.front()
    }

    /// Returns the number of requests that are due at `due` or before.
    pub fn ahead(&self, due: Duration) -> usize {
        self.entries.partition_point(|entry| entry.due <= due)
    }

    /// Returns an iterator over the requests, ordered by due time.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> + ExactSizeIterator {
        self.entries.iter()
    }

    fn position(&self, key: (Duration, u64)) -> usize {
        self.entries.partition_point(|entry| entry.key() < key)
    }
}
