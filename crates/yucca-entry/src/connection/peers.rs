//! HTTP/2 connections to the entry and control processes of other hosts, shared by requests.

use std::fmt;
use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use http::header;
use hyper::client::conn::http2;
use hyper_util::rt;
use indexmap::IndexMap;
use tokio::time;
use yucca_wire::auth;

use crate::connection::socket;
use crate::request::body;

/// Interval of the pings on open connections.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a connection is closed if a ping is not answered.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 256 << 10;

/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW: u32 = 4 << 20;

/// Path of the request that probes a new connection. Any status counts as an answer.
const PROBE_PATH: &str = "/greeting";

/// Number of connections to one peer, which are used in turn.
const CONNECTIONS: usize = 2;

/// Failure of a request to a peer.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened, so the peer did not receive the request.
    Dial {
        /// Address of the peer.
        address: net::SocketAddr,
        /// I/O error.
        source: io::Error,
    },
    /// The connection failed; the peer may have received the request.
    Exchange {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The peer rejected the request, or failed to answer it.
    Status {
        /// Address of the peer.
        address: net::SocketAddr,
        /// HTTP status.
        status: http::StatusCode,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dial { address, source } => {
                write!(
                    f,
                    "cannot connect to peer {address}: {source}; check that it is running"
                )
            }
            Self::Exchange { address, source } => {
                write!(f, "connection to peer {address} failed: {source}")
            }
            Self::Status { address, status } => write!(
                f,
                "peer {address} answered {status}; check that secrets and versions match, and its log"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the peer is known not to have processed the request.
    pub fn not_sent(&self) -> bool {
        match self {
            Self::Dial { .. } => true,
            // A peer checks a request before it processes it; a server error may follow the work.
            Self::Status { status, .. } => status.is_client_error(),
            Self::Exchange { .. } => false,
        }
    }
}

type Sender = http2::SendRequest<body::Stream>;

/// Connections to peers, opened on demand.
pub struct Peers {
    authorization: Option<header::HeaderValue>,
    local: Option<net::IpAddr>,
    // Last in the lock order.
    open: sync::Mutex<IndexMap<net::SocketAddr, Vec<Sender>>>,
    next: sync::atomic::AtomicUsize,
}

impl Peers {
    /// Returns a set without open connections.
    pub fn new(secret: &auth::Secret) -> Self {
        let authorization = header::HeaderValue::from_str(&secret.header());
        Self {
            authorization: authorization.ok(),
            local: None,
            open: sync::Mutex::default(),
            next: sync::atomic::AtomicUsize::new(0),
        }
    }

    /// Sets the local IP address of new connections. `None` lets the system choose.
    #[must_use]
    pub fn from_local(self, local: Option<net::IpAddr>) -> Self {
        Self { local, ..self }
    }

    /// Sends a `POST` request and returns the response.
    ///
    /// # Errors
    /// Fails if the peer cannot be reached or rejects the request. [`Error::not_sent`] says whether
    /// it is known not to have processed it.
    pub async fn post(
        &self,
        address: net::SocketAddr,
        path: &'static str,
        message: body::Stream,
    ) -> Result<http::Response<body::Stream>, Error> {
        let mut sender = self.sender(address).await?;
        let mut request = http::Request::new(message);
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = peer_uri(address, path);
        if let Some(value) = self.authorization.clone() {
            request.headers_mut().insert(header::AUTHORIZATION, value);
        }
        let sent = sender.send_request(request).await;
        let response = sent.map_err(|source| Error::Exchange { address, source })?;
        if !response.status().is_success() {
            let status = response.status();
            return Err(Error::Status { address, status });
        }
        Ok(response.map(body::unlimited))
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<net::SocketAddr, Vec<Sender>>> {
        self.open
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    async fn sender(&self, address: net::SocketAddr) -> Result<Sender, Error> {
        if let Some(sender) = self.take_open(address) {
            return Ok(sender);
        }
        let sender = open(self.local, address).await?;
        self.lock().entry(address).or_default().push(sender.clone());
        Ok(sender)
    }

    fn take_open(&self, address: net::SocketAddr) -> Option<Sender> {
        let mut open = self.lock();
        let senders = open.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        if senders.len() < CONNECTIONS {
            return None;
        }
        let turn = self.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
        senders.get(turn % senders.len()).cloned()
    }
}

fn peer_uri(address: net::SocketAddr, path: &'static str) -> http::Uri {
    let built = http::Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build();
    built.unwrap_or_default()
}

async fn open(local: Option<net::IpAddr>, address: net::SocketAddr) -> Result<Sender, Error> {
    let dialled = socket::dial_from(local, address).await;
    let stream = dialled.map_err(|source| Error::Dial { address, source })?;
    let handshake = http2::Builder::new(rt::TokioExecutor::new())
        .timer(rt::TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake(rt::TokioIo::new(stream))
        .await;
    let (mut sender, connection) =
        handshake.map_err(|source| Error::Exchange { address, source })?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            metrics::counter!("yucca_peer_connections_failed_total").increment(1);
            log::debug!("connection to peer {address} ended: {error}");
        }
    });
    probe(address, &mut sender).await?;
    Ok(sender)
}

/// Sends a request on a new connection and waits for an answer with any status.
///
/// An intermediate system may accept the connection and forward nothing. Other requests are sent
/// only after the probe was answered, so if it fails, the peer is known not to have received them.
async fn probe(address: net::SocketAddr, sender: &mut Sender) -> Result<(), Error> {
    let mut request = http::Request::new(body::full(bytes::Bytes::new()));
    *request.uri_mut() = peer_uri(address, PROBE_PATH);
    match time::timeout(socket::DIAL_TIMEOUT, sender.send_request(request)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(source)) => Err(Error::Dial {
            address,
            source: io::Error::other(source),
        }),
        Err(_) => Err(Error::Dial {
            address,
            source: io::Error::from(io::ErrorKind::TimedOut),
        }),
    }
}
