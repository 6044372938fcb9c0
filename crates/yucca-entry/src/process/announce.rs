//! The listener for announcements (heartbeats) of targets.

use std::mem;
use std::net;
use std::sync;

use http_body_util::BodyExt;
use indexmap::IndexMap;
use tokio::sync::Notify;
use yucca_wire::announce;
use yucca_wire::finding;
use yucca_wire::id;

use crate::process::shared;
use crate::request::body;

/// Path that receives announcements.
pub const PATH: &str = "/announce";

/// Maximum size of an announcement, in bytes.
const MAX_BYTES: u64 = 16 << 10;

/// The latest announcement of each target since the last report.
#[derive(Default)]
pub struct Announcements {
    // Last in the lock order. By target name.
    latest: sync::Mutex<IndexMap<String, announce::Announce>>,
    /// Triggers a report at once, for changes that must not wait for the next heartbeat.
    pub urgent: Notify,
}

impl Announcements {
    /// Stores an announcement, and triggers a report if the target stops serving.
    pub fn record(&self, announced: announce::Announce) {
        let urgent = is_leaving(&announced);
        let mut latest = self
            .latest
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        let previous = latest.insert(announced.target.clone(), announced);
        drop(latest);
        if urgent && !previous.as_ref().is_some_and(is_leaving) {
            self.urgent.notify_one();
        }
    }

    /// Returns and removes the stored announcements.
    pub fn take_latest(&self) -> Vec<announce::Announce> {
        let mut latest = self
            .latest
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        mem::take(&mut *latest).into_values().collect()
    }
}

fn is_leaving(announced: &announce::Announce) -> bool {
    !matches!(announced.state, None | Some(announce::State::Serving))
}

/// Answers one request on the announce listener.
pub async fn serve(
    shared: sync::Arc<shared::Shared>,
    request: http::Request<hyper::body::Incoming>,
) -> http::Response<body::Stream> {
    let given = request.headers().get(http::header::AUTHORIZATION);
    if !shared
        .settings
        .announce_secret
        .authorizes(given.map(|value| value.as_bytes()))
    {
        metrics::counter!("yucca_unauthorized_total", "listener" => "announce").increment(1);
        return reply(http::StatusCode::UNAUTHORIZED, String::new());
    }
    if request.method() != http::Method::POST || request.uri().path() != PATH {
        return reply(http::StatusCode::NOT_FOUND, format!("use POST {PATH}"));
    }
    let collected = body::incoming(request.into_body(), MAX_BYTES)
        .collect()
        .await;
    let Ok(collected) = collected else {
        return reply(http::StatusCode::PAYLOAD_TOO_LARGE, String::new());
    };
    match read(&collected.to_bytes()) {
        Ok(announced) => {
            shared.announcements.record(announced);
            reply(http::StatusCode::NO_CONTENT, String::new())
        }
        Err(findings) => {
            let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            reply(http::StatusCode::UNPROCESSABLE_ENTITY, lines.join("\n"))
        }
    }
}

fn read(bytes: &[u8]) -> Result<announce::Announce, Vec<finding::Finding>> {
    let announced: announce::Announce = serde_json::from_slice(bytes)
        .map_err(|error| vec![invalid("announcement", error.to_string())])?;
    let mut findings = Vec::new();
    if let Err(error) = announced.address.parse::<net::SocketAddr>() {
        findings.push(invalid("address", error.to_string()));
    }
    if let Err(error) = announced.target.parse::<id::Target>() {
        findings.push(invalid("target", error.to_string()));
    }
    if let Err(error) = announced.service.parse::<id::Service>() {
        findings.push(invalid("service", error.to_string()));
    }
    if findings.is_empty() {
        Ok(announced)
    } else {
        Err(findings)
    }
}

fn invalid(path: &str, problem: String) -> finding::Finding {
    finding::Finding {
        place: finding::Place {
            path: path.into(),
            ..finding::Place::default()
        },
        problem,
        remedy: "see schema/announce.json".into(),
    }
}

fn reply(status: http::StatusCode, text: String) -> http::Response<body::Stream> {
    let mut response = http::Response::new(body::full(text.into()));
    *response.status_mut() = status;
    response
}
