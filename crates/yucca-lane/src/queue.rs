//! Requests that wait, in the order of their deadlines.

use std::collections::VecDeque;
use std::time::Duration;

use yucca_wire::id;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// When it is due.
    pub due: Duration,
    /// Its place among requests that are due at the same time.
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
/// Deadlines mostly rise with arrival, so that an insertion is near the end and cheap; the sorted
/// form gives the number of requests ahead of a deadline by binary search.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    entries: VecDeque<Entry>,
}

impl Queue {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request.
    pub fn insert(&mut self, entry: Entry) {
        let at = self.position(entry.key());
        self.entries.insert(at, entry);
    }

    /// Removes a request; tells whether it was there.
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

    /// Returns how many requests are due no later than this.
    pub fn ahead(&self, due: Duration) -> usize {
        self.entries.partition_point(|entry| entry.due <= due)
    }

    /// Iterates over the requests, the first due first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> + ExactSizeIterator {
        self.entries.iter()
    }

    fn position(&self, key: (Duration, u64)) -> usize {
        self.entries.partition_point(|entry| entry.key() < key)
    }
}
