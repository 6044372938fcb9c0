//! Requests of control and entry processes.

use std::sync;

use bytes::Bytes;
use futures_util::future;
use serde::Serialize;
use serde::de::DeserializeOwned;
use yucca_wire::{codec, report};

use crate::connection::listener;
use crate::message;
use crate::peer;
use crate::process::core;
use crate::process::leader;
use crate::request;
use crate::request::body;

/// The media type of frames.
const FRAME_TYPE: &str = "application/octet-stream";

/// Answers a request of a peer.
pub async fn answer(core: sync::Arc<core::Core>, request: listener::Request) -> listener::Response {
    if !request::is_authorized(&core.settings.secrets.peer, &request, "peer") {
        return refuse(
            http::StatusCode::UNAUTHORIZED,
            "send `secrets.peer` as bearer token",
        );
    }
    if request.method() != http::Method::POST {
        return refuse(http::StatusCode::METHOD_NOT_ALLOWED, "use POST");
    }
    let path = request.uri().path().to_string();
    let limit = codec::PREFIX_BYTES + codec::MAX_BODY_BYTES;
    let Some(frame) = body::read(request, limit).await else {
        count_refused("length");
        return refuse(
            http::StatusCode::BAD_REQUEST,
            "the frame is too long or truncated",
        );
    };
    let handler: &dyn peer::Handler = core.as_ref();
    match handler.handle(path, frame).await {
        Ok(frame) => body::build(http::StatusCode::OK, FRAME_TYPE, frame),
        Err(refusal) => {
            let status = http::StatusCode::from_u16(refusal.status());
            refuse(
                status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR),
                &refusal.to_string(),
            )
        }
    }
}

fn refuse(status: http::StatusCode, reason: &str) -> listener::Response {
    body::build(status, "text/plain", format!("{reason}\n").into())
}

fn count_refused(cause: &'static str) {
    metrics::counter!("yucca_control_peer_refused_total", "cause" => cause).increment(1);
}

impl peer::Handler for core::Core {
    fn handle(
        &self,
        path: String,
        frame: Bytes,
    ) -> future::BoxFuture<'_, Result<Bytes, peer::Refusal>> {
        Box::pin(async move {
            match path.as_str() {
                report::PATH => self.answer_report(&frame).await,
                message::LOG_PATH => self.answer_log(&frame).await,
                message::POLL_PATH => self.answer_poll(&frame).await,
                message::FORWARD_REPORT_PATH => {
                    self.answer_for_leader::<message::ForwardReport>(&frame)
                        .await
                }
                message::PROPOSE_PATH => self.answer_for_leader::<message::Propose>(&frame).await,
                message::QUERY_PATH => self.answer_for_leader::<message::Query>(&frame).await,
                _ => {
                    count_refused("path");
                    Err(peer::Refusal::Path { path })
                }
            }
        })
    }
}

impl core::Core {
    /// Decodes a frame of another control process and refuses it if it was received before.
    pub(super) fn open<M: DeserializeOwned>(
        &self,
        frame: &[u8],
    ) -> Result<message::Envelope<M>, peer::Refusal> {
        let envelope: message::Envelope<M> = self.decode(frame)?;
        let accepted =
            self.replay_filter
                .accept(&envelope.from, envelope.incarnation, envelope.sequence);
        if !accepted {
            count_refused("replayed");
            let from = envelope.from.to_string();
            return Err(peer::Refusal::Replayed { from });
        }
        Ok(envelope)
    }

    /// Decodes a frame.
    pub(super) fn decode<M: DeserializeOwned>(&self, frame: &[u8]) -> Result<M, peer::Refusal> {
        codec::decode(self.deployment, frame).map_err(|error| {
            count_refused(cause(&error));
            let reason = error.to_string();
            peer::Refusal::Frame { reason }
        })
    }

    /// Encodes a reply.
    pub(super) fn encode<M: Serialize>(&self, message: &M) -> Result<Bytes, peer::Refusal> {
        codec::encode(self.deployment, message).map_err(|error| peer::Refusal::Unavailable {
            reason: error.to_string(),
        })
    }

    async fn answer_log(&self, frame: &[u8]) -> Result<Bytes, peer::Refusal> {
        let message::Envelope { from, body, .. } = self.open::<message::Batch>(frame)?;
        let deliver = || self.receive(&from, body.messages);
        let messages = self.transport.reply(&from, deliver).await;
        self.encode(&message::Batch { messages })
    }

    /// Handles a request that only the leader of a log can answer.
    async fn answer_for_leader<R: leader::Request + DeserializeOwned>(
        &self,
        frame: &[u8],
    ) -> Result<Bytes, peer::Refusal>
    where
        R::Answer: Serialize,
    {
        let envelope: message::Envelope<R> = self.open(frame)?;
        let answer = envelope.body.serve(self).await;
        self.encode(&answer)
    }
}

/// Returns the value of the label `cause` for an error.
fn cause(error: &codec::Error) -> &'static str {
    match error {
        codec::Error::Magic => "magic",
        codec::Error::Version { .. } => "version",
        codec::Error::Deployment => "deployment",
        codec::Error::TooLong { .. } | codec::Error::Length { .. } => "length",
        codec::Error::Body { .. } => "body",
    }
}
