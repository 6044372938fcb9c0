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

use crate::entry::metered;
use crate::mutex::lock;

/// Maximum time to open a connection. The round trip to the farthest domain takes 2 ms.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time that a connection is kept idle if the target names none.
const DEFAULT_IDLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Last part of the idle time of a connection, in which it is no longer used because the target
/// may be about to close it.
const IDLE_TIME_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Interval between checks for connections whose idle time has passed.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum number of idle connections to one target.
const MAX_IDLE: usize = 8;

/// Maximum time that a connection that was just given back needs to become usable.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(2);

/// Maximum size of the head of an answer, in bytes. A faulty target may write without end.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of refusals on one connection, after which it is closed.
const MAX_REFUSALS: usize = 4;

/// A connection to a target that runs no request.
pub struct Connection {
    address: net::SocketAddr,
    /// Sender of requests.
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// Number of bytes that the target may still send.
    pub allowance: metered::Allowance,
    /// Time for which the target keeps it open while it is idle, if its last answer said so.
    pub idle_time: Option<time::Duration>,
    /// Ids of requests that were refused on it. They are not sent on it again: a faulty target may
    /// repeat a refusal, which would pass for the answer to the next attempt.
    refused: Vec<Bytes>,
}

impl Connection {
    /// Records that the target refused the request `id`.
    pub fn record_refusal(&mut self, id: &Bytes) {
        self.refused.push(id.clone());
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        self.until > now && !self.connection.sender.is_closed()
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: sync::Mutex<IndexMap<net::SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Closes connections whose idle time has passed, until the process ends.
    ///
    /// Load pattern: targets end or are cut off, and no request comes for their addresses any more.
    pub async fn close_idle(&self) {
        let mut interval = tokio::time::interval(SWEEP_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let now = Instant::now();
            lock(&self.idle).retain(|_, connections| {
                connections.retain(|idle| idle.is_usable(now));
                !connections.is_empty()
            });
        }
    }

    /// Returns an idle connection for the request `id` that was last used at most `within` ago, if
    /// there is one.
    pub async fn take(
        &self,
        address: net::SocketAddr,
        within: time::Duration,
        id: &Bytes,
    ) -> Option<Connection> {
        loop {
            let mut connection = self.pop(address, within, id)?;
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    fn pop(
        &self,
        address: net::SocketAddr,
        within: time::Duration,
        id: &Bytes,
    ) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|idle| idle.is_usable(now));
        let usable = |idle: &Idle| !idle.connection.refused.contains(id);
        let last = connections.iter().rposition(usable)?;
        if now.duration_since(connections[last].since) > within {
            return None;
        }
        Some(connections.remove(last).connection)
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Fails if no connection is established in time. Nothing was sent then.
    pub async fn open(&self, address: net::SocketAddr) -> Result<Connection, String> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| "no connection in time".to_owned())?
            .map_err(|error| error.to_string())?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let allowance = metered::Allowance::default();
        let stream = metered::Metered::new(stream, allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Connection {
            address,
            sender,
            allowance,
            idle_time: None,
            refused: Vec::new(),
        })
    }

    /// Stores a connection for further requests.
    pub fn give_back(&self, connection: Connection) {
        let keep = connection
            .idle_time
            .unwrap_or(DEFAULT_IDLE_TIME)
            .saturating_sub(IDLE_TIME_MARGIN);
        let refused_often = connection.refused.len() >= MAX_REFUSALS;
        if connection.sender.is_closed() || keep.is_zero() || refused_often {
            return;
        }
        let mut idle = lock(&self.idle);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE {
            let now = Instant::now();
            connections.push(Idle {
                connection,
                since: now,
                until: now + keep,
            });
        }
    }
}
