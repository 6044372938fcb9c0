//! Storage of a replica: a folder on a disk, or memory.

use std::path;

use rand::Rng;
use rand::rngs;
use yucca_log::storage::{self, file, memory};
use yucca_wire::id;

use crate::message;

/// Maximum size of one log on disk, in bytes.
const QUOTA: u64 = 4 << 30;

/// Opened storage with its content.
pub struct Opened {
    /// The storage.
    pub store: Box<dyn storage::Store>,
    /// The content that was recovered.
    pub recovered: storage::Recovered,
    /// Whether appends wait for a disk and must not run on the thread of the replica's task.
    pub blocking: bool,
}

impl Opened {
    /// Returns a placeholder for storage that cannot be opened yet; no replica runs on it.
    pub(super) fn none() -> Self {
        Self {
            store: Box::new(memory::Storage::new()),
            recovered: storage::Recovered::empty(0),
            blocking: false,
        }
    }
}

/// Opens the storage of a replica, at its start and again after a failure.
pub trait Opener: Send {
    /// Opens the storage.
    ///
    /// # Errors
    /// Fails if it cannot be opened.
    fn open(&mut self) -> Result<Opened, storage::Error>;
}

/// Storage in a folder on a disk.
#[derive(Debug)]
pub struct Disk {
    /// The data folder of the process.
    pub data: path::PathBuf,
    /// The host.
    pub host: id::Host,
    /// The log.
    pub log: message::Log,
    /// Draws the incarnations of new replicas.
    pub incarnations: rngs::StdRng,
}

impl Disk {
    fn open_folder(&mut self) -> Result<Opened, storage::Error> {
        let options = file::Options {
            host: self.host.clone(),
            group: self.log.to_string(),
            incarnation: self.incarnations.random(),
            quota: QUOTA,
        };
        let (folder, recovered) = file::Folder::open(&self.path(), &options)?;
        Ok(Opened {
            store: Box::new(folder),
            recovered,
            blocking: true,
        })
    }

    fn path(&self) -> path::PathBuf {
        self.data.join(self.log.to_string())
    }
}

impl Opener for Disk {
    /// Opens the folder; a damaged log is set aside and replaced by a new, empty replica.
    fn open(&mut self) -> Result<Opened, storage::Error> {
        match self.open_folder() {
            Err(error @ storage::Error::Corrupt { .. }) => {
                log::error!("log={} storage set aside: {error}", self.log);
                metrics::counter!("yucca_control_storage_set_aside_total").increment(1);
                file::Folder::set_aside(&self.path())?;
                self.open_folder()
            }
            opened => opened,
        }
    }
}

/// Storage in memory, which is lost with the process; each opening creates a new replica.
#[derive(Debug, Clone)]
pub struct Memory {
    /// Draws the incarnations of new replicas.
    pub incarnations: rngs::StdRng,
}

impl Opener for Memory {
    fn open(&mut self) -> Result<Opened, storage::Error> {
        Ok(Opened {
            store: Box::new(memory::Storage::new()),
            recovered: storage::Recovered::empty(self.incarnations.random()),
            blocking: false,
        })
    }
}
