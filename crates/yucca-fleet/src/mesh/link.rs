//! Connections that stay open and are opened again when they break or nothing arrives on them.

use std::net;
use std::sync::atomic;
use std::time;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::mesh::message;

/// Maximum size of one message.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Minimum size of a message to compress.
const COMPRESSION_MIN_BYTES: usize = 4 << 10;

/// First byte of a frame with an uncompressed message.
const PLAIN: u8 = 0;

/// First byte of a frame with a compressed message.
const COMPRESSED: u8 = 1;

/// Maximum number of messages queued on one connection; further ones are dropped.
const QUEUE_MESSAGES: usize = 1024;

/// Time without an outgoing message after which a ping is sent.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(700);

/// Time without an incoming message, or for one write, after which the connection is closed.
const CONTACT_TIMEOUT: time::Duration = time::Duration::from_millis(1_800);

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Maximum time that a message waits in the queue, for example until its connection is open. An
/// older message is out of date and is dropped.
const MAX_QUEUE_TIME: time::Duration = time::Duration::from_millis(500);

/// Delay before a connection is opened again, or after one could not be accepted. It doubles with
/// each failed attempt to open one.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(120);

/// Maximum delay between attempts to open a connection.
const MAX_RECONNECT_DELAY: time::Duration = time::Duration::from_millis(1_000);

static NEXT_ID: atomic::AtomicU64 = atomic::AtomicU64::new(1);

/// Identifier of a connection, unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(u64);

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "c{}", self.0)
    }
}

/// Event on a connection.
#[derive(Debug)]
pub enum Event {
    /// The peer sent its [`message::Hello`].
    Opened {
        /// The connection.
        link: Link,
        /// The peer's description of itself.
        peer: message::Hello,
    },
    /// A message arrived.
    Message {
        /// The connection.
        id: Id,
        /// The message.
        message: message::Message,
    },
    /// The connection ended.
    Closed {
        /// The connection.
        id: Id,
        /// Why it ended, for the log.
        reason: String,
    },
}

/// Sending side of a connection.
#[derive(Debug, Clone)]
pub struct Link {
    /// The connection.
    pub id: Id,
    queue: mpsc::Sender<Queued>,
}

/// Message with the time when it was queued.
type Queued = (tokio::time::Instant, message::Message);

impl Link {
    /// Queues a message without waiting. Returns false, and drops the message, if the queue is full
    /// or the connection has ended.
    pub fn send(&self, message: message::Message) -> bool {
        self.queue
            .try_send((tokio::time::Instant::now(), message))
            .is_ok()
    }
}

/// Outgoing connection that is opened again whenever it ends, until this is dropped.
#[derive(Debug)]
pub struct Dialer {
    queue: mpsc::Sender<Queued>,
    task: task::AbortHandle,
}

impl Dialer {
    /// Starts a task that keeps a connection to `address` open.
    pub fn start(
        address: net::SocketAddr,
        hello: message::Hello,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let (queue, outgoing) = mpsc::channel(QUEUE_MESSAGES);
        let task = tokio::spawn(dial(address, hello, events, queue.clone(), outgoing));
        Self {
            queue,
            task: task.abort_handle(),
        }
    }

    /// Queues a message without waiting. Returns false, and drops the message, if the queue is
    /// full. A queued message may be lost too.
    pub fn send(&self, message: message::Message) -> bool {
        self.queue
            .try_send((tokio::time::Instant::now(), message))
            .is_ok()
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn dial(
    address: net::SocketAddr,
    hello: message::Hello,
    events: mpsc::Sender<Event>,
    queue: mpsc::Sender<Queued>,
    mut outgoing: mpsc::Receiver<Queued>,
) {
    let mut delay = RECONNECT_DELAY;
    loop {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            delay = RECONNECT_DELAY;
            let link = new_link(queue.clone());
            let id = link.id;
            let reason = run(stream, &hello, link, &events, &mut outgoing).await;
            if events.send(Event::Closed { id, reason }).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Accepts connections from other processes, until the task is aborted.
pub async fn accept(listener: TcpListener, hello: message::Hello, events: mpsc::Sender<Event>) {
    let mut tasks = task::JoinSet::new();
    loop {
        let accepted = listener.accept().await;
        while tasks.try_join_next().is_some() {}
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("mesh accept failed: {error}");
                tokio::time::sleep(RECONNECT_DELAY).await;
                continue;
            }
        };
        let (hello, events) = (hello.clone(), events.clone());
        tasks.spawn(async move {
            let (queue, mut outgoing) = mpsc::channel(QUEUE_MESSAGES);
            let link = new_link(queue);
            let id = link.id;
            let reason = run(stream, &hello, link, &events, &mut outgoing).await;
            // The receiver is gone only when the process ends.
            events.send(Event::Closed { id, reason }).await.ok();
        });
    }
}

fn new_link(queue: mpsc::Sender<Queued>) -> Link {
    let id = Id(NEXT_ID.fetch_add(1, atomic::Ordering::Relaxed));
    Link { id, queue }
}

/// Sends and receives messages until the connection ends. Returns why it ended.
async fn run(
    stream: TcpStream,
    hello: &message::Hello,
    link: Link,
    events: &mpsc::Sender<Event>,
    outgoing: &mut mpsc::Receiver<Queued>,
) -> String {
    let id = link.id;
    let mut link = Some(link);
    if let Err(error) = stream.set_nodelay(true) {
        return error.to_string();
    }
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let (mut sink, mut source) = Framed::new(stream, codec).split::<Bytes>();
    if let Err(error) = write(&mut sink, &message::Message::Hello(hello.clone())).await {
        return error;
    }
    let mut last_received = tokio::time::Instant::now();
    let mut last_sent = last_received;
    loop {
        tokio::select! {
            frame = source.next() => {
                let message = match read(frame) {
                    Ok(message) => message,
                    Err(reason) => return reason,
                };
                last_received = tokio::time::Instant::now();
                let event = match (message, &mut link) {
                    (message::Message::Hello(peer), link @ Some(_)) => match link.take() {
                        Some(link) => Event::Opened { link, peer },
                        None => continue,
                    },
                    (message::Message::Ping, _) => continue,
                    (message, _) => Event::Message { id, message },
                };
                if events.send(event).await.is_err() {
                    return "the process is stopping".into();
                }
            }
            message = outgoing.recv() => {
                let Some((queued, message)) = message else {
                    return "no longer needed".into();
                };
                if queued.elapsed() > MAX_QUEUE_TIME {
                    continue;
                }
                if let Err(reason) = write_with_timeout(&mut sink, &message).await {
                    return reason;
                }
                last_sent = tokio::time::Instant::now();
            }
            () = tokio::time::sleep_until(last_sent + PING_INTERVAL) => {
                if let Err(reason) = write_with_timeout(&mut sink, &message::Message::Ping).await {
                    return reason;
                }
                last_sent = tokio::time::Instant::now();
            }
            () = tokio::time::sleep_until(last_received + CONTACT_TIMEOUT) => {
                return "the other side is silent".into();
            }
        }
    }
}

async fn write_with_timeout<S>(sink: &mut S, message: &message::Message) -> Result<(), String>
where
    S: futures_util::Sink<Bytes, Error = std::io::Error> + Unpin,
{
    let written = tokio::time::timeout(CONTACT_TIMEOUT, write(sink, message)).await;
    written.unwrap_or_else(|_| Err("the other side does not read in time".into()))
}

async fn write<S>(sink: &mut S, message: &message::Message) -> Result<(), String>
where
    S: futures_util::Sink<Bytes, Error = std::io::Error> + Unpin,
{
    let frame = encode(message).map_err(|error| error.to_string())?;
    let sent = sink.send(frame).await;
    sent.map_err(|error| error.to_string())
}

fn read(frame: Option<Result<BytesMut, std::io::Error>>) -> Result<message::Message, String> {
    let frame = frame.ok_or("the other side closed the connection")?;
    let frame = frame.map_err(|error| error.to_string())?;
    decode(&frame).map_err(|error| format!("unreadable message: {error}"))
}

/// Encodes a message after a byte that says whether it is compressed. A whole state repeats the
/// same names many times, and links may have little bandwidth.
fn encode(message: &message::Message) -> Result<Bytes, rmp_serde::encode::Error> {
    let mut frame = vec![PLAIN];
    if message.is_optional() {
        rmp_serde::encode::write(&mut frame, &message::Message::Ping)?;
    }
    rmp_serde::encode::write(&mut frame, message)?;
    if frame.len() < COMPRESSION_MIN_BYTES {
        return Ok(frame.into());
    }
    let mut compressed = vec![COMPRESSED];
    compressed.extend(lz4_flex::compress_prepend_size(&frame[1..]));
    Ok(compressed.into())
}

fn decode(frame: &[u8]) -> Result<message::Message, String> {
    let (kind, body) = frame.split_first().ok_or("empty frame")?;
    let decoded = match *kind {
        PLAIN => decode_message(body),
        COMPRESSED => {
            // Decompression allocates as many bytes as the frame claims, so the claim is limited.
            let (size, _) = lz4_flex::block::uncompressed_size(body).map_err(|e| e.to_string())?;
            if size > MAX_FRAME_BYTES {
                return Err(format!("frame claims an uncompressed size of {size} bytes"));
            }
            let body = lz4_flex::decompress_size_prepended(body).map_err(|e| e.to_string())?;
            decode_message(&body)
        }
        other => return Err(format!("unknown frame kind {other}")),
    };
    decoded.map_err(|error| error.to_string())
}

/// Decodes a message. One that is optional follows a ping; if it is unknown, only the ping counts.
fn decode_message(body: &[u8]) -> Result<message::Message, rmp_serde::decode::Error> {
    let first: message::Message = rmp_serde::from_slice(body)?;
    if first != message::Message::Ping {
        return Ok(first);
    }
    let mut rest = body;
    rmp_serde::from_read::<_, message::Message>(&mut rest)?;
    Ok(rmp_serde::from_slice(rest).unwrap_or(first))
}
