//! The listener for the platform's balancer: `/ready`, `/live`, and `/metrics` for scraping.

use std::sync;

use metrics_exporter_prometheus::PrometheusHandle;

use crate::process::shared;
use crate::request::body;

/// Answers one request on the balancer's listener.
pub fn serve(
    shared: &sync::Arc<shared::Shared>,
    recorder: Option<&PrometheusHandle>,
    path: &str,
) -> http::Response<body::Stream> {
    let (status, text) = match path {
        "/live" => (http::StatusCode::OK, "live\n".to_owned()),
        "/ready" => ready(shared.phase()),
        "/metrics" => match recorder {
            Some(recorder) => (http::StatusCode::OK, recorder.render()),
            None => (
                http::StatusCode::NOT_FOUND,
                "no metrics recorder\n".to_owned(),
            ),
        },
        _ => (
            http::StatusCode::NOT_FOUND,
            "use /ready, /live or /metrics\n".to_owned(),
        ),
    };
    let mut response = http::Response::new(body::full(text.into()));
    *response.status_mut() = status;
    response
}

fn ready(phase: shared::Phase) -> (http::StatusCode, String) {
    match phase {
        shared::Phase::Ready => (http::StatusCode::OK, "ready\n".into()),
        other => (
            http::StatusCode::SERVICE_UNAVAILABLE,
            format!("{other:?}\n").to_lowercase(),
        ),
    }
}
