//! The encoding of messages between our own processes.
//!
//! A frame is a prefix (magic, wire version, deployment, length) and a `rmp-serde` body.

use std::fmt;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3;

/// The first bytes of each frame.
const MAGIC: [u8; 2] = *b"yh";

/// The version of the wire format.
pub const WIRE_VERSION: u16 = 1;

/// The bytes of a frame before its body.
pub const PREFIX_BYTES: usize = 12;

/// The largest body of a frame, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// The largest head of a request or answer, in bytes.
pub const MAX_HEAD_BYTES: usize = 256 << 10;

/// Tells deployments apart, so that no process hears one of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deployment(u32);

impl Deployment {
    /// Returns the mark of the deployment with this name.
    pub fn new(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// Why bytes are not a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The first bytes are not a frame's.
    Magic,
    /// The sender has a newer wire version.
    Version {
        /// The sender's version.
        theirs: u16,
    },
    /// The sender is of another deployment.
    Deployment,
    /// The frame is longer than allowed.
    TooLong {
        /// The stated length in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The frame ends early or bytes follow it.
    Length {
        /// The bytes expected.
        expected: usize,
        /// The bytes found.
        found: usize,
    },
    /// The body does not decode.
    Body {
        /// What the codec reported.
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
                "frame is of another deployment; check `deployment` in the settings"
            ),
            Self::TooLong { bytes, limit } => {
                write!(f, "frame has {bytes} bytes, the limit is {limit}")
            }
            Self::Length { expected, found } => {
                write!(f, "frame should have {expected} bytes and has {found}")
            }
            Self::Body { reason } => write!(f, "frame does not decode: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// What the prefix of a frame states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// The bytes of the body that follows.
    pub length: usize,
}

/// Encodes a message as one frame.
///
/// # Errors
/// Fails where the message does not encode or is too long.
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

/// Reads the prefix of a frame whose body may have at most `limit` bytes.
///
/// # Errors
/// Fails where the prefix is not of this deployment and wire version, or states too long a body.
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
/// Fails where the body does not decode.
pub fn body<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|error| Error::Body {
        reason: error.to_string(),
    })
}

/// Decodes one whole frame.
///
/// # Errors
/// Fails where the bytes are not exactly one frame of this deployment.
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
