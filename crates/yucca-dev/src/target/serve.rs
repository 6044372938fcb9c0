//! Connections to a target.

use std::convert;
use std::sync;

use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::task;

use super::{Shared, answer};

/// Accepts connections until the task is aborted; closes those above the limit at once.
pub async fn accept(shared: sync::Arc<Shared>, listener: TcpListener) {
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            () = shared.restart.notified() => connections.abort_all(),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    continue;
                };
                if connections.len() >= usize::from(shared.settings.connections) {
                    continue;
                }
                let _ = stream.set_nodelay(true);
                let stream = shared.gate.wrap(stream);
                connections.spawn(serve(shared.clone(), rt::TokioIo::new(stream)));
            }
        }
    }
}

async fn serve(shared: sync::Arc<Shared>, stream: rt::TokioIo<super::gate::Stream>) {
    let service = service::service_fn(|request| {
        let shared = shared.clone();
        async move { Ok::<_, convert::Infallible>(answer::answer(&shared, request).await) }
    });
    let builder = auto::Builder::new(rt::TokioExecutor::new());
    // The error is ignored: the peer of a failed connection sees the failure itself.
    let _ = builder.serve_connection(stream, service).await;
}
