//! Pool of connections to targets.

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

/// Maximum time to open a connection. The round trip to the farthest domain takes 2 ms.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time that a connection is kept idle if the target names none.
const DEFAULT_IDLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Last part of the idle time of a connection, in which it is no longer used because the target
/// may be about to close it.
const IDLE_TIME_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Maximum number of idle connections to one target.
const MAX_IDLE: usize = 8;

/// Maximum time that a connection that was just given back needs to become usable.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(2);

/// Sender of requests on one connection.
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
    /// Returns an idle connection that was last used at most `within` ago, if there is one.
    pub async fn take(&self, address: net::SocketAddr, within: time::Duration) -> Option<Sender> {
        loop {
            let mut sender = self.pop(address, within)?;
            let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
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
    /// Fails if no connection is established in time. Nothing was sent then.
    pub async fn open(&self, address: net::SocketAddr) -> Result<Sender, String> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
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

    /// Stores a connection for further requests. `keep` is the idle time that the target named, if
    /// any.
    pub fn give_back(
        &self,
        address: net::SocketAddr,
        sender: Sender,
        keep: Option<time::Duration>,
    ) {
        let keep = keep
            .unwrap_or(DEFAULT_IDLE_TIME)
            .saturating_sub(IDLE_TIME_MARGIN);
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
