//! Calls over HTTP.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::rt;
use yucca_wire::{auth, codec};

use crate::peer;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Maximum number of idle connections to one process.
const MAX_IDLE: usize = 4;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Calls other control processes over HTTP/1.1.
///
/// A call that times out closes its connection, so that a connection that no longer responds is not
/// used again.
#[derive(Debug, Clone)]
pub struct Client {
    client: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    authorization: String,
}

impl Client {
    /// Returns a client that sends `secret` and connects from the address `local`, if any.
    pub fn new(secret: &auth::Secret, local: Option<net::IpAddr>) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(local);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE)
            .pool_timer(rt::TokioTimer::new())
            .build(connector);
        Self {
            client,
            authorization: secret.header(),
        }
    }

    async fn exchange(&self, call: peer::Call) -> Result<Bytes, peer::Error> {
        let peer::Call {
            to, path, frame, ..
        } = call;
        let failed = |reason: String| peer::Error::Connection { to, reason };
        let request = http::Request::post(format!("http://{to}{path}"))
            .header(http::header::AUTHORIZATION, &self.authorization)
            .body(Full::new(frame))
            .map_err(|error| failed(error.to_string()))?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| failed(describe(&error)))?;
        let status = response.status();
        let body = Limited::new(
            response.into_body(),
            codec::PREFIX_BYTES + codec::MAX_BODY_BYTES,
        );
        let body = body.collect().await;
        let body = body.map_err(|error| failed(error.to_string()))?.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        Err(peer::Error::Refused {
            to,
            status: status.as_u16(),
            reason: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

fn describe(error: &legacy::Error) -> String {
    let cause = std::error::Error::source(error);
    cause.map_or_else(|| error.to_string(), ToString::to_string)
}

impl peer::Peer for Client {
    fn call(&self, call: peer::Call) -> peer::Answer<'_> {
        Box::pin(async move {
            let (to, timeout) = (call.to, call.timeout);
            let answer = tokio::time::timeout(timeout, self.exchange(call)).await;
            answer.unwrap_or(Err(peer::Error::Timeout { to }))
        })
    }
}
