//! Connections to targets.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::mutex::lock;

/// How long opening a connection may take; the way to the farthest domain and back takes 2 ms.
const CONNECT_PATIENCE: time::Duration = time::Duration::from_millis(300);

/// How long a target's connection is kept idle where it names no time.
const DEFAULT_KEEP: time::Duration = time::Duration::from_secs(4);

/// A connection is not used in the last part of the time that the target keeps it.
const KEEP_MARGIN: time::Duration = time::Duration::from_millis(700);

/// The most idle connections to one target.
const MAX_IDLE: usize = 8;

/// How long a connection that was just given back may need to become usable.
const SETTLE_PATIENCE: time::Duration = time::Duration::from_millis(2);

/// Sends requests on one connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    since: Instant,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: sync::Mutex<IndexMap<net::SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Returns an idle connection that was used within `within`, if there is one.
    pub async fn take(&self, address: net::SocketAddr, within: time::Duration) -> Option<Sender> {
        loop {
            let mut sender = self.pop(address, within)?;
            let ready = tokio::time::timeout(SETTLE_PATIENCE, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(sender);
            }
        }
    }

    fn pop(&self, address: net::SocketAddr, within: time::Duration) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|idle| idle.until > now && !idle.sender.is_closed());
        let last = connections.last()?;
        if now.duration_since(last.since) > within {
            return None;
        }
        connections.pop().map(|idle| idle.sender)
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Fails where the target does not take it in time; nothing was sent then.
    pub async fn open(&self, address: net::SocketAddr) -> Result<Sender, String> {
        let connected = tokio::time::timeout(CONNECT_PATIENCE, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| "no connection in time".to_owned())?
            .map_err(|error| error.to_string())?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(sender)
    }

    /// Keeps a connection for further requests, for as long as the target said.
    pub fn give_back(
        &self,
        address: net::SocketAddr,
        sender: Sender,
        keep: Option<time::Duration>,
    ) {
        let keep = keep.unwrap_or(DEFAULT_KEEP).saturating_sub(KEEP_MARGIN);
        if sender.is_closed() || keep.is_zero() {
            return;
        }
        let mut idle = lock(&self.idle);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE {
            let now = Instant::now();
            connections.push(Idle {
                sender,
                since: now,
                until: now + keep,
            });
        }
    }
}
