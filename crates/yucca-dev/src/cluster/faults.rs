//! The fault API: an HTTP server that injects faults and lists targets, hosts and recorded runs.

use std::convert;
use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task;

use super::{Cluster, Error, fault};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Path prefix of the recorded runs of an `x-echo` id.
const RUNS_PATH: &str = "/runs/";

type Request = http::Request<body::Incoming>;
type Answer = http::Response<Full<Bytes>>;

/// A running server of the fault API.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    task: task::JoinHandle<()>,
}

impl Server {
    /// Starts the fault API of a deployment.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(
        listen: net::SocketAddr,
        cluster: sync::Arc<Cluster>,
    ) -> Result<Self, Error> {
        let listen_error = |source| Error::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let task = tokio::spawn(accept(listener, cluster));
        Ok(Self { address, task })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, cluster: sync::Arc<Cluster>) {
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    continue;
                };
                let cluster = cluster.clone();
                let service = service::service_fn(move |request| {
                    let cluster = cluster.clone();
                    async move { Ok::<_, convert::Infallible>(answer(&cluster, request).await) }
                });
                let server = http1::Builder::new();
                connections.spawn(server.serve_connection(rt::TokioIo::new(stream), service));
            }
        }
    }
}

async fn answer(cluster: &Cluster, request: Request) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method().as_str(), path.as_str()) {
        ("GET", "/targets") => json(&cluster.targets()),
        ("GET", "/hosts") => json(&cluster.host_list().await),
        ("GET", "/totals") => json(&cluster.journal().totals()),
        ("GET", path) if path.starts_with(RUNS_PATH) => {
            json(&cluster.journal().runs(&path[RUNS_PATH.len()..]))
        }
        ("POST", "/faults") => inject(cluster, request).await,
        _ => text(
            http::StatusCode::NOT_FOUND,
            "use GET /targets, /hosts, /totals or /runs/ID, or POST /faults",
        ),
    }
}

async fn inject(cluster: &Cluster, request: Request) -> Answer {
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    else {
        return text(
            http::StatusCode::BAD_REQUEST,
            "the request body is incomplete or too large",
        );
    };
    let fault = match serde_json::from_slice::<fault::Fault>(&body.to_bytes()) {
        Ok(fault) => fault,
        Err(error) => return text(http::StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match cluster.inject(fault).await {
        Ok(()) => text(http::StatusCode::OK, "{}"),
        Err(error @ Error::Unknown { .. }) => text(http::StatusCode::NOT_FOUND, &error.to_string()),
        Err(error) => text(http::StatusCode::CONFLICT, &error.to_string()),
    }
}

fn json<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Answer::new(Full::new(Bytes::from(body))),
        Err(error) => text(http::StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn text(status: http::StatusCode, reason: &str) -> Answer {
    let body = Bytes::copy_from_slice(reason.as_bytes());
    let mut answer = Answer::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}
