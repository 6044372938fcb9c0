//! One attempt to run a request at a target: sends the request and receives the answer.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::Channel;
use tokio::time;
use yucca_lane::lane;
use yucca_lane::request;
use yucca_wire::grant;
use yucca_wire::head;
use yucca_wire::id;

use crate::connection::pool;
use crate::process::lanes::grants;
use crate::process::lanes::runtime;
use crate::process::shared;
use crate::request::answer;
use crate::request::body;
use crate::request::fields;

/// An idempotent request without an answer is retried on a new connection after its remaining time
/// divided by this number: the target may be alive although the connection is broken.
const SILENCE_TIMEOUT_DIVISOR: u32 = 3;

/// Maximum number of chunks of a streaming answer that wait for the caller.
const MAX_PENDING_CHUNKS: usize = 4;

/// Time for which an overloaded target gets fewer requests if it sends no `retry-after`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Request to send in one attempt.
pub struct Sending {
    /// Id of the request.
    pub id: id::Request,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Head of the request.
    pub head: sync::Arc<head::Request>,
    /// Time at which the target should give up.
    pub deadline: time::Instant,
    /// Fencing token to send with the request.
    pub grant: id::Token,
}

/// Answer of a target.
pub struct Received {
    status: u16,
    headers: sync::Arc<[head::Field]>,
    body: Content,
}

enum Content {
    Buffered(Bytes),
    Streaming(body::Stream),
    Taken,
}

impl Received {
    /// Returns the answer for one more caller, or `None` if its streaming body was already taken.
    pub fn share(&mut self) -> Option<Self> {
        let body = match &self.body {
            Content::Buffered(bytes) => Content::Buffered(bytes.clone()),
            Content::Streaming(_) => std::mem::replace(&mut self.body, Content::Taken),
            Content::Taken => return None,
        };
        Some(Self {
            status: self.status,
            headers: sync::Arc::clone(&self.headers),
            body,
        })
    }

    /// Returns the size of a buffered answer, in bytes, or `None` if its body is streaming.
    pub fn buffered_bytes(&self) -> Option<usize> {
        let Content::Buffered(bytes) = &self.body else {
            return None;
        };
        let fields = self.headers.iter();
        let head: usize = fields
            .map(|field| field.name.len() + field.value.len())
            .sum();
        Some(head + bytes.len())
    }

    /// Converts this to the answer of the lane.
    pub fn into_answer(self, load: head::Load) -> answer::Answer {
        let verdict = head::Verdict::Answered {
            status: self.status,
            headers: self.headers.to_vec(),
        };
        let body = match self.body {
            Content::Buffered(bytes) => body::full(bytes),
            Content::Streaming(stream) => stream,
            Content::Taken => body::full(Bytes::new()),
        };
        answer::Answer {
            head: head::Answer { verdict, load },
            body,
        }
    }
}

/// Progress or end of an attempt.
pub struct Ended {
    /// Id of the request.
    pub id: id::Request,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Status of the answer, or the failure.
    pub result: Result<request::Status, request::Failure>,
    /// Answer, if one arrived.
    pub received: Option<Received>,
    /// Whether the exchange is over. If not, the head arrived and the body is still streaming.
    pub finished: bool,
    /// Time since the start of the attempt or since its previous progress report.
    pub took: Duration,
}

/// Reports an attempt as lost if it is dropped before its end.
struct Guard {
    shared: sync::Arc<shared::Shared>,
    runtime: sync::Arc<runtime::Runtime>,
    id: id::Request,
    attempt: u32,
    since: time::Instant,
    ended: bool,
}

impl Guard {
    fn end(
        &mut self,
        result: Result<request::Status, request::Failure>,
        received: Option<Received>,
        finished: bool,
    ) {
        self.ended = finished;
        let took = self.since.elapsed();
        self.since = time::Instant::now();
        self.runtime.attempt_ended(
            &self.shared,
            Ended {
                id: self.id,
                attempt: self.attempt,
                result,
                received,
                finished,
                took,
            },
        );
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Err(request::Failure::Lost), None, true);
        }
    }
}

/// Sends a request and reports the result to the lane.
pub async fn run(
    shared: sync::Arc<shared::Shared>,
    runtime: sync::Arc<runtime::Runtime>,
    sending: Sending,
) {
    let mut guard = Guard {
        shared,
        runtime: sync::Arc::clone(&runtime),
        id: sending.id,
        attempt: sending.attempt,
        since: time::Instant::now(),
        ended: false,
    };
    let exchanged = time::timeout_at(sending.deadline, exchange(&runtime, &sending)).await;
    let (mut connection, response) = match exchanged {
        Ok(Ok(exchanged)) => exchanged,
        Ok(Err(failure)) => return guard.end(Err(failure), None, true),
        Err(_) => return guard.end(Err(request::Failure::Timeout), None, true),
    };
    if !head::is_final_status(response.status().as_u16()) {
        log::info!(
            "request={} answered with an invalid status, {}",
            sending.id,
            response.status()
        );
        return guard.end(Err(request::Failure::Lost), None, true);
    }
    if let Some(failure) = refusal(&response) {
        // Close the connection without reading the body: refusals are rare.
        drop(connection);
        return guard.end(Err(failure), None, true);
    }
    let (parts, stream) = response.into_parts();
    let status = request::Status(parts.status.as_u16());
    let received = |body| Received {
        status: status.0,
        headers: fields::end_to_end(&parts.headers).into(),
        body,
    };
    match time::timeout_at(sending.deadline, body::Payload::read(stream)).await {
        Ok(Ok(body::Payload::Buffered(bytes))) => {
            guard.end(Ok(status), Some(received(Content::Buffered(bytes))), true);
            if connection.is_reusable().await {
                runtime.pool.put(connection);
            }
        }
        Ok(Ok(body::Payload::Streaming(stream))) => {
            let (sender, channel) = Channel::new(MAX_PENDING_CHUNKS);
            let streaming = Content::Streaming(channel.boxed_unsync());
            guard.end(Ok(status), Some(received(streaming)), false);
            let complete = forward_body(stream, sender, sending.deadline).await;
            let result = if complete {
                Ok(status)
            } else {
                Err(request::Failure::Lost)
            };
            guard.end(result, None, true);
            if complete && connection.is_reusable().await {
                runtime.pool.put(connection);
            }
        }
        Ok(Ok(body::Payload::Sent) | Err(_)) => guard.end(Err(request::Failure::Lost), None, true),
        Err(_) => guard.end(Err(request::Failure::Timeout), None, true),
    }
}

/// Forwards a streaming body and returns whether it was complete and completely consumed.
async fn forward_body(
    mut stream: body::Stream,
    mut sender: http_body_util::channel::Sender<Bytes, body::Error>,
    deadline: time::Instant,
) -> bool {
    loop {
        match time::timeout_at(deadline, stream.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => {
                if sender.send(frame).await.is_err() {
                    return false;
                }
            }
            Ok(Some(Err(error))) => {
                sender.abort(error);
                return false;
            }
            Err(_) => {
                sender.abort(body::Error::Deadline);
                return false;
            }
        }
    }
}

type Exchanged = (pool::Connection, http::Response<body::Stream>);

async fn exchange(
    runtime: &sync::Arc<runtime::Runtime>,
    sending: &Sending,
) -> Result<Exchanged, request::Failure> {
    // A retry gets a new connection and a non-idempotent request one that was used recently: a
    // connection that was idle for longer may be broken.
    let new_connection = sending.attempt > 1;
    let taken = if new_connection {
        runtime.pool.dial().await
    } else if sending.head.idempotent {
        runtime.pool.take().await
    } else {
        runtime.pool.take_recent().await
    };
    let connection = taken.map_err(|_| request::Failure::ConnectFailed)?;
    match send(runtime, sending, connection).await {
        Err(pool::Error::Unsent(_)) if !new_connection => {
            // The target had closed the idle connection and nothing was sent: open a new one.
            let dialled = runtime.pool.dial().await;
            let connection = dialled.map_err(|_| request::Failure::ConnectFailed)?;
            send(runtime, sending, connection).await.map_err(to_failure)
        }
        other => other.map_err(to_failure),
    }
}

fn to_failure(error: pool::Error) -> request::Failure {
    match error {
        pool::Error::Dial(_) | pool::Error::Unsent(_) => request::Failure::ConnectFailed,
        pool::Error::Lost(_) | pool::Error::Silent => request::Failure::Lost,
    }
}

async fn send(
    runtime: &sync::Arc<runtime::Runtime>,
    sending: &Sending,
    mut connection: pool::Connection,
) -> Result<Exchanged, pool::Error> {
    let Some(stream) = runtime.body(sending.id) else {
        return Err(pool::Error::Silent);
    };
    let request = build_request(sending, stream);
    if !sending.head.idempotent || sending.attempt > 1 {
        let response = connection.send(request).await?;
        return Ok((connection, response));
    }
    let left = sending
        .deadline
        .saturating_duration_since(time::Instant::now());
    match time::timeout(left / SILENCE_TIMEOUT_DIVISOR, connection.send(request)).await {
        Ok(sent) => {
            let response = sent?;
            Ok((connection, response))
        }
        Err(_) => {
            metrics::counter!("yucca_silent_connections_total").increment(1);
            runtime.pool.clear();
            Err(pool::Error::Silent)
        }
    }
}

fn build_request(sending: &Sending, stream: body::Stream) -> http::Request<body::Stream> {
    let head = &sending.head;
    let mut request = http::Request::new(stream);
    *request.method_mut() = head.method.parse().unwrap_or_default();
    *request.uri_mut() = head.uri.parse().unwrap_or_default();
    let headers = request.headers_mut();
    fields::extend(headers, &head.headers);
    let left = sending
        .deadline
        .saturating_duration_since(time::Instant::now());
    let added = [
        (grant::TOKEN_HEADER, sending.grant.to_string()),
        (grant::REQUEST_HEADER, sending.id.to_string()),
        (grant::DEADLINE_HEADER, left.as_millis().to_string()),
    ];
    for (name, value) in added {
        if let Ok(value) = http::HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    if !headers.contains_key(http::header::HOST) {
        headers.insert(http::header::HOST, http::HeaderValue::from_static("target"));
    }
    request
}

/// Returns the failure if a target refused a request before running it.
fn refusal(response: &http::Response<body::Stream>) -> Option<request::Failure> {
    response.headers().get(grant::REFUSED_HEADER)?;
    if response.status() != http::StatusCode::SERVICE_UNAVAILABLE {
        return Some(request::Failure::Refused);
    }
    let after = response.headers().get(http::header::RETRY_AFTER);
    let seconds = after.and_then(|value| value.to_str().ok()?.parse().ok());
    Some(request::Failure::Shed {
        retry_after: seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs),
    })
}

/// Probes the target over a new connection and reports the result to the lane.
pub async fn probe_target(
    shared: &sync::Arc<shared::Shared>,
    runtime: &sync::Arc<runtime::Runtime>,
) {
    let input = if grants::probe(runtime).await {
        lane::Input::Alive
    } else {
        lane::Input::Silent
    };
    runtime.step(shared, input);
}
