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

/// The header by which the load tool states the service time, in microseconds.
const WORK_HEADER: &str = "x-work-us";

/// How many idle connections are kept for each address.
const MAX_IDLE: usize = 4096;

/// Why there is no answer.
#[derive(Debug)]
pub enum Error {
    /// The request is malformed.
    Request(http::Error),
    /// It could not be sent, or its answer not be read.
    Exchange {
        /// The address.
        address: net::SocketAddr,
        /// What the client says.
        reason: String,
    },
    /// The answer is not what the tool expects.
    Answer {
        /// The address.
        address: net::SocketAddr,
        /// What is wrong.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(error) => write!(f, "malformed request: {error}"),
            Self::Exchange { address, reason } => {
                write!(f, "no answer from {address}: {reason}; is it running?")
            }
            Self::Answer { address, reason } => {
                write!(f, "unexpected answer from {address}: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// An answer as far as the tool cares.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The target that ran it.
    pub target: Option<id::Target>,
    /// What became of it, where yuccahill itself or a target that refused answered.
    pub outcome: Option<problem::Outcome>,
}

/// An HTTP/1.1 client with its pool of connections.
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
    /// Sends an arrival to an address and reads the whole answer.
    ///
    /// # Errors
    /// Fails where there is no whole answer.
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
        let answer = self
            .exchange(address, request.map_err(Error::Request)?)
            .await?;
        Ok(Reply {
            status: answer.status().as_u16(),
            target: text(&answer, "x-target").and_then(|name| name.parse().ok()),
            outcome: outcome(&answer),
        })
    }

    /// Fetches JSON from an address.
    ///
    /// # Errors
    /// Fails where there is no whole answer or it does not decode.
    pub async fn get<T: serde::de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let request = http::Request::get(format!("http://{address}{path}")).body(Full::default());
        let answer = self
            .exchange(address, request.map_err(Error::Request)?)
            .await?;
        serde_json::from_slice(answer.body()).map_err(|error| Error::Answer {
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
        let answer = self.inner.request(request).await;
        let (head, body) = answer
            .map_err(|error| failed(error.to_string()))?
            .into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| failed(error.to_string()))?.to_bytes();
        Ok(http::Response::from_parts(head, body))
    }
}

fn outcome(answer: &http::Response<Bytes>) -> Option<problem::Outcome> {
    if answer.headers().contains_key(grant::REFUSED_HEADER) {
        return Some(problem::Outcome::NotRun);
    }
    text(answer, problem::OUTCOME_HEADER)?.parse().ok()
}

fn text<'a>(answer: &'a http::Response<Bytes>, name: &str) -> Option<&'a str> {
    answer.headers().get(name)?.to_str().ok()
}
