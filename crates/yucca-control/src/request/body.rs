//! Bodies of requests and answers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use serde_json::json;

use crate::connection::listener;

/// Reads the body of a request; returns `None` if it is longer than `limit` bytes or truncated.
pub async fn read(request: listener::Request, limit: usize) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), limit);
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Returns an answer with a JSON body.
pub fn json(status: http::StatusCode, value: &serde_json::Value) -> listener::Response {
    let text = format!("{value}\n");
    build(status, "application/json", text.into())
}

/// Returns a problem in the format of RFC 9457.
pub fn problem(
    status: http::StatusCode,
    kind: &str,
    detail: &str,
    remedy: &str,
) -> listener::Response {
    problem_with(status, kind, detail, remedy, json!({}))
}

/// Returns a problem with additional members.
pub fn problem_with(
    status: http::StatusCode,
    kind: &str,
    detail: &str,
    remedy: &str,
    more: serde_json::Value,
) -> listener::Response {
    let mut value = json!({
        "type": format!("urn:yuccahill:control:{kind}"),
        "title": kind,
        "status": status.as_u16(),
        "detail": detail,
        "remedy": remedy,
    });
    if let (Some(members), serde_json::Value::Object(more)) = (value.as_object_mut(), more) {
        members.extend(more);
    }
    build(
        status,
        yucca_wire::problem::MEDIA_TYPE,
        format!("{value}\n").into(),
    )
}

/// Returns an answer with a body of the media type.
pub fn build(
    status: http::StatusCode,
    media_type: &'static str,
    body: Bytes,
) -> listener::Response {
    let mut response = listener::Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(media_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, value);
    response
}
