//! Connections of a lane to its target: HTTP/1.1, one exchange at a time on each.

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

/// How long an idle connection is kept; a longer idle one may have been forgotten on the way.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long ago a connection was used at most where its silence would cost an unknown outcome.
const RECENT_USE_LIMIT: Duration = Duration::from_millis(500);

/// Idle connections kept beyond the slots, so that a replaced one costs no request a handshake.
const SPARE_CONNECTIONS: usize = 1;

/// Why an exchange with a target failed.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened: the target saw nothing.
    Dial(io::Error),
    /// The connection failed before the request was written: the target saw nothing.
    Unsent(hyper::Error),
    /// The connection failed after the request may have been written.
    Lost(hyper::Error),
    /// The connection was silent while its request may have been written.
    Silent,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dial(error) => write!(f, "cannot connect to the target: {error}"),
            Self::Unsent(error) => write!(f, "connection ended before the request: {error}"),
            Self::Lost(error) => write!(f, "connection ended within the exchange: {error}"),
            Self::Silent => write!(f, "connection was silent after the request"),
        }
    }
}

impl std::error::Error for Error {}

type Sender = http1::SendRequest<body::Stream>;

struct Idle {
    sender: Sender,
    since: time::Instant,
}

/// An open connection, taken for one exchange. Dropping it closes it.
pub struct Connection {
    sender: Sender,
}

/// The connections of one lane.
pub struct Pool {
    address: net::SocketAddr,
    max_idle: usize,
    // A leaf in the lock order. The newest is at the back and is taken first.
    idle: sync::Mutex<VecDeque<Idle>>,
}

impl Pool {
    /// Returns a pool without connections for a target with so many slots.
    pub fn new(address: net::SocketAddr, slots: u16) -> Self {
        Self {
            address,
            max_idle: usize::from(slots) + SPARE_CONNECTIONS,
            idle: sync::Mutex::default(),
        }
    }

    /// Returns the target's address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    fn lock(&self) -> sync::MutexGuard<'_, VecDeque<Idle>> {
        self.idle
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Opens connections ahead of need, up to the number that is kept.
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
    /// Fails where no connection can be opened.
    pub async fn take(&self) -> Result<Connection, Error> {
        self.take_within(IDLE_TIMEOUT).await
    }

    /// Takes a connection that was used a moment ago or opens one.
    ///
    /// # Errors
    /// Fails where no connection can be opened.
    pub async fn take_recent(&self) -> Result<Connection, Error> {
        self.take_within(RECENT_USE_LIMIT).await
    }

    async fn take_within(&self, limit: Duration) -> Result<Connection, Error> {
        if let Some(connection) = self.take_idle(limit) {
            return Ok(connection);
        }
        open(self.address).await
    }

    /// Opens a new connection, whatever is idle.
    ///
    /// # Errors
    /// Fails where no connection can be opened.
    pub async fn dial(&self) -> Result<Connection, Error> {
        open(self.address).await
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Puts back a connection whose exchange ended in full.
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
    /// Waits until the last exchange has left the connection and tells whether it takes another.
    pub async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the head of the answer with its body.
    ///
    /// # Errors
    /// Tells whether the target may have seen the request.
    pub async fn send(
        &mut self,
        request: http::Request<body::Stream>,
    ) -> Result<http::Response<body::Stream>, Error> {
        // A connection that the target closed while it was idle says so here.
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
