//! Reads a log file, which may be complete, end in a torn write, or be damaged.

use std::path;

use crate::storage::frame;
use crate::storage::{Error, Image, Record};

/// Contents of a log file.
pub(super) struct Contents {
    pub identity: frame::Identity,
    pub image: Image,
    /// Size of the part of the file before any torn write, in bytes.
    pub end: u64,
}

/// Reads a log file.
pub(super) fn parse(path: &path::Path, bytes: &[u8]) -> Result<Contents, Error> {
    let identity_frame = check_preamble(path, bytes)?;
    let mut offset = frame::PREAMBLE_BYTES + frame::HEADER_BYTES + identity_frame.len();
    let decoded = frame::decode(identity_frame);
    let identity = decoded.map_err(|e| corrupt(path, frame::PREAMBLE_BYTES, &e))?;
    let mut image = Image::default();
    while let Some(payload) = next_frame(path, bytes, offset)? {
        let decoded = frame::decode::<Vec<Record>>(payload);
        let records = decoded.map_err(|e| corrupt(path, offset, &e))?;
        for record in records {
            image.apply(record);
        }
        offset += frame::HEADER_BYTES + payload.len();
    }
    if !image.is_contiguous() {
        return Err(corrupt(path, offset, "versions are missing"));
    }
    Ok(Contents {
        identity,
        image,
        end: offset as u64,
    })
}

fn check_preamble<'a>(path: &path::Path, bytes: &'a [u8]) -> Result<&'a [u8], Error> {
    let (Some(magic), Some(format)) = (bytes.get(..4), bytes.get(4..frame::PREAMBLE_BYTES)) else {
        return Err(corrupt(path, 0, "the file ends in its first bytes"));
    };
    if magic != frame::MAGIC {
        return Err(corrupt(path, 0, "not a log file"));
    }
    let found = u16::from_le_bytes([format[0], format[1]]);
    if found > frame::FORMAT {
        return Err(Error::Newer {
            path: path.into(),
            found,
            supported: frame::FORMAT,
        });
    }
    match frame::read(&bytes[frame::PREAMBLE_BYTES..]) {
        frame::Outcome::Complete(payload) => Ok(payload),
        _ => Err(corrupt(path, frame::PREAMBLE_BYTES, "no valid identity")),
    }
}

fn next_frame<'a>(
    path: &path::Path,
    bytes: &'a [u8],
    offset: usize,
) -> Result<Option<&'a [u8]>, Error> {
    match frame::read(&bytes[offset..]) {
        frame::Outcome::Complete(payload) => Ok(Some(payload)),
        frame::Outcome::End | frame::Outcome::Torn => Ok(None),
        frame::Outcome::Damaged(reason) => Err(corrupt(path, offset, reason)),
    }
}

fn corrupt(path: &path::Path, offset: usize, reason: &str) -> Error {
    Error::Corrupt {
        path: path.into(),
        offset: offset as u64,
        reason: reason.into(),
    }
}
