//! Answers to callers.

use bytes::Bytes;
use http::header;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::problem;

use crate::request::body;
use crate::request::fields;

/// Answer of a lane: its head and the target's body.
pub struct Answer {
    /// Answer or refusal, with the load of the lane.
    pub head: head::Answer,
    /// Body; empty if the lane refused the request.
    pub body: body::Stream,
}

impl Answer {
    /// Returns a refusal with an empty body.
    pub fn refusal(problem: problem::Problem, load: head::Load) -> Self {
        let verdict = head::Verdict::Refused(problem);
        Self {
            head: head::Answer { verdict, load },
            body: body::full(Bytes::new()),
        }
    }

    /// Returns the HTTP response for the caller.
    pub fn into_response(self, service: &id::Service) -> http::Response<body::Stream> {
        match self.head.verdict {
            head::Verdict::Answered { status, headers } => answered(status, &headers, self.body),
            head::Verdict::Refused(problem) => refused(&problem, Some(service)),
        }
    }
}

fn answered(
    status: u16,
    headers: &[head::Field],
    stream: body::Stream,
) -> http::Response<body::Stream> {
    let mut response = http::Response::new(stream);
    // The lane may be a process of an older version, which passes invalid ones on.
    let status = head::is_final_status(status).then(|| http::StatusCode::from_u16(status).ok());
    *response.status_mut() = status.flatten().unwrap_or(http::StatusCode::BAD_GATEWAY);
    fields::extend(response.headers_mut(), headers);
    response
}

/// Returns the HTTP response for a problem and counts it.
pub fn refused(
    problem: &problem::Problem,
    service: Option<&id::Service>,
) -> http::Response<body::Stream> {
    metrics::counter!("yucca_problems_total", "kind" => problem.kind.to_string(), "outcome" => problem.outcome.to_string())
        .increment(1);
    let text = problem.body(service).to_string();
    let mut response = http::Response::new(body::full(text.into()));
    let status = http::StatusCode::from_u16(problem.kind.status());
    *response.status_mut() = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(problem::MEDIA_TYPE),
    );
    if let Ok(value) = header::HeaderValue::from_str(&problem.outcome.to_string()) {
        headers.insert(problem::OUTCOME_HEADER, value);
    }
    if let Some(span) = problem.retry_after {
        // The header has whole seconds: round up, so that callers do not retry too early.
        let seconds = span.0.as_millis().div_ceil(1000).max(1) as u64;
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    response
}
