//! HTTP/1.1 connections of a lane to its target, each with one exchange at a time.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::time;

use crate::connection::socket;
use crate::request::body;

/// Time after which an idle connection is closed. After a longer time, a system between the hosts
/// may have dropped it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum idle time of a connection for a non-idempotent request, whose outcome is unknown if the
/// connection turns out to be silent.
const RECENT_USE_LIMIT: Duration = Duration::from_millis(500);

/// Number of idle connections in addition to the slots, so that no request waits for a handshake
/// when a connection is replaced.
const SPARE_CONNECTIONS: usize = 1;

/// Failure of an exchange with a target.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened, so the target received nothing.
    Dial(io::Error),
    /// The connection failed before the request was written, so the target received nothing.
    Unsent(hyper::Error),
    /// The connection failed when the request may have been written.
    Lost(hyper::Error),
    /// No answer came on a connection on which the request may have been written.
    Silent,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dial(error) => write!(f, "cannot connect to the target: {error}"),
            Self::Unsent(error) => {
                write!(f, "connection closed before the request was sent: {error}")
            }
            Self::Lost(error) => write!(
                f,
                "connection closed before the answer was complete: {error}"
            ),
            Self::Silent => write!(f, "no answer on the connection after the request"),
        }
    }
}

impl std::error::Error for Error {}

type Sender = http1::SendRequest<body::Stream>;

struct Idle {
    sender: Sender,
    since: time::Instant,
}

/// Open connection for one exchange. It is closed when dropped.
pub struct Connection {
    sender: Sender,
}

/// Idle connections of one lane.
pub struct Pool {
    address: net::SocketAddr,
    max_idle: usize,
    // Last in the lock order. The most recently used is at the back and is taken first.
    idle: sync::Mutex<VecDeque<Idle>>,
}

impl Pool {
    /// Returns a pool without connections for a target with `slots` slots.
    pub fn new(address: net::SocketAddr, slots: u16) -> Self {
        Self {
            address,
            max_idle: usize::from(slots) + SPARE_CONNECTIONS,
            idle: sync::Mutex::default(),
        }
    }

    /// Returns the address of the target.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    fn lock(&self) -> sync::MutexGuard<'_, VecDeque<Idle>> {
        self.idle
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Opens connections until the maximum number is idle or one cannot be opened.
    pub async fn warm(&self) {
        while self.lock().len() < self.max_idle {
            match open(self.address).await {
                Ok(connection) => self.put(connection),
                Err(_) => return,
            }
        }
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    /// Fails if no connection can be opened.
    pub async fn take(&self) -> Result<Connection, Error> {
        self.take_within(IDLE_TIMEOUT).await
    }

    /// Takes a connection that was used recently or opens one.
    ///
    /// # Errors
    /// Fails if no connection can be opened.
    pub async fn take_recent(&self) -> Result<Connection, Error> {
        self.take_within(RECENT_USE_LIMIT).await
    }

    async fn take_within(&self, limit: Duration) -> Result<Connection, Error> {
        if let Some(connection) = self.take_idle(limit) {
            return Ok(connection);
        }
        open(self.address).await
    }

    /// Opens a new connection, even if there are idle ones.
    ///
    /// # Errors
    /// Fails if no connection can be opened.
    pub async fn dial(&self) -> Result<Connection, Error> {
        open(self.address).await
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Puts back a connection after a complete exchange.
    pub fn put(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        if idle.len() >= self.max_idle {
            return;
        }
        idle.push_back(Idle {
            sender: connection.sender,
            since: time::Instant::now(),
        });
    }

    fn take_idle(&self, limit: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        let now = time::Instant::now();
        idle.retain(|entry| !entry.sender.is_closed() && now - entry.since < IDLE_TIMEOUT);
        let newest = idle.back()?;
        if now - newest.since >= limit {
            return None;
        }
        idle.pop_back().map(|entry| Connection {
            sender: entry.sender,
        })
    }
}

async fn open(address: net::SocketAddr) -> Result<Connection, Error> {
    let stream = socket::dial(address).await.map_err(Error::Dial)?;
    let io = rt::TokioIo::new(stream);
    let handshake = http1::Builder::new().handshake(io).await;
    let (sender, connection) = handshake.map_err(Error::Unsent)?;
    tokio::spawn(async move {
        if connection.await.is_err() {
            metrics::counter!("yucca_target_connections_failed_total").increment(1);
        }
    });
    Ok(Connection { sender })
}

impl Connection {
    /// Waits for the end of the last exchange and returns whether the connection can be used for
    /// another.
    pub async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the answer with a streaming body.
    ///
    /// # Errors
    /// The error says whether the target may have received the request.
    pub async fn send(
        &mut self,
        request: http::Request<body::Stream>,
    ) -> Result<http::Response<body::Stream>, Error> {
        // Detects a connection that the target closed while it was idle.
        if let Err(error) = self.sender.ready().await {
            return Err(Error::Unsent(error));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response.map(body::unlimited)),
            Err(mut failed) => match failed.take_message() {
                Some(_) => Err(Error::Unsent(failed.into_error())),
                None => Err(Error::Lost(failed.into_error())),
            },
        }
    }
}
