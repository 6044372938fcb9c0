//! Messages between processes of a deployment in HTTP bodies: one frame, then a raw body.

use std::fmt;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use yucca_wire::codec;

use crate::request::body;

/// Reason why a framed message could not be read.
#[derive(Debug)]
pub enum Error {
    /// The HTTP body failed.
    Body(body::Error),
    /// The frame is malformed, or from another deployment or a newer version.
    Frame(codec::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Body(error) => write!(f, "peer message ended early: {error}"),
            Self::Frame(error) => write!(f, "peer message rejected: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Returns a body of one frame followed by `rest`.
///
/// # Errors
/// Fails if the message cannot be encoded.
pub fn write<T: Serialize>(
    deployment: codec::Deployment,
    message: &T,
    rest: body::Stream,
) -> Result<body::Stream, codec::Error> {
    let frame = codec::encode(deployment, message)?;
    Ok(body::prepend(vec![frame], rest))
}

/// Reads one frame from a body and returns its message and the rest of the body.
///
/// # Errors
/// Fails if the body ends or fails within the frame, or if the frame is rejected.
pub async fn read<T: DeserializeOwned>(
    deployment: codec::Deployment,
    mut stream: body::Stream,
) -> Result<(T, body::Stream), Error> {
    let mut buffer = BytesMut::new();
    fill(&mut buffer, &mut stream, codec::PREFIX_BYTES).await?;
    let prefix = codec::prefix(deployment, &buffer, codec::MAX_HEAD_BYTES).map_err(Error::Frame)?;
    fill(
        &mut buffer,
        &mut stream,
        codec::PREFIX_BYTES + prefix.length,
    )
    .await?;
    let frame = buffer.split_to(codec::PREFIX_BYTES + prefix.length);
    let message = codec::body(&frame[codec::PREFIX_BYTES..]).map_err(Error::Frame)?;
    let rest: Bytes = buffer.freeze();
    if rest.is_empty() {
        return Ok((message, stream));
    }
    Ok((message, body::prepend(vec![rest], stream)))
}

async fn fill(
    buffer: &mut BytesMut,
    stream: &mut body::Stream,
    wanted: usize,
) -> Result<(), Error> {
    while buffer.len() < wanted {
        let Some(frame) = stream.frame().await else {
            return Err(Error::Frame(codec::Error::Length {
                expected: wanted,
                found: buffer.len(),
            }));
        };
        if let Ok(chunk) = frame.map_err(Error::Body)?.into_data() {
            buffer.extend_from_slice(&chunk);
        }
    }
    Ok(())
}
