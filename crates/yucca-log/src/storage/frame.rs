//! The format of a log file: a header, then one frame for each append.
//!
//! A frame is the length of its payload, the checksum of the payload and the checksum of these
//! two (each a little-endian `u32`), then the payload. An append is one frame, so a write that
//! power loss cut short never has a whole frame after it.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::storage::{Error, Record};

/// The first bytes of a log file.
pub(crate) const MAGIC: [u8; 4] = *b"YHLG";

/// The format written and the newest that is read.
pub(crate) const FORMAT: u16 = 1;

/// The bytes before the identity frame: magic and format.
pub(crate) const PREAMBLE_BYTES: usize = 6;

/// The bytes of a frame before its payload.
pub(crate) const HEAD_BYTES: usize = 12;

/// The unit in which disks tear writes, in bytes.
const SECTOR_BYTES: usize = 512;

/// Whose file it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub host: String,
    pub group: String,
    pub incarnation: u64,
}

/// What stands at an offset of a file.
pub(crate) enum Found<'a> {
    /// A whole frame's payload.
    Whole(&'a [u8]),
    /// The end of the file.
    End,
    /// A write that never completed.
    Torn,
    /// Damage to what was once written.
    Damaged(&'static str),
}

/// Returns the bytes of a file that holds nothing but an identity.
pub(crate) fn preamble(identity: &Identity) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend(seal(&encode(identity)?)?);
    Ok(bytes)
}

/// Returns the frame of one append.
pub(crate) fn frame(records: &[Record]) -> Result<Vec<u8>, Error> {
    seal(&encode(records)?)
}

fn encode<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec(value).map_err(|error| Error::Encode {
        reason: error.to_string(),
    })
}

/// Decodes a payload.
pub(crate) fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(payload).map_err(|error| error.to_string())
}

fn seal(payload: &[u8]) -> Result<Vec<u8>, Error> {
    let length = u32::try_from(payload.len()).map_err(|error| Error::Encode {
        reason: error.to_string(),
    })?;
    let mut bytes = Vec::with_capacity(HEAD_BYTES + payload.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(payload);
    Ok(bytes)
}

fn number(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// Reads the frame at the start of `rest`, which goes on to the end of the file.
pub(crate) fn read(rest: &[u8]) -> Found<'_> {
    if rest.is_empty() {
        return Found::End;
    }
    let Some(payload) = payload_length(rest) else {
        return bad_head(rest);
    };
    let Some(payload) = rest.get(HEAD_BYTES..HEAD_BYTES + payload) else {
        return Found::Torn;
    };
    if number(rest, 4) == Some(crc32fast::hash(payload)) {
        return Found::Whole(payload);
    }
    let written = &rest[..HEAD_BYTES + payload.len()];
    if has_hole(written) {
        return followed(rest, Found::Torn);
    }
    Found::Damaged("checksum of a record differs")
}

fn payload_length(rest: &[u8]) -> Option<usize> {
    let sealed = crc32fast::hash(rest.get(..8)?);
    let valid = number(rest, 8)? == sealed;
    valid.then_some(number(rest, 0)? as usize)
}

fn bad_head(rest: &[u8]) -> Found<'_> {
    let torn = rest.len() < HEAD_BYTES || has_hole(rest) || rest[..HEAD_BYTES] == [0; HEAD_BYTES];
    if torn {
        return followed(rest, Found::Torn);
    }
    Found::Damaged("head of a record is not valid")
}

/// Takes a torn write for damage where a whole frame follows: frames are synced in order.
fn followed<'a>(rest: &'a [u8], found: Found<'a>) -> Found<'a> {
    let mut starts = 1..rest.len();
    if starts.any(|start| is_whole(&rest[start..])) {
        return Found::Damaged("valid records follow a record that is not valid");
    }
    found
}

fn is_whole(rest: &[u8]) -> bool {
    let Some(length) = payload_length(rest) else {
        return false;
    };
    let payload = rest.get(HEAD_BYTES..HEAD_BYTES + length);
    payload.is_some_and(|p| !p.is_empty() && number(rest, 4) == Some(crc32fast::hash(p)))
}

/// Tells whether a sector of zeros is among the bytes, or the bytes end in zeros that a write
/// cut short leaves where the file was already extended.
fn has_hole(bytes: &[u8]) -> bool {
    let trailing = bytes.iter().rev().take_while(|byte| **byte == 0).count();
    let mut run = 0;
    let sector = bytes.iter().any(|byte| {
        run = if *byte == 0 { run + 1 } else { 0 };
        run >= SECTOR_BYTES
    });
    sector || trailing >= HEAD_BYTES
}
