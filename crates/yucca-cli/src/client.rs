//! HTTP client for the operator listener of a control process.

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

/// Timeout of a request. It leaves time for a ticket to wait for a leader.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Client of one control process.
#[derive(Debug, Clone)]
pub struct Client {
    authority: String,
    secret: auth::Secret,
    sender: String,
}

/// HTTP response of a control process.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body; null if it is empty.
    pub body: serde_json::Value,
}

impl Client {
    /// Creates a client of the control process at `operator`, such as `http://127.0.0.1:9100`.
    pub fn new(operator: &str, secret: auth::Secret, sender: String) -> Self {
        let authority = operator.trim_start_matches("http://").trim_end_matches('/');
        Self {
            authority: authority.into(),
            secret,
            sender,
        }
    }

    /// Sends a GET request and returns the body of the response.
    ///
    /// # Errors
    /// Returns an error if the process cannot be reached, refuses the request, or sends a body that
    /// is not JSON.
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

    /// Sends a POST request and returns the response, whatever its status.
    ///
    /// # Errors
    /// Returns an error if the process cannot be reached or sends a body that is not JSON.
    pub async fn post(
        &self,
        path: &str,
        content_type: &str,
        text: Bytes,
    ) -> Result<Response, Error> {
        self.send(http::Method::POST, path, Some(content_type), text)
            .await
    }

    async fn send(
        &self,
        method: http::Method,
        path: &str,
        content_type: Option<&str>,
        text: Bytes,
    ) -> Result<Response, Error> {
        let mut builder = http::Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, &self.authority)
            .header(header::AUTHORIZATION, self.secret.header())
            .header(auth::SENDER_HEADER, &self.sender);
        if let Some(content_type) = content_type {
            builder = builder.header(header::CONTENT_TYPE, content_type);
        }
        let request = builder
            .body(Full::new(text))
            .map_err(|error| self.unreachable(error.to_string()))?;
        match time::timeout(TIMEOUT, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(self.unreachable("the request timed out".into())),
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
