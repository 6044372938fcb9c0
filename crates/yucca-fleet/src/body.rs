//! Bodies of requests and answers, and the memory that they take.
//!
//! Load pattern: many targets write without end at once, or callers and targets send several large
//! bodies at once, while others send small ones. Large bodies share a part of the process's memory;
//! small ones don't need it, so that large ones can't keep them out.

use std::fmt;
use std::sync;
use std::sync::atomic;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use yucca_wire::unit;

/// Size up to which a body is not counted, in bytes.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Bodies may take the memory of the process divided by this. The rest is for connections, state and
/// parts of bodies that have arrived and are not read yet.
const MEMORY_DIVISOR: u64 = 2;

/// Memory that the bodies of a process may take together.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    held: atomic::AtomicUsize,
}

impl Budget {
    /// Returns the budget of a process that may use this much memory.
    pub fn new(memory: unit::Size) -> sync::Arc<Self> {
        let limit = usize::try_from(memory.0 / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        sync::Arc::new(Self {
            limit,
            held: atomic::AtomicUsize::new(0),
        })
    }

    /// Returns the number of bytes that are counted now.
    pub fn held(&self) -> usize {
        self.held.load(atomic::Ordering::Relaxed)
    }
}

/// Part of a budget that one body takes, until this is dropped.
#[derive(Debug)]
struct Share {
    budget: sync::Arc<Budget>,
    bytes: usize,
}

impl Share {
    fn new(budget: &sync::Arc<Budget>) -> Self {
        Self {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Makes room for a body of this length. Returns false if there is none.
    fn grow(&mut self, length: usize) -> bool {
        if length <= UNCOUNTED_BYTES || length <= self.bytes {
            return true;
        }
        let further = length - self.bytes;
        let limit = self.budget.limit;
        let order = atomic::Ordering::Relaxed;
        let taken = self.budget.held.fetch_update(order, order, |held| {
            held.checked_add(further).filter(|held| *held <= limit)
        });
        if taken.is_ok() {
            self.bytes = length;
        }
        taken.is_ok()
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget
            .held
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

/// A body that is counted until its last copy is dropped.
struct Counted {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a body is not read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// It ends early or can't be decoded, for this reason.
    Broken(String),
    /// It is longer than this limit, in bytes.
    TooLarge(usize),
    /// The bodies that the process holds leave no room for it.
    NoRoom,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(reason) => write!(f, "broke off: {reason}"),
            Self::TooLarge(limit) => write!(f, "exceeds {limit} bytes"),
            Self::NoRoom => write!(f, "does not fit into the memory that is left for bodies"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads a whole body. `limit` is asked for its maximum length with each part. Room for a body that
/// states its length is taken before the first part, so that several don't each get a part only.
///
/// # Errors
/// Fails if the body breaks off, is too large or finds no room. In the last case the rest has not been
/// read.
pub async fn read<B>(
    body: &mut B,
    budget: &sync::Arc<Budget>,
    mut limit: impl FnMut() -> usize,
) -> Result<Bytes, Error>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    let mut share = Share::new(budget);
    let stated = body.size_hint().exact();
    let stated = stated.and_then(|stated| usize::try_from(stated).ok());
    // The limit may be raised before a longer body has arrived.
    if let Some(length) = stated.filter(|stated| *stated <= limit())
        && !share.grow(length)
    {
        return Err(Error::NoRoom);
    }
    // Parts are copied, because those of few bytes take many times their size.
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.remaining();
        let most = limit();
        if length > most {
            return Err(Error::TooLarge(most));
        }
        if !share.grow(length) {
            return Err(Error::NoRoom);
        }
        bytes.extend_from_slice(&data);
    }
    if share.bytes == 0 {
        return Ok(bytes.freeze());
    }
    Ok(Bytes::from_owner(Counted {
        bytes: bytes.freeze(),
        _share: share,
    }))
}

/// Reads the rest of a body and drops it, so that the other side reads the answer: a connection that
/// is closed with unread bytes is reset.
pub async fn discard<B>(body: &mut B)
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    while let Some(Ok(_)) = body.frame().await {}
}
