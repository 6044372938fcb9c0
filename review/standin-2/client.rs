//! Clients.

use std::net;
use std::time::{Duration, Instant};

use crate::http::{Connection, End, Message};

/// Time that a client allows for a new connection.
const CONNECT: Duration = Duration::from_secs(1);

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    pub id: String,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: Option<u16>,
    /// Time that the client waits.
    pub deadline: Duration,
    /// Further headers, each with its line end.
    pub headers: String,
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Returns the bytes of the head.
    pub fn head(&self) -> String {
        let key = self
            .key
            .map(|key| format!("X-Shard-Key: {key}\r\n"))
            .unwrap_or_default();
        let length = if self.method == "POST" {
            format!("Content-Length: {}\r\n", self.body.len())
        } else {
            String::new()
        };
        format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n{key}{length}{}\r\n",
            self.method,
            self.path,
            self.host,
            self.id,
            self.deadline.as_millis(),
            self.headers
        )
    }
}

/// Opens a connection to an entry host.
pub fn connect(front: net::SocketAddr) -> Option<Connection> {
    Connection::open(front, CONNECT).ok()
}

/// Sends a request and waits for the answer until the deadline.
pub fn send(connection: &mut Connection, request: &Request<'_>) -> Result<Message, End> {
    let end = Instant::now() + request.deadline;
    connection
        .stream
        .set_write_timeout(Some(request.deadline))
        .map_err(|_| End::Broken)?;
    connection
        .send(request.head().as_bytes())
        .map_err(|_| End::Broken)?;
    connection.send(request.body).map_err(|_| End::Broken)?;
    connection.read(end)
}

/// Describes how a request ended.
pub fn describe(end: &Result<Message, End>) -> String {
    match end {
        Ok(answer) => {
            let signed = answer.header("x-response-signature").is_some();
            format!(
                "{}{}",
                answer.status(),
                if signed { " from a server" } else { "" }
            )
        }
        Err(End::Closed) => "connection closed".into(),
        Err(End::Broken) => "connection broken".into(),
        Err(End::TimedOut) => "no answer in time".into(),
    }
}
