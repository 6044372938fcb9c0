//! Accepts connections and lets a service answer their requests.

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

/// How long the head of a request may take to arrive.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// A request as it comes in.
pub type Request = http::Request<body::Incoming>;

/// An answer.
pub type Response = http::Response<Full<Bytes>>;

/// Answers requests.
pub type Service = tower::util::BoxCloneSyncService<Request, Response, convert::Infallible>;

/// Returns the service in which `answer` answers at most `limit` requests at a time; more are
/// refused at once.
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
        b"too many requests at a time",
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
    /// Lets `service` answer what comes in at `socket`.
    ///
    /// # Errors
    /// Fails where the socket's address is not known.
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

    /// Accepts no more connections and waits for requests in flight, at most `patience`.
    pub async fn stop(self, patience: time::Duration) {
        self.stop.send_replace(true);
        let abort = self.task.abort_handle();
        if tokio::time::timeout(patience, self.task).await.is_err() {
            abort.abort();
        }
    }

    /// Ends at once, with its connections.
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
    // Connections end with the set, so that aborting this task closes them all.
    let mut connections = task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = stopped.changed() => break,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => serve(stream, &service, &graceful, &mut connections),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
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
    // A connection without the option still works, only with more delay.
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
        // Its end, good or bad, concerns only the other side.
        watched.await.ok();
    });
}
