//! What the status of a peer's answer says of the request: whether it may have run.
#![allow(clippy::unwrap_used)]

use std::convert;
use std::net;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service;
use hyper_util::rt;
use test_case::test_case;
use tokio::net::TcpListener;
use yucca_entry::connection::peers;
use yucca_entry::request::body;
use yucca_wire::auth;

/// Starts a peer that answers each `POST` with a status, after it has read the request.
async fn start_peer(status: StatusCode) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = move |request: Request<Incoming>| async move {
                let posted = request.method() == http::Method::POST;
                request.into_body().collect().await.unwrap();
                let mut response = Response::new(Full::new(Bytes::new()));
                if posted {
                    *response.status_mut() = status;
                }
                Ok::<_, convert::Infallible>(response)
            };
            let connection = http2::Builder::new(rt::TokioExecutor::new())
                .serve_connection(rt::TokioIo::new(stream), service::service_fn(answer));
            tokio::spawn(connection);
        }
    });
    address
}

/// A request that a peer failed to answer may have run there, so it must not run elsewhere.
#[test_case(StatusCode::UNAUTHORIZED, true)]
#[test_case(StatusCode::BAD_REQUEST, true)]
#[test_case(StatusCode::NOT_FOUND, true)]
#[test_case(StatusCode::INTERNAL_SERVER_ERROR, false)]
#[test_case(StatusCode::BAD_GATEWAY, false)]
#[test_case(StatusCode::SERVICE_UNAVAILABLE, false)]
#[tokio::test]
async fn only_a_rejection_means_not_sent(status: StatusCode, not_sent: bool) {
    let address = start_peer(status).await;
    let peers = peers::Peers::new(&auth::Secret::new("a secret of these tests"));
    let body = body::full(Bytes::from_static(b"work"));
    let error = peers.post(address, "/lane/request", body).await.err();
    assert_eq!(error.unwrap().not_sent(), not_sent);
}
