//! Calls within one process over links that can be cut, for tests and measurements.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};

use crate::peer;

/// A network of handlers by address.
#[derive(Clone, Default)]
pub struct Network {
    shared: sync::Arc<sync::Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    handlers: IndexMap<net::SocketAddr, sync::Arc<dyn peer::Handler>>,
    /// Links that lose all messages.
    cuts: IndexSet<Link>,
    latency: time::Duration,
    bytes: IndexMap<Link, u64>,
}

/// One direction between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Link {
    /// The sender.
    pub from: net::SocketAddr,
    /// The receiver.
    pub to: net::SocketAddr,
}

impl Network {
    /// Returns a network whose messages take `latency` each way.
    pub fn new(latency: time::Duration) -> Self {
        let network = Self::default();
        network.lock().latency = latency;
        network
    }

    fn lock(&self) -> sync::MutexGuard<'_, Shared> {
        self.shared
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Attaches `handler` to `address`, in place of any earlier handler.
    pub fn attach(&self, address: net::SocketAddr, handler: sync::Arc<dyn peer::Handler>) {
        self.lock().handlers.insert(address, handler);
    }

    /// Detaches the handler from `address`; calls to it fail.
    pub fn detach(&self, address: net::SocketAddr) {
        self.lock().handlers.shift_remove(&address);
    }

    /// Loses all messages in one direction without an error to the sender.
    pub fn cut(&self, from: net::SocketAddr, to: net::SocketAddr) {
        self.lock().cuts.insert(Link { from, to });
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.lock().cuts.clear();
    }

    /// Returns the bytes of frames that each link has transferred.
    pub fn bytes(&self) -> IndexMap<Link, u64> {
        self.lock().bytes.clone()
    }

    /// Returns the sender at `address`.
    pub fn sender(&self, address: net::SocketAddr) -> Sender {
        Sender {
            network: self.clone(),
            address,
        }
    }

    /// Transfers a message of this many bytes; returns false if it is lost.
    async fn transfer(&self, link: Link, bytes: usize) -> bool {
        let latency = self.lock().latency;
        tokio::time::sleep(latency).await;
        let mut shared = self.lock();
        if shared.cuts.contains(&link) {
            return false;
        }
        *shared.bytes.entry(link).or_default() += bytes as u64;
        true
    }
}

/// Calls the handlers of a [`Network`].
#[derive(Clone)]
pub struct Sender {
    network: Network,
    address: net::SocketAddr,
}

impl Sender {
    async fn exchange(&self, call: peer::Call) -> Result<Bytes, peer::Error> {
        let peer::Call {
            to, path, frame, ..
        } = call;
        let there = Link {
            from: self.address,
            to,
        };
        let back = Link {
            from: to,
            to: self.address,
        };
        if !self.network.transfer(there, frame.len()).await {
            return std::future::pending().await;
        }
        let handler = self.network.lock().handlers.get(&to).cloned();
        let Some(handler) = handler else {
            let reason = "connection refused".into();
            return Err(peer::Error::Connection { to, reason });
        };
        let answer = handler.handle(path.into(), frame).await;
        let bytes = answer.as_ref().map_or(0, Bytes::len);
        if !self.network.transfer(back, bytes).await {
            return std::future::pending().await;
        }
        answer.map_err(|refusal| peer::Error::Refused {
            to,
            status: refusal.status(),
            reason: refusal.to_string(),
        })
    }
}

impl peer::Peer for Sender {
    fn call(&self, call: peer::Call) -> peer::Answer<'_> {
        Box::pin(async move {
            let (to, timeout) = (call.to, call.timeout);
            let answer = tokio::time::timeout(timeout, self.exchange(call)).await;
            answer.unwrap_or(Err(peer::Error::Timeout { to }))
        })
    }
}
