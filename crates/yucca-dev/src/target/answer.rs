//! Handling of one request by a target.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body;
use tokio::time as clock;
use yucca_wire::grant;
use yucca_wire::id;
use yucca_wire::key;
use yucca_wire::ticket;

use super::{Refusal, Report, Shared};
use crate::journal;
use crate::route;
use crate::work;

/// Path of the health endpoint.
const HEALTH_PATH: &str = "/health";

/// Path of the load endpoint.
const LOAD_PATH: &str = "/load";

/// Time that a request to the health or load endpoint occupies a slot.
const PROBE_WORK: time::Duration = time::Duration::from_millis(6);

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Header that the answer repeats and under whose value a run is recorded.
const ECHO_HEADER: &str = "x-echo";

/// Header with the service time in microseconds; it replaces the drawn service time.
const WORK_HEADER: &str = "x-work-us";

/// Header with the status of the answer, in place of 200. It may be invalid, such as 600.
const STATUS_HEADER: &str = "x-status";

type Request = http::Request<body::Incoming>;
type Answer = http::Response<Full<Bytes>>;

/// Answers one request. Dropping the future stops the work.
pub async fn answer(shared: &Shared, request: Request) -> Answer {
    match (request.method().as_str(), request.uri().path()) {
        ("POST", grant::PATH) => order(shared, request).await,
        ("GET", HEALTH_PATH | LOAD_PATH) => probe(shared).await,
        _ => run(shared, request).await,
    }
}

async fn order(shared: &Shared, request: Request) -> Answer {
    let Ok(body) = request.into_body().collect().await else {
        return text(http::StatusCode::BAD_REQUEST, "the order is incomplete");
    };
    shared.gate.thawed().await;
    match serde_json::from_slice::<grant::Order>(&body.to_bytes()) {
        Ok(order) => match apply(shared, &order) {
            Ok(()) => text(http::StatusCode::OK, ""),
            Err(refusal) => refused(http::StatusCode::CONFLICT, &refusal.to_string()),
        },
        Err(error) => text(http::StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Applies an order. A target that does not check tokens accepts every order.
fn apply(shared: &Shared, order: &grant::Order) -> Result<(), Refusal> {
    let mut instance = shared.instance();
    match instance.grants.apply(order) {
        Err(refusal) if shared.settings.checks_tokens => Err(refusal),
        _ => Ok(()),
    }
}

async fn probe(shared: &Shared) -> Answer {
    let Some(_slot) = shared.slots.acquire().await else {
        return refused(
            http::StatusCode::SERVICE_UNAVAILABLE,
            "too many requests are waiting",
        );
    };
    clock::sleep(PROBE_WORK).await;
    shared.gate.thawed().await;
    let report = shared.health.report(Report {
        healthy: true,
        running: shared.slots.running(),
        waiting: shared.slots.waiting(),
    });
    let body = serde_json::to_vec(&report).unwrap_or_default();
    let mut answer = Answer::new(Full::new(Bytes::from(body)));
    if !report.healthy {
        *answer.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}

async fn run(shared: &Shared, request: Request) -> Answer {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return text(
            http::StatusCode::BAD_REQUEST,
            "the request body is incomplete or too large",
        );
    };
    let body = body.to_bytes();
    let request = http::Request::from_parts(head, ());
    shared.gate.thawed().await;
    if let Err(refusal) = admit(shared, &request) {
        return refused(http::StatusCode::CONFLICT, &refusal.to_string());
    }
    let deadline = deadline(&request);
    let slot = match with_deadline(deadline, shared.slots.acquire()).await {
        Some(Some(slot)) => slot,
        Some(None) => {
            return refused(
                http::StatusCode::SERVICE_UNAVAILABLE,
                "too many requests are waiting",
            );
        }
        None => return refused(http::StatusCode::SERVICE_UNAVAILABLE, "the deadline passed"),
    };
    // A grant may have been revoked while the request waited for a slot.
    if let Err(refusal) = admit(shared, &request) {
        return refused(http::StatusCode::CONFLICT, &refusal.to_string());
    }
    let active = shared.journal.begin(start(shared, &request));
    let busy = Busy::new(&shared.busy_us);
    let done = with_deadline(deadline, perform(shared, &request)).await;
    drop(busy);
    drop(slot);
    let count = active.count();
    match done {
        Some(()) => {
            active.finish(journal::End::Answered);
            echo(shared, &request, count, body)
        }
        None => {
            active.finish(journal::End::Deadline);
            text(http::StatusCode::GATEWAY_TIMEOUT, "the deadline passed")
        }
    }
}

/// Checks the token and the ownership of the key, if this target checks tokens.
fn admit(shared: &Shared, request: &http::Request<()>) -> Result<(), Refusal> {
    if !shared.settings.checks_tokens {
        return Ok(());
    }
    let token = header(request, grant::TOKEN_HEADER);
    let token = token.and_then(|text| text.parse::<id::Token>().ok());
    let mut instance = shared.instance();
    instance.grants.check(token)?;
    let rules = &shared.settings.rules;
    match (&rules.kind, route::key(rules, request)) {
        (ticket::Kind::Keyed(keyed), Some(found)) => {
            let shard = key::shard(&found, keyed.shards.get());
            instance.grants.check_owned(shard, &found)
        }
        _ => Ok(()),
    }
}

async fn perform(shared: &Shared, request: &http::Request<()>) {
    let time = service_time(shared, request);
    if !time.is_zero() {
        clock::sleep(time).await;
    }
    shared.gate.thawed().await;
}

fn service_time(shared: &Shared, request: &http::Request<()>) -> time::Duration {
    let cold = work::cold_factor(shared.warm());
    let requested = header(request, WORK_HEADER).and_then(|text| text.parse().ok());
    if let Some(micros) = requested {
        return time::Duration::from_micros(micros).mul_f64(cold);
    }
    let model = &shared.settings.model;
    let route = route(shared, request);
    let service_time = match route.map(|route| route.class) {
        Some(ticket::Class::Long) => &model.long,
        _ => &model.short,
    };
    service_time
        .sample(&mut shared.instance().rng)
        .mul_f64(cold)
}

fn route<'a>(shared: &'a Shared, request: &http::Request<()>) -> Option<&'a ticket::Route> {
    let rules = &shared.settings.rules;
    route::find(rules, request.method().as_str(), request.uri().path())
}

fn start(shared: &Shared, request: &http::Request<()>) -> journal::Start {
    journal::Start {
        target: shared.settings.name.clone(),
        service: shared.settings.service.clone(),
        key: route::key(&shared.settings.rules, request),
        request: header(request, grant::REQUEST_HEADER).map(str::to_owned),
        echo: header(request, ECHO_HEADER).map(str::to_owned),
        idempotent: route(shared, request).is_some_and(|route| route.idempotent),
    }
}

fn deadline(request: &http::Request<()>) -> Option<clock::Instant> {
    let millis = header(request, grant::DEADLINE_HEADER)?.parse().ok()?;
    Some(clock::Instant::now() + time::Duration::from_millis(millis))
}

/// Awaits a future. Returns `None` if the deadline passes first.
async fn with_deadline<F: Future>(
    deadline: Option<clock::Instant>,
    future: F,
) -> Option<F::Output> {
    match deadline {
        Some(deadline) => clock::timeout_at(deadline, future).await.ok(),
        None => Some(future.await),
    }
}

fn echo(shared: &Shared, request: &http::Request<()>, count: u32, body: Bytes) -> Answer {
    let mut answer = Answer::new(Full::new(body));
    let status = header(request, STATUS_HEADER).and_then(|text| text.parse().ok());
    if let Some(status) = status {
        *answer.status_mut() = status;
    }
    let headers = answer.headers_mut();
    headers.insert("x-run", count.into());
    if let Ok(name) = http::HeaderValue::from_str(shared.settings.name.as_str()) {
        headers.insert("x-target", name);
    }
    for name in [ECHO_HEADER, "content-type"] {
        if let Some(value) = request.headers().get(name) {
            headers.insert(name, value.clone());
        }
    }
    answer
}

/// Returns the answer to a request that has not run and will not run.
fn refused(status: http::StatusCode, reason: &str) -> Answer {
    let mut answer = text(status, reason);
    let one = http::HeaderValue::from_static("1");
    answer.headers_mut().insert(grant::REFUSED_HEADER, one);
    answer
}

fn text(status: http::StatusCode, reason: &str) -> Answer {
    let body = Bytes::copy_from_slice(reason.as_bytes());
    let mut answer = Answer::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}

fn header<'a>(request: &'a http::Request<()>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Adds the time until it is dropped to the total work time.
struct Busy<'a> {
    total_us: &'a atomic::AtomicU64,
    since: clock::Instant,
}

impl<'a> Busy<'a> {
    fn new(total_us: &'a atomic::AtomicU64) -> Self {
        Self {
            total_us,
            since: clock::Instant::now(),
        }
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        let micros = self.since.elapsed().as_micros() as u64;
        self.total_us.fetch_add(micros, atomic::Ordering::Relaxed);
    }
}
