//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: a request or an answer.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn error(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// A connection with the bytes that were read too far.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    fn fill(&mut self, until: Option<Instant>) -> io::Result<usize> {
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(left)?;
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a message whose body has a length. Returns `None` if the connection ends before it.
    pub fn read(&mut self, until: Option<Instant>) -> io::Result<Option<Message>> {
        let end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(at) = found {
                break at;
            }
            if self.fill(until)? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(error("the connection ended in a head"));
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':').ok_or_else(|| error("bad header"))?;
            let pair = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(pair);
        }
        if message.header("transfer-encoding").is_some() {
            return Err(error("chunked bodies are not expected here"));
        }
        let length = message.header("content-length").unwrap_or("0");
        let length: usize = length.parse().map_err(|_| error("bad length"))?;
        while self.buffer.len() < length {
            if self.fill(until)? == 0 {
                return Err(error("the connection ended in a body"));
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    pub fn write(
        &mut self,
        first: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{first}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Calls a control address as servers and the operator do: follows a 307 twice, within `timeout`.
pub fn call(
    mut address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + timeout;
    for _ in 0..3 {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let mut connection = Connection::open(address, left)?;
        let headers = [
            ("Host", address.to_string()),
            ("Content-Type", "application/json".to_owned()),
            ("Connection", "close".to_owned()),
        ];
        connection.write(
            &format!("{method} {path} HTTP/1.1"),
            &headers,
            body.as_bytes(),
        )?;
        let answer = connection.read(Some(until))?;
        let answer = answer.ok_or_else(|| error("no answer"))?;
        if answer.status() != 307 {
            return Ok(answer);
        }
        let location = answer.header("location").unwrap_or("");
        let host = location.trim_start_matches("http://").split('/').next();
        let host = host.unwrap_or("").parse();
        address = host.map_err(|_| error("bad location"))?;
    }
    Err(error("more than two redirects"))
}
