//! Storage of a host without a disk: nothing outlives the process.

use crate::storage::{Error, Record, Store};

/// Storage that counts what it is given and keeps nothing.
///
/// A replica on it must be given a new incarnation at each start.
#[derive(Debug, Clone, Default)]
pub struct Storage {
    appends: u64,
}

impl Storage {
    /// Returns empty storage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many appends it was given.
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
