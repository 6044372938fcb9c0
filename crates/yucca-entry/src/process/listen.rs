//! Listeners: accept connections and serve them until the process stops.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net;
use std::sync;

use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::process::shared;
use crate::request::body;

/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 256 << 10;

/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW: u32 = 4 << 20;

/// Maximum number of concurrent streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;

/// Bound listener.
pub struct Listener {
    socket: TcpListener,
    /// Bound address, with the port that was chosen.
    pub address: net::SocketAddr,
}

impl Listener {
    /// Binds an address. With port 0 the system chooses a port.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(address: net::SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }
}

/// Limits of a listener's connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Timeout for receiving a request's head over HTTP/1.
    pub head_timeout: std::time::Duration,
}

/// Serves a listener with `handle` until the phase `stop_at`, then finishes the requests in flight.
///
/// Stops at once in the phase [`shared::Phase::Stopped`].
pub async fn serve<H, F>(
    listener: Listener,
    limits: Limits,
    mut phase: watch::Receiver<shared::Phase>,
    stop_at: shared::Phase,
    handle: H,
) where
    H: Fn(http::Request<hyper::body::Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Response<body::Stream>> + Send + 'static,
{
    let connections = graceful::GracefulShutdown::new();
    let builder = builder(limits);
    loop {
        tokio::select! {
            accepted = listener.socket.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let handle = handle.clone();
                let service = service::service_fn(move |request| {
                    let answered = handle(request);
                    async move { Ok::<_, Infallible>(answered.await) }
                });
                let connection = builder
                    .serve_connection(rt::TokioIo::new(stream), service)
                    .into_owned();
                let watched = connections.watch(connection);
                let ended = phase.clone();
                tokio::spawn(run(watched, ended));
            }
            () = wait_for_phase(&mut phase, stop_at) => break,
        }
    }
    drop(listener);
    tokio::select! {
        () = connections.shutdown() => {}
        () = wait_for_phase(&mut phase, shared::Phase::Stopped) => {}
    }
}

async fn run<F>(connection: F, mut phase: watch::Receiver<shared::Phase>)
where
    F: Future<Output = Result<(), Box<dyn std::error::Error + Send + Sync>>>,
{
    tokio::select! {
        result = connection => {
            if result.is_err() {
                metrics::counter!("yucca_inbound_connections_failed_total").increment(1);
            }
        }
        () = wait_for_phase(&mut phase, shared::Phase::Stopped) => {}
    }
}

async fn wait_for_phase(phase: &mut watch::Receiver<shared::Phase>, wanted: shared::Phase) {
    let order = |phase: shared::Phase| match phase {
        shared::Phase::Starting => 0,
        shared::Phase::Ready => 1,
        shared::Phase::Stopping => 2,
        shared::Phase::Stopped => 3,
    };
    // An error means that the sender was dropped with the process, so it also ends the wait.
    let _ = phase.wait_for(|now| order(*now) >= order(wanted)).await;
}

fn builder(limits: Limits) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(8 << 10));
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(std::time::Duration::from_secs(10))
        .keep_alive_timeout(std::time::Duration::from_secs(5));
    builder
}

/// Returns `handle` with its first argument bound to `shared`.
pub fn with_shared<F>(
    shared: &sync::Arc<shared::Shared>,
    handle: impl Fn(sync::Arc<shared::Shared>, http::Request<hyper::body::Incoming>) -> F
    + Clone
    + Send
    + Sync
    + 'static,
) -> impl Fn(http::Request<hyper::body::Incoming>) -> F + Clone + Send + Sync + 'static {
    let shared = sync::Arc::clone(shared);
    move |request| handle(sync::Arc::clone(&shared), request)
}
