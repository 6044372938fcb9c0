//! Format of a log file: a preamble, then one frame for each append.
//!
//! The preamble is the magic, the format and a frame with the identity. A frame is the length of its
//! payload, the checksum of the payload and the checksum of these two (each a little-endian `u32`),
//! then the payload. An append is one frame, so a write that was interrupted by a power loss never
//! has a complete frame after it.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::storage::{Error, Record};

/// First bytes of a log file.
pub(crate) const MAGIC: [u8; 4] = *b"YHLG";

/// Format that is written, and the newest format that can be read.
pub(crate) const FORMAT: u16 = 1;

/// Size of the magic and the format, before the identity frame, in bytes.
pub(crate) const PREAMBLE_BYTES: usize = 6;

/// Size of the header of a frame, in bytes.
pub(crate) const HEADER_BYTES: usize = 12;

/// Unit in which disks write data, in bytes; an interrupted write may omit whole sectors.
const SECTOR_BYTES: usize = 512;

/// Identity of the replica that a file belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub host: String,
    pub group: String,
    pub incarnation: u64,
}

/// Result of reading a frame.
pub(crate) enum Outcome<'a> {
    /// Payload of a complete frame.
    Complete(&'a [u8]),
    /// The end of the file.
    End,
    /// An interrupted write, which was never acknowledged.
    Torn,
    /// Damage to synced data, with a description.
    Damaged(&'static str),
}

/// Returns the contents of a file that holds only an identity.
pub(crate) fn preamble(identity: &Identity) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend(encode_frame(&encode(identity)?)?);
    Ok(bytes)
}

/// Returns the frame of one append.
pub(crate) fn encode_append(records: &[Record]) -> Result<Vec<u8>, Error> {
    encode_frame(&encode(records)?)
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

fn encode_frame(payload: &[u8]) -> Result<Vec<u8>, Error> {
    let length = u32::try_from(payload.len()).map_err(|error| Error::Encode {
        reason: error.to_string(),
    })?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(payload);
    Ok(bytes)
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// Reads the frame at the start of `rest`, which extends to the end of the file.
pub(crate) fn read(rest: &[u8]) -> Outcome<'_> {
    if rest.is_empty() {
        return Outcome::End;
    }
    let Some(payload) = payload_length(rest) else {
        return classify_bad_header(rest);
    };
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + payload) else {
        return Outcome::Torn;
    };
    if read_u32(rest, 4) == Some(crc32fast::hash(payload)) {
        return Outcome::Complete(payload);
    }
    let written = &rest[..HEADER_BYTES + payload.len()];
    if has_hole(written) {
        return damaged_if_followed(rest, Outcome::Torn);
    }
    Outcome::Damaged("checksum of a record differs")
}

fn payload_length(rest: &[u8]) -> Option<usize> {
    let checksum = crc32fast::hash(rest.get(..8)?);
    let valid = read_u32(rest, 8)? == checksum;
    valid.then_some(read_u32(rest, 0)? as usize)
}

fn classify_bad_header(rest: &[u8]) -> Outcome<'_> {
    let torn =
        rest.len() < HEADER_BYTES || has_hole(rest) || rest[..HEADER_BYTES] == [0; HEADER_BYTES];
    if torn {
        return damaged_if_followed(rest, Outcome::Torn);
    }
    Outcome::Damaged("header of a record is not valid")
}

/// Returns damage instead of `found` if a complete frame follows: frames are synced in order, so
/// only the last one can be torn.
fn damaged_if_followed<'a>(rest: &'a [u8], found: Outcome<'a>) -> Outcome<'a> {
    let mut starts = 1..rest.len();
    if starts.any(|start| starts_complete_frame(&rest[start..])) {
        return Outcome::Damaged("valid records follow a record that is not valid");
    }
    found
}

fn starts_complete_frame(rest: &[u8]) -> bool {
    let Some(length) = payload_length(rest) else {
        return false;
    };
    let payload = rest.get(HEADER_BYTES..HEADER_BYTES + length);
    payload.is_some_and(|p| !p.is_empty() && read_u32(rest, 4) == Some(crc32fast::hash(p)))
}

/// Returns whether the bytes include a run of zeros as long as a sector, or end in at least as many
/// zeros as a header has, as left by an interrupted write after the file was extended.
fn has_hole(bytes: &[u8]) -> bool {
    let trailing = bytes.iter().rev().take_while(|byte| **byte == 0).count();
    let mut run = 0;
    let has_zero_sector = bytes.iter().any(|byte| {
        run = if *byte == 0 { run + 1 } else { 0 };
        run >= SECTOR_BYTES
    });
    has_zero_sector || trailing >= HEADER_BYTES
}
