//! HTTP/1.1 messages over blocking sockets.

use std::io::{Read, Write};
use std::net;
use std::time::{Duration, Instant};

/// A message that was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }
}

/// Why no message was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The peer closed the connection before the first byte.
    Closed,
    /// The connection ended or broke within the message, or was reset.
    Broken,
    /// The time has passed.
    TimedOut,
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: net::TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: net::TcpStream) -> Self {
        // Without this option messages are only delayed.
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Opens a connection.
    pub fn open(address: net::SocketAddr, within: Duration) -> std::io::Result<Self> {
        net::TcpStream::connect_timeout(&address, within).map(Self::new)
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a message with its body, until `end`.
    pub fn read(&mut self, end: Instant) -> Result<Message, End> {
        let head_length = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill(end)? == 0 {
                return Err(if self.buffer.is_empty() {
                    End::Closed
                } else {
                    End::Broken
                });
            }
        };
        let head: Vec<u8> = self.buffer.drain(..head_length).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
        let chunked = message.header("transfer-encoding") == Some("chunked");
        message.body = if chunked {
            self.chunks(end)?
        } else {
            let length = message.header("content-length").unwrap_or("0");
            self.exactly(length.parse().map_err(|_| End::Broken)?, end)?
        };
        Ok(message)
    }

    fn chunks(&mut self, end: Instant) -> Result<Vec<u8>, End> {
        let mut body = Vec::new();
        loop {
            let line = self.line(end)?;
            let size = line.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| End::Broken)?;
            if size == 0 {
                while !self.line(end)?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.exactly(size, end)?);
            self.line(end)?;
        }
    }

    fn line(&mut self, end: Instant) -> Result<String, End> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill(end)? == 0 {
                return Err(End::Broken);
            }
        }
    }

    fn exactly(&mut self, length: usize, end: Instant) -> Result<Vec<u8>, End> {
        while self.buffer.len() < length {
            if self.fill(end)? == 0 {
                return Err(End::Broken);
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads some bytes and returns their number; 0 at the end of the stream.
    fn fill(&mut self, end: Instant) -> Result<usize, End> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(End::TimedOut);
        }
        self.stream
            .set_read_timeout(Some(left))
            .map_err(|_| End::Broken)?;
        let mut bytes = [0; 64 << 10];
        match self.stream.read(&mut bytes) {
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(count)
            }
            Err(error) => match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Err(End::TimedOut),
                std::io::ErrorKind::Interrupted => self.fill(end),
                _ => Err(End::Broken),
            },
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Calls a control host on a new connection and follows up to two redirects. Returns the answer, if
/// one arrives within a second.
pub fn call(mut address: net::SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let end = Instant::now() + Duration::from_secs(1);
    for _ in 0..3 {
        let left = end.checked_duration_since(Instant::now())?;
        if left.is_zero() {
            return None;
        }
        let mut connection = Connection::open(address, left).ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        connection.send(request.as_bytes()).ok()?;
        let answer = connection.read(end).ok()?;
        if answer.status() != 307 {
            return Some(answer);
        }
        let location = answer.header("location")?;
        address = location
            .strip_prefix("http://")?
            .split('/')
            .next()?
            .parse()
            .ok()?;
    }
    None
}
