//! The HTTP client of the load tool.

use std::fmt;
use std::net;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;
use yucca_wire::grant;
use yucca_wire::id;
use yucca_wire::problem;

use super::trace;

/// Header with the service time for a mock target, in microseconds.
const WORK_HEADER: &str = "x-work-us";

/// Maximum number of idle connections in the pool for each address.
const MAX_IDLE: usize = 4096;

/// Why a request has no usable response.
#[derive(Debug)]
pub enum Error {
    /// The request is malformed.
    Request(http::Error),
    /// The request could not be sent, or its response could not be read.
    Exchange {
        /// Address of the server.
        address: net::SocketAddr,
        /// Error message of the HTTP client.
        reason: String,
    },
    /// The response is not as expected.
    Response {
        /// Address of the server.
        address: net::SocketAddr,
        /// What is wrong with the response.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(error) => write!(f, "malformed request: {error}"),
            Self::Exchange { address, reason } => {
                write!(f, "no response from {address}: {reason}; is it running?")
            }
            Self::Response { address, reason } => {
                write!(f, "unexpected response from {address}: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// The parts of a response that the load tool uses.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Target that ran the request, if the response names it.
    pub target: Option<id::Target>,
    /// Outcome of the request, if yuccahill itself answered or a target refused the request.
    pub outcome: Option<problem::Outcome>,
}

/// HTTP/1.1 client with a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = legacy::Client::builder(rt::TokioExecutor::new());
        builder.pool_max_idle_per_host(MAX_IDLE);
        Self {
            inner: builder.build(connector),
        }
    }
}

impl Client {
    /// Sends an arrival to an address and reads the complete response.
    ///
    /// # Errors
    /// Fails if the request is malformed or there is no complete response.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        arrival: &trace::Arrival,
    ) -> Result<Reply, Error> {
        let request = http::Request::builder()
            .method(arrival.method)
            .uri(format!("http://{address}{}", arrival.path))
            .header(WORK_HEADER, arrival.work.as_micros() as u64)
            .header(grant::DEADLINE_HEADER, arrival.deadline.as_millis() as u64)
            .body(Full::default());
        let response = self
            .exchange(address, request.map_err(Error::Request)?)
            .await?;
        Ok(Reply {
            status: response.status().as_u16(),
            target: header(&response, "x-target").and_then(|name| name.parse().ok()),
            outcome: outcome(&response),
        })
    }

    /// Fetches JSON from an address.
    ///
    /// # Errors
    /// Fails if there is no complete response or it can't be decoded.
    pub async fn get<T: serde::de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let request = http::Request::get(format!("http://{address}{path}")).body(Full::default());
        let response = self
            .exchange(address, request.map_err(Error::Request)?)
            .await?;
        serde_json::from_slice(response.body()).map_err(|error| Error::Response {
            address,
            reason: error.to_string(),
        })
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Bytes>, Error> {
        let failed = |reason: String| Error::Exchange { address, reason };
        let response = self.inner.request(request).await;
        let (head, body) = response
            .map_err(|error| failed(error.to_string()))?
            .into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| failed(error.to_string()))?.to_bytes();
        Ok(http::Response::from_parts(head, body))
    }
}

fn outcome(response: &http::Response<Bytes>) -> Option<problem::Outcome> {
    if response.headers().contains_key(grant::REFUSED_HEADER) {
        return Some(problem::Outcome::NotRun);
    }
    header(response, problem::OUTCOME_HEADER)?.parse().ok()
}

fn header<'a>(response: &'a http::Response<Bytes>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}
