//! Metrics of the process, served for Prometheus.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::future;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body;
use tokio::sync::watch;
use yucca_control::process::metric;

use crate::error::Error;
use crate::server;

/// Maximum time that a connection waits for a complete request head.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Starts to record metrics, and serves them on `address` until the returned server is dropped.
/// Does nothing if there is no address.
///
/// # Errors
/// Fails if the process can't listen on the address.
pub async fn start(address: Option<net::SocketAddr>) -> Result<Option<server::Running>, Error> {
    let Some(address) = address else {
        return Ok(None);
    };
    metric::install();
    let listener = server::listen(address).await?;
    Ok(Some(server::Running::start(
        listener,
        sync::Arc::new(Handler),
    )))
}

struct Handler;

impl server::Handler for Handler {
    fn handle(
        self: sync::Arc<Self>,
        _request: Request<body::Incoming>,
    ) -> future::BoxFuture<'static, Response<Full<Bytes>>> {
        let text = metric::render();
        Box::pin(future::ready(Response::new(Full::new(text.into()))))
    }

    fn limits(&self) -> watch::Receiver<server::Limits> {
        server::Limits {
            head_timeout: HEAD_TIMEOUT,
            head_bytes: MAX_HEAD_BYTES,
        }
        .fixed()
    }
}
