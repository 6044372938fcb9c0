//! Answers to requests for liveness, readiness and metrics.

use std::sync;

use crate::connection::listener;
use crate::process::core;
use crate::process::metric;
use crate::request::body;

/// The media type of the metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Answers a health request.
pub async fn answer(core: sync::Arc<core::Core>, request: listener::Request) -> listener::Response {
    match request.uri().path() {
        "/live" => text(http::StatusCode::OK, "live\n"),
        "/ready" if core.ready.is_ready() => text(http::StatusCode::OK, "ready\n"),
        "/ready" => text(http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => body::build(http::StatusCode::OK, METRICS_TYPE, metric::render().into()),
        _ => text(
            http::StatusCode::NOT_FOUND,
            "see /live, /ready and /metrics\n",
        ),
    }
}

fn text(status: http::StatusCode, text: &'static str) -> listener::Response {
    body::build(status, "text/plain", text.into())
}
