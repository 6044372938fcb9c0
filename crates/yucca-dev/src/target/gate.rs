//! Connections that can be blocked: all connections of a frozen target, or permanently those that
//! are open when a fault is injected.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net;

/// Blocks the connections of one target.
#[derive(Debug, Default)]
pub struct Gate {
    /// Whether a fault was ever injected. Until then, reads and writes don't take the lock.
    faulty: atomic::AtomicBool,
    /// Number of connections opened so far.
    opened: atomic::AtomicU64,
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    frozen: bool,
    /// Connections with a lower number are blocked permanently.
    silent_below: u64,
    wakers: Vec<task::Waker>,
}

impl Gate {
    /// Blocks all connections until [`Gate::thaw`].
    pub fn freeze(&self) {
        self.lock().frozen = true;
        self.faulty.store(true, atomic::Ordering::Release);
    }

    /// Ends a freeze; blocked reads, writes and work continue.
    pub fn thaw(&self) {
        let mut state = self.lock();
        state.frozen = false;
        for waker in state.wakers.drain(..) {
            waker.wake();
        }
    }

    /// Permanently blocks the connections that are open now.
    pub fn silence(&self) {
        let opened = self.opened.load(atomic::Ordering::Acquire);
        self.lock().silent_below = opened;
        self.faulty.store(true, atomic::Ordering::Release);
    }

    /// Waits until the target is not frozen.
    pub async fn thawed(&self) {
        std::future::poll_fn(|context| self.poll(u64::MAX, context)).await;
    }

    /// Wraps a new connection.
    pub fn wrap(self: &sync::Arc<Self>, inner: net::TcpStream) -> Stream {
        Stream {
            gate: self.clone(),
            number: self.opened.fetch_add(1, atomic::Ordering::AcqRel),
            inner,
        }
    }

    fn poll(&self, number: u64, context: &task::Context<'_>) -> task::Poll<()> {
        if !self.faulty.load(atomic::Ordering::Acquire) {
            return task::Poll::Ready(());
        }
        let mut state = self.lock();
        if number < state.silent_below {
            // Stores no waker: nothing unblocks this connection.
            return task::Poll::Pending;
        }
        if !state.frozen {
            return task::Poll::Ready(());
        }
        let waker = context.waker();
        if !state.wakers.iter().any(|known| known.will_wake(waker)) {
            state.wakers.push(waker.clone());
        }
        task::Poll::Pending
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A connection behind a [`Gate`].
#[derive(Debug)]
pub struct Stream {
    gate: sync::Arc<Gate>,
    number: u64,
    inner: net::TcpStream,
}

impl AsyncRead for Stream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let stream = self.get_mut();
        task::ready!(stream.gate.poll(stream.number, context));
        pin::Pin::new(&mut stream.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let stream = self.get_mut();
        task::ready!(stream.gate.poll(stream.number, context));
        pin::Pin::new(&mut stream.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let stream = self.get_mut();
        task::ready!(stream.gate.poll(stream.number, context));
        pin::Pin::new(&mut stream.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().inner).poll_flush(context)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let stream = self.get_mut();
        task::ready!(stream.gate.poll(stream.number, context));
        pin::Pin::new(&mut stream.inner).poll_shutdown(context)
    }
}
