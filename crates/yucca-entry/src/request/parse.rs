//! Parses the head of a caller's request: service, key, work class, deadline and id.

use std::borrow::Cow;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::request;
use yucca_wire::grant;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;

use crate::version::view;

/// Header with the caller's id of a request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 1024;

/// Maximum deadline that a caller can set; longer ones are reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Parsed head of a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Service that the path belongs to.
    pub service: id::Service,
    /// Key, if the service is divided by key.
    pub key: Option<Bytes>,
    /// Id of the request. A non-idempotent request runs at most once with it.
    pub id: id::Request,
    /// Whether the caller set the id, so that it may have been used before.
    pub id_from_caller: bool,
    /// Work class.
    pub class: table::Class,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Maximum length of the body, in bytes.
    pub body_limit: u64,
}

/// Parses the head of a request.
///
/// # Errors
/// Returns the problem to answer if the path belongs to no service, there is not exactly one key,
/// or a header is malformed.
pub fn read(view: &view::View, parts: &request::Parts) -> Result<Request, problem::Problem> {
    check_method(&parts.method)?;
    check_framing(parts)?;
    let path = parts.uri.path();
    let found = view.find(path).ok_or_else(|| no_service(path))?;
    let service = found.service;
    let key = match &service.kind {
        table::Kind::Keyed { key, .. } => Some(read_key(key, parts, found.rest)?),
        table::Kind::Pool => None,
    };
    let route = find_route(service, &parts.method, found.rest);
    let default = route.and_then(|route| route.deadline);
    let remaining = read_deadline(parts)?.unwrap_or(default.unwrap_or(service.deadline).0);
    let body_limit = service.limits.body.0;
    check_length(parts, body_limit)?;
    let caller_id = read_id(parts, found.name, key.as_deref())?;
    Ok(Request {
        service: found.name.clone(),
        id: caller_id.unwrap_or_else(|| id::Request(rand::random())),
        id_from_caller: caller_id.is_some(),
        key,
        class: route.map_or(table::Class::Short, |route| route.class),
        idempotent: route.is_some_and(|route| route.idempotent),
        remaining,
        body_limit,
    })
}

fn refuse(kind: problem::Kind, detail: impl Into<String>) -> problem::Problem {
    problem::Problem::not_run(kind, detail)
}

fn no_service(path: &str) -> problem::Problem {
    let shown: String = path.chars().take(64).collect();
    refuse(
        problem::Kind::NoService,
        format!("no service has a prefix of {shown:?}"),
    )
}

fn check_method(method: &http::Method) -> Result<(), problem::Problem> {
    if method == http::Method::CONNECT || method == http::Method::TRACE {
        let detail = format!("method {method} is not supported");
        return Err(refuse(problem::Kind::BadRequest, detail));
    }
    Ok(())
}

fn check_framing(parts: &request::Parts) -> Result<(), problem::Problem> {
    // Two parsers may find the end of such a body by different headers (request smuggling).
    let headers = &parts.headers;
    if headers.contains_key(header::CONTENT_LENGTH)
        && headers.contains_key(header::TRANSFER_ENCODING)
    {
        let detail = "a request cannot have both content-length and transfer-encoding";
        return Err(refuse(problem::Kind::BadRequest, detail));
    }
    Ok(())
}

fn check_length(parts: &request::Parts, limit: u64) -> Result<(), problem::Problem> {
    let Some(value) = one_header(parts, header::CONTENT_LENGTH.as_str())? else {
        return Ok(());
    };
    let parsed = std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    let length =
        parsed.ok_or_else(|| refuse(problem::Kind::BadHeader, "content-length is not a number"))?;
    if length > limit {
        let detail = format!("body of {length} bytes exceeds the limit of {limit}");
        return Err(refuse(problem::Kind::BodyTooLarge, detail));
    }
    Ok(())
}

fn one_header<'a>(
    parts: &'a request::Parts,
    name: &str,
) -> Result<Option<&'a [u8]>, problem::Problem> {
    let mut values = parts.headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        let detail = format!("header {name} occurs more than once");
        return Err(refuse(problem::Kind::BadHeader, detail));
    }
    Ok(first.map(http::HeaderValue::as_bytes))
}

fn read_key(
    rule: &table::Rule,
    parts: &request::Parts,
    rest: &str,
) -> Result<Bytes, problem::Problem> {
    let key = match rule {
        table::Rule::Header(name) => header_key(parts, name)?,
        table::Rule::Segment(index) => segment_key(rest, *index),
        table::Rule::Query(name) => query_key(parts, name)?,
    };
    let missing = || {
        let place = match rule {
            table::Rule::Header(name) => format!("header {name}"),
            table::Rule::Segment(index) => format!("path segment {index} after the prefix"),
            table::Rule::Query(name) => format!("query parameter {name}"),
        };
        refuse(problem::Kind::NoKey, format!("no key in {place}"))
    };
    let key = key.filter(|key| !key.is_empty()).ok_or_else(missing)?;
    if key.len() > MAX_KEY_BYTES {
        let detail = format!(
            "key of {} bytes exceeds the limit of {MAX_KEY_BYTES}",
            key.len()
        );
        return Err(refuse(problem::Kind::BadHeader, detail));
    }
    Ok(key)
}

fn header_key(parts: &request::Parts, name: &str) -> Result<Option<Bytes>, problem::Problem> {
    let mut values = parts.headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        let detail = format!("header {name} occurs more than once");
        return Err(refuse(problem::Kind::TwoKeys, detail));
    }
    Ok(first.map(|value| Bytes::copy_from_slice(value.as_bytes())))
}

fn segment_key(rest: &str, index: u32) -> Option<Bytes> {
    let segment = rest.split('/').nth(index as usize)?;
    Some(decode(segment))
}

fn query_key(parts: &request::Parts, name: &str) -> Result<Option<Bytes>, problem::Problem> {
    let query = parts.uri.query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    // Names are decoded before they are compared: `%6b=1` is a second `k`, not another parameter.
    let mut values = pairs.filter(|(other, _)| decode(other) == name.as_bytes());
    let first = values.next();
    if values.next().is_some() {
        let detail = format!("query parameter {name} occurs more than once");
        return Err(refuse(problem::Kind::TwoKeys, detail));
    }
    Ok(first.map(|(_, value)| decode(value)))
}

// The same key can have several percent-encodings; all must reach the same owner.
fn decode(text: &str) -> Bytes {
    let decoded: Cow<'_, [u8]> = percent_encoding::percent_decode_str(text).into();
    Bytes::copy_from_slice(&decoded)
}

fn read_deadline(parts: &request::Parts) -> Result<Option<Duration>, problem::Problem> {
    let Some(value) = one_header(parts, grant::DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let parsed = std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    let millis = parsed.filter(|millis| *millis > 0).ok_or_else(|| {
        let detail = format!("{} is not a positive number", grant::DEADLINE_HEADER);
        refuse(problem::Kind::BadHeader, detail)
    })?;
    Ok(Some(Duration::from_millis(millis).min(MAX_DEADLINE)))
}

fn read_id(
    parts: &request::Parts,
    service: &id::Service,
    key: Option<&[u8]>,
) -> Result<Option<id::Request>, problem::Problem> {
    let Some(value) = one_header(parts, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if value.is_empty() {
        let detail = format!("{IDEMPOTENCY_KEY} is empty");
        return Err(refuse(problem::Kind::BadHeader, detail));
    }
    // Callers choose their ids independently: service and key are hashed too, so that equal ids of
    // different services or keys do not collide.
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [service.as_str().as_bytes(), key.unwrap_or_default(), value] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Ok(Some(id::Request(hasher.digest128())))
}

fn find_route<'a>(
    service: &'a table::Service,
    method: &http::Method,
    rest: &str,
) -> Option<&'a table::Route> {
    let matches = |route: &&table::Route| {
        let same = route
            .method
            .as_deref()
            .is_none_or(|name| name == method.as_str());
        same && path_matches(&route.path, rest)
    };
    service.routes.iter().find(matches)
}

/// Returns whether the path after a service's prefix matches a route's pattern.
///
/// `*` matches one segment that is not empty; `**` at the end matches any rest.
pub fn path_matches(pattern: &str, path: &str) -> bool {
    let mut segments = path.trim_matches('/').split('/');
    let mut wanted = pattern.trim_matches('/').split('/').peekable();
    while let Some(want) = wanted.next() {
        if want == "**" && wanted.peek().is_none() {
            return true;
        }
        match segments.next() {
            Some(segment) if want == "*" && !segment.is_empty() => {}
            Some(segment) if want == segment => {}
            _ => return false,
        }
    }
    segments.next().is_none()
}
