//! Header fields that are forwarded between caller and target, and those that end at a hop.

use bytes::Bytes;
use http::header;
use yucca_wire::grant;
use yucca_wire::head;

/// Fields that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Fields that the lane sets on requests to targets. Those of callers are dropped.
const SET_BY_LANE: [&str; 3] = [
    grant::TOKEN_HEADER,
    grant::REQUEST_HEADER,
    grant::DEADLINE_HEADER,
];

/// Returns the fields of `headers` that are forwarded.
pub fn end_to_end(headers: &header::HeaderMap) -> Vec<head::Field> {
    let named = named_by_connection(headers);
    let mut fields = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let name = name.as_str();
        let dropped = HOP_BY_HOP.contains(&name)
            || SET_BY_LANE.contains(&name)
            || name == "content-length"
            || named.iter().any(|other| other.eq_ignore_ascii_case(name));
        if !dropped {
            fields.push(head::Field {
                name: name.into(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            });
        }
    }
    fields
}

fn named_by_connection(headers: &header::HeaderMap) -> Vec<String> {
    let mut named = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(text) = value.to_str() else { continue };
        named.extend(text.split(',').map(|name| name.trim().to_owned()));
    }
    named
}

/// Adds `fields` to `headers`. Malformed fields, which correct peers do not send, are skipped.
pub fn extend(headers: &mut header::HeaderMap, fields: &[head::Field]) {
    headers.reserve(fields.len());
    for field in fields {
        let name = header::HeaderName::from_bytes(field.name.as_bytes());
        let value = header::HeaderValue::from_maybe_shared(field.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}
