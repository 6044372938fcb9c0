//! Connection to a target that is read up to a limit.
//!
//! The HTTP library drops interim answers, extensions of chunks and trailers, so their number is not
//! limited by the size of what it returns.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may still be read from a connection.
#[derive(Debug, Clone, Default)]
pub struct Allowance(sync::Arc<atomic::AtomicUsize>);

impl Allowance {
    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, atomic::Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(atomic::Ordering::Relaxed);
        let rest = left.checked_sub(bytes);
        self.set(rest.unwrap_or(0));
        rest.map(|_| ()).ok_or_else(|| {
            let reason = "the target has sent more than an answer may take";
            io::Error::new(io::ErrorKind::InvalidData, reason)
        })
    }
}

/// A connection whose reads fail once its allowance is used up.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    allowance: Allowance,
}

impl Metered {
    /// Returns a connection with an allowance.
    pub fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        if !matches!(read, task::Poll::Ready(Ok(()))) {
            return read;
        }
        let bytes = buffer.filled().len() - before;
        task::Poll::Ready(self.allowance.take(bytes))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
