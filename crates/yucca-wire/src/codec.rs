//! Encoding of messages between yuccahill's own processes.
//!
//! A frame is a prefix (magic, wire version, deployment, length) and a `rmp-serde` body.

use std::fmt;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3;

/// Magic bytes at the start of each frame.
const MAGIC: [u8; 2] = *b"yh";

/// Version of the wire format.
pub const WIRE_VERSION: u16 = 1;

/// Length of a frame's prefix, in bytes.
pub const PREFIX_BYTES: usize = 12;

/// Maximum length of a frame's body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// Maximum length of the head of a request or response, in bytes.
pub const MAX_HEAD_BYTES: usize = 256 << 10;

/// Identifier of a deployment (a hash of its name).
///
/// It is part of each frame, so that a process rejects frames of another deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deployment(u32);

impl Deployment {
    /// Returns the identifier of the deployment with this name.
    pub fn new(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// Reason that bytes are not a valid frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The frame does not start with the magic bytes.
    Magic,
    /// The sender uses a newer wire version.
    Version {
        /// Wire version of the sender.
        theirs: u16,
    },
    /// The sender belongs to another deployment.
    Deployment,
    /// The body is longer than the limit.
    TooLong {
        /// Length of the body in bytes, as stated in the prefix.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The frame is truncated, or bytes follow it.
    Length {
        /// Expected length in bytes.
        expected: usize,
        /// Actual length in bytes.
        found: usize,
    },
    /// The body cannot be encoded or decoded.
    Body {
        /// Error message of the codec.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Magic => write!(
                f,
                "not a yuccahill frame; check the address in the settings"
            ),
            Self::Version { theirs } => write!(
                f,
                "frame has wire version {theirs}, this process reads up to {WIRE_VERSION}; upgrade it"
            ),
            Self::Deployment => write!(
                f,
                "frame belongs to another deployment; check `deployment` in the settings"
            ),
            Self::TooLong { bytes, limit } => {
                write!(f, "frame body has {bytes} bytes, the limit is {limit}")
            }
            Self::Length { expected, found } => {
                write!(f, "frame has {found} bytes and should have {expected}")
            }
            Self::Body { reason } => write!(f, "invalid frame body: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Decoded prefix of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Length of the body that follows, in bytes.
    pub length: usize,
}

/// Encodes a message as one frame.
///
/// # Errors
/// Returns an error if the message cannot be encoded or exceeds [`MAX_BODY_BYTES`].
pub fn encode<T: Serialize>(deployment: Deployment, message: &T) -> Result<Bytes, Error> {
    let body = rmp_serde::to_vec(message).map_err(|error| Error::Body {
        reason: error.to_string(),
    })?;
    check_length(body.len(), MAX_BODY_BYTES)?;
    let mut frame = BytesMut::with_capacity(PREFIX_BYTES + body.len());
    frame.put_slice(&MAGIC);
    frame.put_u16(WIRE_VERSION);
    frame.put_u32(deployment.0);
    frame.put_u32(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Decodes the prefix of a frame whose body may have at most `limit` bytes.
///
/// # Errors
/// Returns an error if the prefix is malformed, is of another deployment or a newer wire version,
/// or states a body above `limit`.
pub fn prefix(deployment: Deployment, mut bytes: &[u8], limit: usize) -> Result<Prefix, Error> {
    if bytes.len() < PREFIX_BYTES {
        return Err(Error::Length {
            expected: PREFIX_BYTES,
            found: bytes.len(),
        });
    }
    if bytes[..MAGIC.len()] != MAGIC {
        return Err(Error::Magic);
    }
    bytes.advance(MAGIC.len());
    let theirs = bytes.get_u16();
    if theirs > WIRE_VERSION {
        return Err(Error::Version { theirs });
    }
    if bytes.get_u32() != deployment.0 {
        return Err(Error::Deployment);
    }
    let length = bytes.get_u32() as usize;
    check_length(length, limit)?;
    Ok(Prefix { length })
}

/// Decodes the body of a frame.
///
/// # Errors
/// Returns an error if the body cannot be decoded.
pub fn body<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|error| Error::Body {
        reason: error.to_string(),
    })
}

/// Decodes one complete frame.
///
/// # Errors
/// Returns an error if the bytes are not exactly one frame of this deployment.
pub fn decode<T: DeserializeOwned>(deployment: Deployment, bytes: &[u8]) -> Result<T, Error> {
    let prefix = prefix(deployment, bytes, MAX_BODY_BYTES)?;
    let expected = PREFIX_BYTES + prefix.length;
    if bytes.len() != expected {
        return Err(Error::Length {
            expected,
            found: bytes.len(),
        });
    }
    body(&bytes[PREFIX_BYTES..])
}

fn check_length(bytes: usize, limit: usize) -> Result<(), Error> {
    if bytes > limit {
        return Err(Error::TooLong { bytes, limit });
    }
    Ok(())
}
