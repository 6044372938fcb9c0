//! Storage of a host without a disk: no record survives the process.

use crate::storage::{Error, Record, Store};

/// Storage that counts appends and stores nothing.
///
/// A replica with this storage needs a new incarnation at each start.
#[derive(Debug, Clone, Default)]
pub struct Storage {
    appends: u64,
}

impl Storage {
    /// Returns empty storage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of appends so far.
    pub fn appends(&self) -> u64 {
        self.appends
    }
}

impl Store for Storage {
    fn append(&mut self, _records: &[Record]) -> Result<(), Error> {
        self.appends += 1;
        Ok(())
    }

    fn bytes(&self) -> u64 {
        0
    }
}
