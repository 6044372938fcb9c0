//! Talks to the operator listener of a control process.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net::TcpStream;
use tokio::time;
use yucca_wire::auth;

use crate::error::Error;

/// How long one request may take: a ticket may wait for a leader.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A client of one control process.
#[derive(Debug, Clone)]
pub struct Client {
    authority: String,
    secret: auth::Secret,
    sender: String,
}

/// HTTP response of a control process.
#[derive(Debug, Clone)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: serde_json::Value,
}

impl Client {
    /// Returns a client of the control process at `operator`, such as `http://127.0.0.1:9100`.
    pub fn new(operator: &str, secret: auth::Secret, sender: String) -> Self {
        let authority = operator.trim_start_matches("http://").trim_end_matches('/');
        Self {
            authority: authority.into(),
            secret,
            sender,
        }
    }

    /// Asks for a path and returns the answer's body.
    ///
    /// # Errors
    /// Fails where the process cannot be reached or refuses.
    pub async fn get(&self, path: &str) -> Result<serde_json::Value, Error> {
        let response = self
            .send(http::Method::GET, path, None, Bytes::new())
            .await?;
        if response.status >= 300 {
            return Err(Error::Refused {
                status: response.status,
                problem: response.body,
            });
        }
        Ok(response.body)
    }

    /// Posts a text and returns the answer, whatever its status.
    ///
    /// # Errors
    /// Fails where the process cannot be reached.
    pub async fn post(&self, path: &str, kind: &str, text: Bytes) -> Result<Response, Error> {
        self.send(http::Method::POST, path, Some(kind), text).await
    }

    async fn send(
        &self,
        method: http::Method,
        path: &str,
        kind: Option<&str>,
        text: Bytes,
    ) -> Result<Response, Error> {
        let mut builder = http::Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, &self.authority)
            .header(header::AUTHORIZATION, self.secret.header())
            .header(auth::SENDER_HEADER, &self.sender);
        if let Some(kind) = kind {
            builder = builder.header(header::CONTENT_TYPE, kind);
        }
        let request = builder
            .body(Full::new(text))
            .map_err(|error| self.unreachable(error.to_string()))?;
        match time::timeout(TIMEOUT, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(self.unreachable("no answer in time".into())),
        }
    }

    async fn exchange(&self, request: http::Request<Full<Bytes>>) -> Result<Response, Error> {
        let stream = TcpStream::connect(&self.authority)
            .await
            .map_err(|error| self.unreachable(error.to_string()))?;
        let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|error| self.unreachable(error.to_string()))?;
        let driver = tokio::spawn(connection);
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| self.unreachable(error.to_string()))?;
        let status = response.status().as_u16();
        let collected = response
            .into_body()
            .collect()
            .await
            .map_err(|error| self.unreachable(error.to_string()))?;
        driver.abort();
        let bytes = collected.to_bytes();
        let body = if bytes.is_empty() {
            serde_json::Value::Null
        } else {
            serde_json::from_slice(&bytes).map_err(|error| Error::InvalidResponse {
                reason: error.to_string(),
            })?
        };
        Ok(Response { status, body })
    }

    fn unreachable(&self, reason: String) -> Error {
        Error::Unreachable {
            operator: self.authority.clone(),
            reason,
        }
    }
}
