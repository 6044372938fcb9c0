//! Connections that are kept open, and opened again when they break or fall silent.

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

/// The most bytes of one message.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// A message of fewer bytes is sent as it is.
const COMPRESSED_BYTES: usize = 4 << 10;

/// Begins a frame that holds a message as it is.
const PLAIN: u8 = 0;

/// Begins a frame that holds a compressed message.
const COMPRESSED: u8 = 1;

/// The most messages that wait on one connection; further ones are lost.
const QUEUE_MESSAGES: usize = 1024;

/// How long a connection may be idle before a ping is sent.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(700);

/// A connection on which nothing came for longer is dead.
const SILENCE: time::Duration = time::Duration::from_millis(1_800);

/// How long opening a connection may take.
const CONNECT_PATIENCE: time::Duration = time::Duration::from_millis(800);

/// A message that waited for longer until its connection was open is out of date.
const STALE: time::Duration = time::Duration::from_millis(500);

/// The pause before a connection is opened again.
const REOPEN_PAUSE: time::Duration = time::Duration::from_millis(120);

/// The longest such pause, while it can't be opened.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(1_000);

static NEXT_ID: atomic::AtomicU64 = atomic::AtomicU64::new(1);

/// Identifies a connection in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(u64);

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "c{}", self.0)
    }
}

/// What happens on connections.
#[derive(Debug)]
pub enum Event {
    /// The other side said who it is.
    Opened {
        /// The connection.
        link: Link,
        /// The other side.
        peer: message::Hello,
    },
    /// A message came.
    Message {
        /// The connection.
        id: Id,
        /// The message.
        message: message::Message,
    },
    /// The connection has ended.
    Closed {
        /// The connection.
        id: Id,
        /// Why.
        reason: String,
    },
}

/// The sending side of a connection.
#[derive(Debug, Clone)]
pub struct Link {
    /// The connection.
    pub id: Id,
    queue: mpsc::Sender<Queued>,
}

/// A message and when it was queued.
type Queued = (tokio::time::Instant, message::Message);

impl Link {
    /// Queues a message without waiting. Returns false where the queue is full or the connection
    /// has ended; the message is lost then.
    pub fn send(&self, message: message::Message) -> bool {
        self.queue
            .try_send((tokio::time::Instant::now(), message))
            .is_ok()
    }
}

/// A connection that is opened again until this is dropped.
#[derive(Debug)]
pub struct Dialer {
    queue: mpsc::Sender<Queued>,
    task: task::AbortHandle,
}

impl Dialer {
    /// Keeps a connection to `address` open.
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

    /// Queues a message without waiting; it may be lost.
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
    let mut pause = REOPEN_PAUSE;
    loop {
        let connected = tokio::time::timeout(CONNECT_PATIENCE, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            pause = REOPEN_PAUSE;
            let link = new_link(queue.clone());
            let id = link.id;
            let reason = run(stream, &hello, link, &events, &mut outgoing).await;
            if events.send(Event::Closed { id, reason }).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Takes connections of other processes until the listener's task ends.
pub async fn accept(listener: TcpListener, hello: message::Hello, events: mpsc::Sender<Event>) {
    let mut tasks = task::JoinSet::new();
    loop {
        let accepted = listener.accept().await;
        while tasks.try_join_next().is_some() {}
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("mesh accept failed: {error}");
                tokio::time::sleep(REOPEN_PAUSE).await;
                continue;
            }
        };
        let (hello, events) = (hello.clone(), events.clone());
        tasks.spawn(async move {
            let (queue, mut outgoing) = mpsc::channel(QUEUE_MESSAGES);
            let link = new_link(queue);
            let id = link.id;
            let reason = run(stream, &hello, link, &events, &mut outgoing).await;
            // The owner is gone only when the process ends.
            events.send(Event::Closed { id, reason }).await.ok();
        });
    }
}

fn new_link(queue: mpsc::Sender<Queued>) -> Link {
    let id = Id(NEXT_ID.fetch_add(1, atomic::Ordering::Relaxed));
    Link { id, queue }
}

/// Carries messages until the connection ends, and tells why it did.
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
    let mut heard = tokio::time::Instant::now();
    let mut sent = heard;
    loop {
        tokio::select! {
            frame = source.next() => {
                let message = match read(frame) {
                    Ok(message) => message,
                    Err(reason) => return reason,
                };
                heard = tokio::time::Instant::now();
                let event = match (message, &mut link) {
                    (message::Message::Hello(peer), link @ Some(_)) => match link.take() {
                        Some(link) => Event::Opened { link, peer },
                        None => continue,
                    },
                    (message::Message::Ping, _) => continue,
                    (message, _) => Event::Message { id, message },
                };
                if events.send(event).await.is_err() {
                    return "the process ends".into();
                }
            }
            message = outgoing.recv() => {
                let Some((queued, message)) = message else {
                    return "no longer needed".into();
                };
                if queued.elapsed() > STALE {
                    continue;
                }
                if let Err(reason) = write_in_time(&mut sink, &message).await {
                    return reason;
                }
                sent = tokio::time::Instant::now();
            }
            () = tokio::time::sleep_until(sent + PING_INTERVAL) => {
                if let Err(reason) = write_in_time(&mut sink, &message::Message::Ping).await {
                    return reason;
                }
                sent = tokio::time::Instant::now();
            }
            () = tokio::time::sleep_until(heard + SILENCE) => {
                return "the other side is silent".into();
            }
        }
    }
}

async fn write_in_time<S>(sink: &mut S, message: &message::Message) -> Result<(), String>
where
    S: futures_util::Sink<Bytes, Error = std::io::Error> + Unpin,
{
    let written = tokio::time::timeout(SILENCE, write(sink, message)).await;
    written.unwrap_or_else(|_| Err("the other side does not read".into()))
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
    let frame = frame.ok_or("the other side closed it")?;
    let frame = frame.map_err(|error| error.to_string())?;
    decode(&frame).map_err(|error| format!("unreadable message: {error}"))
}

/// Encodes a message, behind a byte that tells whether it is compressed. A whole state has the same
/// names again and again, and links may be thin.
fn encode(message: &message::Message) -> Result<Bytes, rmp_serde::encode::Error> {
    let mut frame = vec![PLAIN];
    rmp_serde::encode::write(&mut frame, message)?;
    if frame.len() < COMPRESSED_BYTES {
        return Ok(frame.into());
    }
    let mut compressed = vec![COMPRESSED];
    compressed.extend(lz4_flex::compress_prepend_size(&frame[1..]));
    Ok(compressed.into())
}

fn decode(frame: &[u8]) -> Result<message::Message, String> {
    let (kind, body) = frame.split_first().ok_or("it is empty")?;
    let decoded = match *kind {
        PLAIN => rmp_serde::from_slice(body),
        COMPRESSED => {
            // The size that the frame claims is what would be allocated.
            let (size, _) = lz4_flex::block::uncompressed_size(body).map_err(|e| e.to_string())?;
            if size > MAX_FRAME_BYTES {
                return Err(format!("it claims {size} bytes"));
            }
            let body = lz4_flex::decompress_size_prepended(body).map_err(|e| e.to_string())?;
            rmp_serde::from_slice(&body)
        }
        other => return Err(format!("its form {other} is unknown")),
    };
    decoded.map_err(|error| error.to_string())
}
