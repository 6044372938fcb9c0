//! HTTP servers.

use std::convert;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::future;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;

use crate::error;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Handler of HTTP requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: sync::Arc<Self>,
        request: Request<body::Incoming>,
    ) -> future::BoxFuture<'static, Response<Full<Bytes>>>;

    /// Returns the limits in effect, which may change.
    fn limits(&self) -> watch::Receiver<Limits>;
}

/// Limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time that it waits for a complete request head, which includes the time that it is
    /// idle.
    pub head_timeout: time::Duration,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
}

impl Limits {
    /// Returns limits that never change.
    pub fn fixed(self) -> watch::Receiver<Self> {
        watch::channel(self).1
    }
}

/// Running server. If dropped, it ends at once, as in a killed process.
#[derive(Debug)]
pub struct Running {
    stop: watch::Sender<bool>,
    task: task::JoinHandle<()>,
}

impl Running {
    /// Starts a server.
    pub fn start<H: Handler>(listener: TcpListener, handler: sync::Arc<H>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, handler, stopped));
        Self { stop, task }
    }

    /// Accepts no further connections and waits at most `timeout` until open requests end.
    pub async fn stop(&mut self, timeout: time::Duration) {
        self.stop.send_replace(true);
        let ended = tokio::time::timeout(timeout, &mut self.task).await;
        if ended.is_err() {
            log::warn!("requests still open after {timeout:?}");
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens on an address.
///
/// # Errors
/// Fails if the address is in use or does not belong to this host.
pub async fn listen(address: net::SocketAddr) -> Result<TcpListener, error::Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| error::Error::Listen { address, error })
}

/// Accepts connections until `stop` is set, then waits until open requests end.
async fn serve<H: Handler>(
    listener: TcpListener,
    handler: sync::Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    let mut tasks = task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => break,
        };
        while tasks.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                // Without this option answers are only delayed, so a failure does no harm.
                stream.set_nodelay(true).ok();
                tasks.spawn(connection(stream, handler.clone(), stop.clone()));
            }
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while tasks.join_next().await.is_some() {}
}

/// Serves a connection. Its limits are those at its start, so it ends after the open request once
/// others are in effect.
async fn connection<H: Handler>(
    stream: tokio::net::TcpStream,
    handler: sync::Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    let mut limits = handler.limits();
    let at_start = *limits.borrow_and_update();
    let answer = service::service_fn(move |request| {
        let answer = handler.clone().handle(request);
        async move { Ok::<_, convert::Infallible>(answer.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(at_start.head_timeout)
        .max_buf_size(at_start.head_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), answer);
    let mut served = std::pin::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = ends_early(&mut stop, &mut limits, at_start) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection ended: {error}");
    }
}

/// Waits until the server stops or other limits are in effect.
async fn ends_early(
    stop: &mut watch::Receiver<bool>,
    limits: &mut watch::Receiver<Limits>,
    at_start: Limits,
) {
    let changed = async {
        if limits.wait_for(|limits| *limits != at_start).await.is_err() {
            // They never change.
            future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = stopped(stop) => {}
        () = changed => {}
    }
}

/// Waits until `stop` is set or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    stop.wait_for(|stop| *stop).await.ok();
}
