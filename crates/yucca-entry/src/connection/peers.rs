//! Connections to the entry and control processes of other hosts: HTTP/2, shared by requests.

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

/// How often an open connection is checked by a ping.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// How long a ping may take before the connection counts as silent and is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// The flow-control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 256 << 10;

/// The flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 4 << 20;

/// The path that a new connection is greeted on; any answer will do.
const PROBE_PATH: &str = "/greeting";

/// Connections to one peer; requests are spread over them.
const CONNECTIONS: usize = 2;

/// Why a request to a peer failed.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened: the peer saw nothing.
    Dial {
        /// The peer.
        address: net::SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The connection failed: the peer may have seen the request.
    Exchange {
        /// The peer.
        address: net::SocketAddr,
        /// What the library reported.
        source: hyper::Error,
    },
    /// The peer refused the message.
    Status {
        /// The peer.
        address: net::SocketAddr,
        /// The HTTP status.
        status: http::StatusCode,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dial { address, source } => {
                write!(
                    f,
                    "cannot connect to peer {address}: {source}; check that it runs"
                )
            }
            Self::Exchange { address, source } => {
                write!(f, "connection to peer {address} failed: {source}")
            }
            Self::Status { address, status } => write!(
                f,
                "peer {address} refused the message with {status}; compare the secrets and versions"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Tells whether the peer certainly saw nothing of the request.
    pub fn not_sent(&self) -> bool {
        match self {
            Self::Dial { .. } | Self::Status { .. } => true,
            Self::Exchange { .. } => false,
        }
    }
}

type Sender = http2::SendRequest<body::Stream>;

/// Connections to peers, opened at need.
pub struct Peers {
    authorization: Option<header::HeaderValue>,
    local: Option<net::IpAddr>,
    // A leaf in the lock order.
    open: sync::Mutex<IndexMap<net::SocketAddr, Vec<Sender>>>,
    next: sync::atomic::AtomicUsize,
}

impl Peers {
    /// Returns a set without connections.
    pub fn new(secret: &auth::Secret) -> Self {
        let authorization = header::HeaderValue::from_str(&secret.header());
        Self {
            authorization: authorization.ok(),
            local: None,
            open: sync::Mutex::default(),
            next: sync::atomic::AtomicUsize::new(0),
        }
    }

    /// Opens connections from this local IP address, where one is given.
    #[must_use]
    pub fn from_local(self, local: Option<net::IpAddr>) -> Self {
        Self { local, ..self }
    }

    /// Sends a `POST` request and returns the response.
    ///
    /// # Errors
    /// Tells whether the peer may have seen the request.
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

/// Asks for any answer before a new connection is used.
///
/// Something on the way may take the connection and pass nothing on. What is sent afterwards has
/// reached a peer that answers, so that until then a request certainly did not.
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
