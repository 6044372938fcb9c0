//! Bodies of requests and answers: streamed, or buffered so that they can be sent again.

use std::fmt;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators};
use hyper::body::{self, Body as _};

/// Maximum size of a buffered body, in bytes. A longer one is streamed and can be sent only once.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Reason why a body ended early.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Connection(hyper::Error),
    /// The body is longer than the limit.
    TooLong,
    /// The rest of the body did not arrive before the deadline.
    Deadline,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(error) => {
                write!(f, "connection failed while the body was received: {error}")
            }
            Self::TooLong => write!(f, "body is longer than the limit"),
            Self::Deadline => write!(f, "body was not complete before the deadline"),
        }
    }
}

impl std::error::Error for Error {}

/// Streaming body.
pub type Stream = combinators::UnsyncBoxBody<Bytes, Error>;

/// Returns a body with the given content.
pub fn full(bytes: Bytes) -> Stream {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an incoming body as a stream that fails after `limit` bytes.
pub fn incoming(body: body::Incoming, limit: u64) -> Stream {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    Limited::new(body, limit)
        .map_err(limit_error)
        .boxed_unsync()
}

/// Returns an incoming body as a stream without a size limit.
pub fn unlimited(body: body::Incoming) -> Stream {
    body.map_err(Error::Connection).boxed_unsync()
}

fn limit_error(error: Box<dyn std::error::Error + Send + Sync>) -> Error {
    match error.downcast::<hyper::Error>() {
        Ok(error) => Error::Connection(*error),
        Err(_) => Error::TooLong,
    }
}

/// Body to send: buffered if it has at most [`MAX_BUFFERED_BYTES`], streaming otherwise.
pub enum Payload {
    /// The complete body. It can be sent any number of times.
    Buffered(Bytes),
    /// A longer body. It can be sent once.
    Streaming(Stream),
    /// A longer body that was already sent.
    Sent,
}

impl Payload {
    /// Reads a body into memory if it is short enough.
    ///
    /// # Errors
    /// Fails if the body fails within the first [`MAX_BUFFERED_BYTES`].
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

    /// Returns the body for one send, or `None` if it was already sent and is not buffered.
    pub fn take(&mut self) -> Option<Stream> {
        if let Self::Buffered(bytes) = self {
            return Some(full(bytes.clone()));
        }
        match std::mem::replace(self, Self::Sent) {
            Self::Streaming(stream) => Some(stream),
            Self::Buffered(_) | Self::Sent => None,
        }
    }

    /// Returns whether the body can be sent.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, Self::Sent)
    }

    /// Returns the buffered bytes; empty for a streaming body.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streaming(_) | Self::Sent => &[],
        }
    }

    /// Returns the length in bytes, if known.
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

/// Returns a body of `chunks` followed by `rest`.
pub fn prepend(chunks: Vec<Bytes>, rest: Stream) -> Stream {
    let first = futures_util::stream::iter(chunks.into_iter().map(|c| Ok(body::Frame::data(c))));
    let rest = futures_util::StreamExt::filter_map(rest.into_data_stream(), |chunk| async {
        Some(chunk.map(body::Frame::data))
    });
    let chained = futures_util::StreamExt::chain(first, rest);
    BodyExt::boxed_unsync(StreamBody::new(chained))
}
