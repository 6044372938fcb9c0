//! One request to one target.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header, response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::body;
use crate::entry::pool;

/// Maximum idle time of a connection on which a request that must not run twice is sent. One that
/// was idle for longer may be broken, and if it fails after the request was written, it is unknown
/// whether the request ran.
const NON_IDEMPOTENT_MAX_IDLE: time::Duration = time::Duration::from_millis(1_500);

/// Maximum size of the body of an answer, in bytes. A faulty target may write without end.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Number of bytes that a target may send before the end of the head of its answer, and from then on.
/// This includes what the HTTP library drops: interim answers, and the frame of each chunk.
const MAX_BYTES_BEFORE_ANSWER: usize = 4 * pool::MAX_HEAD_BYTES;
const MAX_BYTES_OF_ANSWER: usize = 4 * MAX_BODY_BYTES;

/// Maximum idle time that is believed. Targets without a limit may state any number of seconds.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(60 * 60);

/// A complete answer.
pub struct Answer {
    /// Its head.
    pub parts: response::Parts,
    /// Its body.
    pub body: Bytes,
    /// The connection, unless the target closes it. The caller gives it back to the pool if the answer
    /// can be trusted: after the answer to another request, what follows may be behind by one.
    pub connection: Option<pool::Connection>,
}

/// Result of a request to a target.
pub enum Exchange {
    /// A complete answer arrived.
    Answer(Box<Answer>),
    /// The request is known not to have been sent, for this reason.
    NotSent(String),
    /// The request was sent or may have been, and no complete answer arrived, for this reason.
    Lost(String),
}

/// Request to send.
pub struct Outgoing<'a> {
    /// Id of the request.
    pub id: &'a Bytes,
    /// The address of the target.
    pub address: net::SocketAddr,
    /// The request.
    pub request: Request<Full<Bytes>>,
    /// Whether it may run twice.
    pub idempotent: bool,
}

/// Sends a request and waits for the complete answer. If the future is dropped, the connection is
/// closed, which stops the work at the target.
pub async fn run(
    pool: &pool::Pool,
    bodies: &sync::Arc<body::Budget>,
    outgoing: Outgoing<'_>,
) -> Exchange {
    let within = if outgoing.idempotent {
        time::Duration::MAX
    } else {
        NON_IDEMPOTENT_MAX_IDLE
    };
    let mut request = outgoing.request;
    let address = outgoing.address;
    while let Some(mut connection) = pool.take(address, within, outgoing.id).await {
        connection.allowance.set(MAX_BYTES_BEFORE_ANSWER);
        match connection.sender.try_send_request(request).await {
            Ok(answer) => return collect(connection, bodies, answer).await,
            Err(mut error) => match error.take_message() {
                // The connection had ended before anything was written.
                Some(unsent) => request = unsent,
                None => return Exchange::Lost(error.into_error().to_string()),
            },
        }
    }
    let mut connection = match pool.open(address).await {
        Ok(connection) => connection,
        Err(reason) => return Exchange::NotSent(reason),
    };
    connection.allowance.set(MAX_BYTES_BEFORE_ANSWER);
    match connection.sender.try_send_request(request).await {
        Ok(answer) => collect(connection, bodies, answer).await,
        Err(mut error) => match error.take_message() {
            Some(_) => Exchange::NotSent(error.into_error().to_string()),
            None => Exchange::Lost(error.into_error().to_string()),
        },
    }
}

async fn collect(
    mut connection: pool::Connection,
    bodies: &sync::Arc<body::Budget>,
    answer: Response<Incoming>,
) -> Exchange {
    connection.allowance.set(MAX_BYTES_OF_ANSWER);
    let (parts, mut incoming) = answer.into_parts();
    let body = match body::read(&mut incoming, bodies, || MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return Exchange::Lost(format!("the answer {error}")),
    };
    connection.idle_time = keep_alive(&parts.headers);
    let kept = !closes(&parts.headers);
    Exchange::Answer(Box::new(Answer {
        parts,
        body,
        connection: kept.then_some(connection),
    }))
}

fn closes(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns how long the target keeps an idle connection open, if the answer says so.
fn keep_alive(headers: &HeaderMap) -> Option<time::Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    let seconds = seconds.trim().parse().ok().map(time::Duration::from_secs);
    seconds.map(|idle| idle.min(MAX_IDLE_TIME))
}
