//! Storage on a disk: one log file in a folder of its own.
//!
//! A snapshot is written to a new file that replaces the log by a rename, so the folder holds one
//! complete log at any time.

use std::fs;
use std::io;
use std::io::{Seek, Write};
use std::path;

use yucca_wire::id;

use crate::storage::{Error, Record, Recovered, Store, frame, read};

/// File with the log.
const LOG: &str = "log";

/// File that is being written to replace the log.
const NEXT: &str = "log.next";

/// Damaged log that was set aside.
const DAMAGED: &str = "log.damaged";

/// File that is locked while the folder is open, to exclude other processes.
const LOCK: &str = "lock";

/// Options for opening a folder.
#[derive(Debug, Clone)]
pub struct Options {
    /// Host that the folder must belong to.
    pub host: id::Host,
    /// Name of the log that the folder must hold.
    pub group: String,
    /// Incarnation for an empty folder. This host must never have used it before.
    pub incarnation: u64,
    /// Maximum size of the log file, in bytes.
    pub quota: u64,
}

/// The folder of one replica.
#[derive(Debug)]
pub struct Folder {
    path: path::PathBuf,
    file: fs::File,
    identity: frame::Identity,
    /// Size of the synced part of the log, in bytes.
    end: u64,
    quota: u64,
    poisoned: bool,
    /// Holds the lock until the folder is closed.
    _lock: fs::File,
}

impl Folder {
    /// Opens a folder, creating it if necessary, and returns the state stored in it.
    ///
    /// A torn write at the end of the log is removed.
    ///
    /// # Errors
    /// Fails if the folder belongs to another host or log, has a newer format, is damaged or in use,
    /// or if an operation of the file system fails.
    pub fn open(path: &path::Path, options: &Options) -> Result<(Self, Recovered), Error> {
        fs::create_dir_all(path).map_err(|e| io_error(path, "create the folder", &e))?;
        let lock = lock(path)?;
        let log = path.join(LOG);
        if !log.exists() {
            let identity = options.identity();
            write_next(path, &frame::preamble(&identity)?, options.quota)?;
        }
        let bytes = fs::read(&log).map_err(|e| io_error(&log, "read", &e))?;
        let contents = read::parse(&log, &bytes)?;
        options.check(&log, &contents.identity)?;
        let mut file = open_log(&log)?;
        truncate(&log, &mut file, contents.end)?;
        let recovered = Recovered {
            incarnation: contents.identity.incarnation,
            image: contents.image,
        };
        let folder = Self {
            path: path.into(),
            file,
            identity: contents.identity,
            end: contents.end,
            quota: options.quota,
            poisoned: false,
            _lock: lock,
        };
        Ok((folder, recovered))
    }

    /// Sets a damaged log aside, so that the next [`Folder::open`] starts a new replica.
    ///
    /// # Errors
    /// Fails if the folder is in use or the file can't be renamed.
    pub fn set_aside(path: &path::Path) -> Result<(), Error> {
        let _lock = lock(path)?;
        let log = path.join(LOG);
        fs::rename(&log, path.join(DAMAGED)).map_err(|e| io_error(&log, "rename", &e))?;
        sync_folder(path)
    }

    fn write(&mut self, records: &[Record]) -> Result<(), Error> {
        let frame = frame::encode_append(records)?;
        let log = self.path.join(LOG);
        let wanted = frame.len() as u64;
        if self.end + wanted > self.quota {
            return Err(full(&log, wanted));
        }
        if let Err(error) = self.file.write_all(&frame) {
            truncate(&log, &mut self.file, self.end)?;
            return Err(write_error(&log, wanted, &error));
        }
        let synced = self.file.sync_data();
        synced.map_err(|e| io_error(&log, "sync", &e))?;
        self.end += wanted;
        Ok(())
    }

    fn rewrite(&mut self, records: &[Record]) -> Result<(), Error> {
        let mut bytes = frame::preamble(&self.identity)?;
        bytes.extend(frame::encode_append(records)?);
        write_next(&self.path, &bytes, self.quota)?;
        let log = self.path.join(LOG);
        let mut file = open_log(&log)?;
        self.end = bytes.len() as u64;
        truncate(&log, &mut file, self.end)?;
        self.file = file;
        Ok(())
    }
}

impl Store for Folder {
    fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned {
                path: self.path.join(LOG),
            });
        }
        let image = records.iter().rposition(|r| matches!(r, Record::Image(_)));
        let result = match image {
            Some(start) => self.rewrite(&records[start..]),
            None => self.write(records),
        };
        self.poisoned = !matches!(
            result,
            Ok(()) | Err(Error::Full { .. } | Error::Encode { .. })
        );
        result
    }

    fn bytes(&self) -> u64 {
        self.end
    }
}

impl Options {
    fn identity(&self) -> frame::Identity {
        frame::Identity {
            host: self.host.to_string(),
            group: self.group.clone(),
            incarnation: self.incarnation,
        }
    }

    fn check(&self, path: &path::Path, identity: &frame::Identity) -> Result<(), Error> {
        if identity.host != self.host.as_str() {
            return Err(Error::OtherHost {
                path: path.into(),
                found: identity.host.clone(),
                expected: self.host.to_string(),
            });
        }
        if identity.group != self.group {
            return Err(Error::OtherGroup {
                path: path.into(),
                found: identity.group.clone(),
                expected: self.group.clone(),
            });
        }
        Ok(())
    }
}

fn lock(folder: &path::Path) -> Result<fs::File, Error> {
    let path = folder.join(LOCK);
    let file = fs::File::create(&path).map_err(|e| io_error(&path, "create", &e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(Error::Locked { path }),
        Err(fs::TryLockError::Error(error)) => Err(io_error(&path, "lock", &error)),
    }
}

fn open_log(path: &path::Path) -> Result<fs::File, Error> {
    let opened = fs::OpenOptions::new().read(true).write(true).open(path);
    opened.map_err(|e| io_error(path, "open", &e))
}

/// Truncates the file at its synced end and moves the file position there.
fn truncate(path: &path::Path, file: &mut fs::File, end: u64) -> Result<(), Error> {
    let length = file
        .metadata()
        .map_err(|e| io_error(path, "read the length", &e))?
        .len();
    if length != end {
        file.set_len(end)
            .map_err(|e| io_error(path, "truncate", &e))?;
        file.sync_all().map_err(|e| io_error(path, "sync", &e))?;
    }
    let sought = file.seek(io::SeekFrom::Start(end));
    sought.map_err(|e| io_error(path, "seek", &e))?;
    Ok(())
}

/// Writes a complete log to a new file, syncs it and replaces the current log with it.
fn write_next(folder: &path::Path, bytes: &[u8], quota: u64) -> Result<(), Error> {
    let next = folder.join(NEXT);
    let wanted = bytes.len() as u64;
    if wanted > quota {
        return Err(full(&next, wanted));
    }
    if let Err(error) = write_synced(&next, bytes) {
        // Best effort: the next write replaces a file that is left behind.
        let _ = fs::remove_file(&next);
        return Err(write_error(&next, wanted, &error));
    }
    fs::rename(&next, folder.join(LOG)).map_err(|e| io_error(&next, "rename", &e))?;
    sync_folder(folder)
}

fn write_synced(path: &path::Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = fs::File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn sync_folder(folder: &path::Path) -> Result<(), Error> {
    let opened = fs::File::open(folder);
    let synced = opened.and_then(|file| file.sync_all());
    synced.map_err(|e| io_error(folder, "sync", &e))
}

fn io_error(path: &path::Path, action: &'static str, error: &io::Error) -> Error {
    Error::Io {
        path: path.into(),
        action,
        reason: error.to_string(),
    }
}

fn write_error(path: &path::Path, bytes: u64, error: &io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => full(path, bytes),
        _ => io_error(path, "write", error),
    }
}

fn full(path: &path::Path, bytes: u64) -> Error {
    Error::Full {
        path: path.into(),
        bytes,
    }
}
