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

/// The pause after a connection could not be taken.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: sync::Arc<Self>,
        request: Request<body::Incoming>,
    ) -> future::BoxFuture<'static, Response<Full<Bytes>>>;

    /// Returns how long a connection may wait for a whole head.
    fn head_timeout(&self) -> time::Duration;

    /// Returns the most bytes of a head.
    fn head_bytes(&self) -> usize;
}

/// A running server. Dropped, it ends at once, as with a killed process.
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

    /// Takes no further connection and lets open requests end, for at most `patience`.
    pub async fn stop(&mut self, patience: time::Duration) {
        self.stop.send_replace(true);
        let ended = tokio::time::timeout(patience, &mut self.task).await;
        if ended.is_err() {
            log::warn!("requests were still open after {patience:?}");
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
/// Fails where the address is taken or not this host's.
pub async fn listen(address: net::SocketAddr) -> Result<TcpListener, error::Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| error::Error::Listen { address, error })
}

/// Takes connections until `stop` is set, then lets open requests end and returns.
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
                // Without it answers are only later, so a failure is of no consequence.
                stream.set_nodelay(true).ok();
                tasks.spawn(connection(stream, handler.clone(), stop.clone()));
            }
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    while tasks.join_next().await.is_some() {}
}

async fn connection<H: Handler>(
    stream: tokio::net::TcpStream,
    handler: sync::Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    let head_bytes = handler.head_bytes();
    let patience = handler.head_timeout();
    let answer = service::service_fn(move |request| {
        let answer = handler.clone().handle(request);
        async move { Ok::<_, convert::Infallible>(answer.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(patience)
        .max_buf_size(head_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), answer);
    let mut served = std::pin::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = stopped(&mut stop) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection ended: {error}");
    }
}

/// Waits until the stop is set, or whoever could set it is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    stop.wait_for(|stop| *stop).await.ok();
}
