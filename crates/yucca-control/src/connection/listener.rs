//! Accepts connections and passes their requests to a service.

use std::convert;
use std::io;
use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio::sync::watch;
use tokio::task;
use tower::ServiceExt;

/// Timeout of receiving the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Delay after a connection could not be accepted.
const ACCEPT_DELAY: time::Duration = time::Duration::from_millis(50);

/// An incoming request.
pub type Request = http::Request<body::Incoming>;

/// An answer.
pub type Response = http::Response<Full<Bytes>>;

/// Answers requests.
pub type Service = tower::util::BoxCloneSyncService<Request, Response, convert::Infallible>;

/// Returns a service in which `answer` handles at most `limit` concurrent requests; further ones
/// are refused immediately.
pub fn service<F, A>(limit: usize, answer: F) -> Service
where
    F: Fn(Request) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response> + Send + 'static,
{
    let answer = move |request| {
        let answer = answer(request);
        async move { Ok::<_, convert::Infallible>(answer.await) }
    };
    let limited = tower::ServiceBuilder::new()
        .load_shed()
        .concurrency_limit(limit)
        .service_fn(answer);
    tower::util::BoxCloneSyncService::new(tower::service_fn(move |request| {
        let answer = limited.clone().oneshot(request);
        async move { Ok(answer.await.unwrap_or_else(|_| busy())) }
    }))
}

fn busy() -> Response {
    metrics::counter!("yucca_control_requests_shed_total").increment(1);
    let mut response = Response::new(Full::new(Bytes::from_static(
        b"too many concurrent requests",
    )));
    *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Accepts connections until it is stopped.
#[derive(Debug)]
pub struct Listener {
    address: net::SocketAddr,
    stop: watch::Sender<bool>,
    task: task::JoinHandle<()>,
}

impl Listener {
    /// Starts a listener that passes the requests that arrive at `socket` to `service`.
    ///
    /// # Errors
    /// Fails if the address of the socket cannot be determined.
    pub fn start(socket: tokio::net::TcpListener, service: Service) -> io::Result<Self> {
        let address = socket.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(socket, service, stopped));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address, with the port that the system chose.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits up to `timeout` for requests in flight.
    pub async fn stop(self, timeout: time::Duration) {
        self.stop.send_replace(true);
        let abort = self.task.abort_handle();
        if tokio::time::timeout(timeout, self.task).await.is_err() {
            abort.abort();
        }
    }

    /// Stops immediately and closes all connections.
    pub fn abort(&self) {
        self.task.abort();
    }
}

async fn accept(
    socket: tokio::net::TcpListener,
    service: Service,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = graceful::GracefulShutdown::new();
    // Dropping the set closes the connections, so aborting this task closes them all.
    let mut connections = task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = stopped.changed() => break,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => serve(stream, &service, &graceful, &mut connections),
            Err(_) => tokio::time::sleep(ACCEPT_DELAY).await,
        }
    }
    drop(socket);
    graceful.shutdown().await;
}

fn serve(
    stream: tokio::net::TcpStream,
    service: &Service,
    graceful: &graceful::GracefulShutdown,
    connections: &mut task::JoinSet<()>,
) {
    // A connection without this option still works, but with more delay.
    stream.set_nodelay(true).ok();
    let answer = hyper_util::service::TowerToHyperService::new(service.clone());
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    let connection = builder.serve_connection(rt::TokioIo::new(stream), answer);
    let watched = graceful.watch(connection.into_owned());
    connections.spawn(async move {
        // An error of the connection concerns only the client.
        watched.await.ok();
    });
}
