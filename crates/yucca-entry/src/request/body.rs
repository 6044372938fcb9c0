//! Bodies of requests and answers: streamed, or kept so that they can be sent again.

use std::fmt;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators};
use hyper::body::{self, Body as _};

/// The largest body that is kept whole, in bytes; a longer one streams and is sent once.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Why a body ended early.
#[derive(Debug)]
pub enum Error {
    /// The connection that carried it failed.
    Connection(hyper::Error),
    /// It is longer than the limit.
    TooLong,
    /// It did not go on before the deadline.
    Deadline,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(error) => write!(f, "connection failed within the body: {error}"),
            Self::TooLong => write!(f, "body is longer than the limit"),
            Self::Deadline => write!(f, "body did not go on before the deadline"),
        }
    }
}

impl std::error::Error for Error {}

/// A body that streams.
pub type Stream = combinators::UnsyncBoxBody<Bytes, Error>;

/// Returns a body of these bytes.
pub fn full(bytes: Bytes) -> Stream {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an incoming body as a stream of at most `limit` bytes.
pub fn incoming(body: body::Incoming, limit: u64) -> Stream {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    Limited::new(body, limit)
        .map_err(limit_error)
        .boxed_unsync()
}

/// Returns an incoming body as a stream.
pub fn unlimited(body: body::Incoming) -> Stream {
    body.map_err(Error::Connection).boxed_unsync()
}

fn limit_error(error: Box<dyn std::error::Error + Send + Sync>) -> Error {
    match error.downcast::<hyper::Error>() {
        Ok(error) => Error::Connection(*error),
        Err(_) => Error::TooLong,
    }
}

/// A body that was read as far as [`MAX_BUFFERED_BYTES`].
pub enum Payload {
    /// The whole body; it can be sent again.
    Buffered(Bytes),
    /// A longer body; it can be sent once.
    Streaming(Stream),
    /// A longer body that was sent.
    Sent,
}

impl Payload {
    /// Reads a body, whole where it is short.
    ///
    /// # Errors
    /// Fails where the body fails before [`MAX_BUFFERED_BYTES`] were read.
    pub async fn read(mut stream: Stream) -> Result<Self, Error> {
        if stream.size_hint().lower() > MAX_BUFFERED_BYTES as u64 {
            return Ok(Self::Streaming(stream));
        }
        let mut chunks: Vec<Bytes> = Vec::new();
        let mut total = 0;
        while let Some(frame) = stream.frame().await {
            let Ok(chunk) = frame?.into_data() else {
                continue;
            };
            total += chunk.len();
            chunks.push(chunk);
            if total > MAX_BUFFERED_BYTES {
                return Ok(Self::Streaming(prepend(chunks, stream)));
            }
        }
        Ok(Self::Buffered(join(chunks, total)))
    }

    /// Takes the body for one sending; none where it was sent and is not kept.
    pub fn take(&mut self) -> Option<Stream> {
        if let Self::Buffered(bytes) = self {
            return Some(full(bytes.clone()));
        }
        match std::mem::replace(self, Self::Sent) {
            Self::Streaming(stream) => Some(stream),
            Self::Buffered(_) | Self::Sent => None,
        }
    }

    /// Tells whether the body can be sent.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, Self::Sent)
    }

    /// Returns the bytes that are held in memory.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streaming(_) | Self::Sent => &[],
        }
    }

    /// Returns the length, where known.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Streaming(stream) => stream.size_hint().exact(),
            Self::Sent => None,
        }
    }
}

fn join(mut chunks: Vec<Bytes>, total: usize) -> Bytes {
    if chunks.len() <= 1 {
        return chunks.pop().unwrap_or_default();
    }
    let mut whole = Vec::with_capacity(total);
    for chunk in &chunks {
        whole.extend_from_slice(chunk);
    }
    whole.into()
}

/// Returns a body of `chunks` and then `rest`, with the length stated where it is known.
pub fn prepend(chunks: Vec<Bytes>, rest: Stream) -> Stream {
    let first = futures_util::stream::iter(chunks.into_iter().map(|c| Ok(body::Frame::data(c))));
    let rest = futures_util::StreamExt::filter_map(rest.into_data_stream(), |chunk| async {
        Some(chunk.map(body::Frame::data))
    });
    let chained = futures_util::StreamExt::chain(first, rest);
    BodyExt::boxed_unsync(StreamBody::new(chained))
}
