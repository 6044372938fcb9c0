//! Heartbeats with which mock targets announce themselves.
#![allow(clippy::unwrap_used)]

mod support;

use std::convert;
use std::net;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::service;
use hyper_util::rt::TokioIo;
use support::{harness, settings};
use tokio::sync::mpsc;
use yucca_dev::target;
use yucca_wire::{announce, auth};

struct Received {
    path: String,
    authorization: String,
    message: announce::Announce,
}

/// Starts a fake announce listener. Returns its address and a channel of the received heartbeats.
async fn announce_listener() -> (net::SocketAddr, mpsc::UnboundedReceiver<Received>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            let service =
                service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
                    let sender = sender.clone();
                    async move {
                        let authorization = request.headers()["authorization"].to_str().unwrap();
                        let authorization = authorization.to_owned();
                        let path = request.uri().path().to_owned();
                        let body = request.into_body().collect().await.unwrap().to_bytes();
                        let message = serde_json::from_slice(&body).unwrap();
                        let _ = sender.send(Received {
                            path,
                            authorization,
                            message,
                        });
                        Ok::<_, convert::Infallible>(http::Response::new(Full::<Bytes>::default()))
                    }
                });
            let server = hyper::server::conn::http1::Builder::new();
            tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, receiver)
}

/// Returns an address on which nothing listens.
async fn unused_address() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn heartbeats_reach_the_next_host_and_announce_restarts() {
    let (address, mut received) = announce_listener().await;
    let secret = auth::Secret::new("s3cret");
    let mut settings = settings("desk-1", true);
    settings.announce = Some(target::Recipients {
        hosts: vec![unused_address().await, address],
        secret: secret.clone(),
    });
    let harness = harness(settings).await;
    let first = received.recv().await.unwrap();
    assert_eq!(first.path, "/announce");
    assert_eq!(first.authorization, secret.header());
    assert_eq!(first.message.target, "desk-1");
    assert_eq!(first.message.address, harness.target.address().to_string());
    assert_eq!(first.message.slots.get(), 3);
    assert!(first.message.checks_tokens);
    harness.target.set_state(announce::State::Draining);
    harness.target.restart();
    harness.target.set_state(announce::State::Leaving);
    loop {
        let next = received.recv().await.unwrap().message;
        if next.incarnation > first.message.incarnation {
            assert_eq!(next.state, Some(announce::State::Leaving));
            break;
        }
    }
}
