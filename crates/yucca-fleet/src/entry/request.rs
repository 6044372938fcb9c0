//! Handling of callers' requests, from routing to the answer.

use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use futures_util::future;
use http::{HeaderMap, Request, Response, header, request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::Rng;
use tokio::sync::watch;
use yucca_lane::shared::{limit, quarantine, service};
use yucca_own::site::{item, range, target as site};
use yucca_wire::head;

use crate::body;
use crate::dialect::{caller, target};
use crate::entry::{Core, exchange, history, pool, quarantine as entry_quarantine, view};
use crate::mutex::lock;
use crate::server;

/// Time after the route's timeout in which an answer is still accepted.
const TIMEOUT_GRACE: time::Duration = time::Duration::from_millis(120);

/// Time before the caller's timeout at which this process answers by itself.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(25);

/// Assumed timeout of a caller that names none.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Maximum time that a connection waits for a complete request head, before limits are configured.
const DEFAULT_HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Maximum size of a request head, before limits are configured.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// Minimum buffer size for request heads that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Maximum size of a request body, before limits are configured.
const DEFAULT_BODY_BYTES: usize = 1 << 20;

/// Time after which the caller of a request whose body found no room should retry. Large bodies are
/// held for about as long as their requests run.
const NO_ROOM_RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// If a request has no route and this host does not have the newest configuration yet, the caller
/// should retry after its timeout divided by this. A deployment whose hosts all start at the same
/// time takes a second or two until it serves requests.
const UNCONFIGURED_DIVISOR: u32 = 3;

/// Hop-by-hop headers, which apply to one connection only.
const HOP_HEADERS: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
];

/// Hop-by-hop header with the idle time of a connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Handler of callers' requests.
pub(super) struct Handler(pub sync::Arc<Core>);

impl server::Handler for Handler {
    fn handle(
        self: sync::Arc<Self>,
        request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<Full<Bytes>>> {
        Box::pin(async move {
            let mut answer = self.0.answer(request).await;
            if self.0.stopping.borrow().is_some() {
                let close = http::HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            answer.map(Full::new)
        })
    }

    fn limits(&self) -> watch::Receiver<server::Limits> {
        self.0.limits.subscribe()
    }
}

/// Returns the limits of a connection. `None` means that none are configured yet.
pub(super) fn connection_limits(limits: Option<&item::Limits>) -> server::Limits {
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes as usize);
    server::Limits {
        head_timeout: limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.idle_timeout),
        head_bytes: head_bytes.max(MIN_HEAD_BYTES),
    }
}

/// Complete request with its route.
pub(super) struct Job {
    pub head: caller::Head,
    parts: request::Parts,
    body: Bytes,
    pub route: sync::Arc<view::Route>,
    pub service: item::Name,
    pub arrived: time::Duration,
    limit_at: time::Duration,
    digest: sync::OnceLock<quarantine::Digest>,
    /// Whether it may be sent once although requests like it are refused.
    trial: atomic::AtomicBool,
}

impl Job {
    /// Returns the digest of what callers repeat in another attempt.
    fn digest(&self) -> quarantine::Digest {
        *self.digest.get_or_init(|| {
            let target = self.parts.uri.path_and_query();
            quarantine::Digest::new(&[
                self.parts.method.as_str().as_bytes(),
                self.head.host.as_bytes(),
                target.map_or("", |target| target.as_str()).as_bytes(),
                &self.body,
            ])
        })
    }
}

/// Result of one attempt.
enum Attempt {
    /// The answer for the caller.
    Answer(Response<Bytes>),
    /// The target answered that the request failed; another target may succeed.
    Failure(Response<Bytes>),
    /// The request did not run.
    NotRun,
    /// The request was sent, and it is unknown whether it ran.
    Unknown,
    /// The request is refused because it crashes targets.
    Quarantined,
}

impl Core {
    async fn answer(self: &sync::Arc<Self>, request: Request<Incoming>) -> Response<Bytes> {
        let arrived = self.clock.now();
        let (parts, body) = request.into_parts();
        let head = match self.caller.head(&parts) {
            Ok(head) => head,
            Err(refusal) => {
                log::info!("request malformed: {} {}", parts.method, parts.uri);
                return self.caller.refuse(None, refusal);
            }
        };
        let view = self.view.load_full();
        let Some(route) = view.route(&head.host, parts.uri.path()).cloned() else {
            return self.unrouted(&view, &head, &parts);
        };
        let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout = timeout
            .saturating_sub(ANSWER_MARGIN)
            .min(route.route.timeout + TIMEOUT_GRACE);
        let limit_at = arrived + timeout;
        if self.ends_before(limit_at) {
            log::info!("request={:?} refused: the process is stopping", head.id);
            let refusal = caller::Refusal::NotRun(time::Duration::ZERO);
            return self.caller.refuse(Some(&head.id), refusal);
        }
        let body = match self.read_body(&head.id, body, timeout).await {
            Ok(body) => body,
            Err(refusal) => return self.caller.refuse(Some(&head.id), refusal),
        };
        let job = Job {
            service: choose(&route.route),
            head,
            parts,
            body,
            route,
            arrived,
            limit_at,
            digest: sync::OnceLock::new(),
            trial: atomic::AtomicBool::new(false),
        };
        let mut history = history::History::default();
        let answer = if self.is_quarantined(&job) && !self.start_trial(&job).await {
            self.refuse(&job, caller::Refusal::Quarantined)
        } else {
            self.dispatcher.record_request(&job.service, arrived);
            self.run_until_cut_off(&job, &mut history).await
        };
        history.log(self, &job, answer.status());
        answer
    }

    /// Reads the body of a request, which has to arrive before its timeout. It may be as large as the
    /// limit at its start or any later one allows.
    async fn read_body(
        &self,
        id: &Bytes,
        mut incoming: Incoming,
        timeout: time::Duration,
    ) -> Result<Bytes, caller::Refusal> {
        let mut limit = 0;
        let latest_limit = || {
            limit = self.body_limit().max(limit);
            limit
        };
        let read = async {
            let read = body::read(&mut incoming, &self.bodies, latest_limit).await;
            if read == Err(body::Error::NoRoom) {
                body::discard(&mut incoming).await;
            }
            read
        };
        let error = match tokio::time::timeout(timeout, read).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(error)) => error,
            // It was sent to no target, and another attempt may be faster.
            Err(_) => {
                log::info!("request={id:?} body not complete within {timeout:?}");
                return Err(caller::Refusal::NotRun(time::Duration::ZERO));
            }
        };
        log::info!("request={id:?} body refused: it {error}");
        Err(match error {
            body::Error::Broken(_) => caller::Refusal::Malformed,
            body::Error::TooLarge(_) => caller::Refusal::TooLarge,
            body::Error::NoRoom => {
                metrics::counter!("yucca_entry_bodies_without_room_total").increment(1);
                caller::Refusal::NotRun(NO_ROOM_RETRY_AFTER)
            }
        })
    }

    /// Returns the maximum size of a body, in bytes.
    fn body_limit(&self) -> usize {
        let view = self.view.load();
        view.limits.as_ref().map_or(DEFAULT_BODY_BYTES, |limits| {
            usize::try_from(limits.body_bytes).unwrap_or(usize::MAX)
        })
    }

    fn unrouted(
        &self,
        view: &view::View,
        head: &caller::Head,
        parts: &request::Parts,
    ) -> Response<Bytes> {
        let refusal = if view.is_configured() && *self.synced.borrow() {
            caller::Refusal::NoRoute
        } else {
            let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
            caller::Refusal::NotRun(timeout / UNCONFIGURED_DIVISOR)
        };
        log::info!(
            "request={:?} host={} path={} version={} no route",
            head.id,
            head.host,
            parts.uri.path(),
            view.version
        );
        self.caller.refuse(Some(&head.id), refusal)
    }

    /// Returns whether a stopping process cuts off its requests before this time. Another host can
    /// take such a request at once.
    ///
    /// Load pattern: a planned stop while callers still send requests, some of which take most of
    /// the time that the process has.
    fn ends_before(&self, limit_at: time::Duration) -> bool {
        self.stopping
            .borrow()
            .is_some_and(|cut_off_at| cut_off_at < limit_at)
    }

    /// Runs a request, which a stopping process answers by itself in the end.
    async fn run_until_cut_off(
        self: &sync::Arc<Self>,
        job: &Job,
        history: &mut history::History,
    ) -> Response<Bytes> {
        let answer = tokio::select! {
            answer = self.run(job, history) => Some(answer),
            () = self.cut_off() => None,
        };
        answer.unwrap_or_else(|| {
            let unsent = history.tried.is_empty() && history.sent == 0;
            let refusal = if unsent {
                caller::Refusal::NotRun(time::Duration::ZERO)
            } else {
                caller::Refusal::Unknown
            };
            self.refuse(job, refusal)
        })
    }

    /// Sends the request until there is an answer or no further attempt is possible.
    async fn run(
        self: &sync::Arc<Self>,
        job: &Job,
        history: &mut history::History,
    ) -> Response<Bytes> {
        let mut last = caller::Refusal::NotRun(time::Duration::ZERO);
        loop {
            let start = self.clock.now();
            let decided = self.decide(job, history).await;
            history.waited += self.clock.now().saturating_sub(start);
            let (target, token) = match decided {
                Some(service::Decision::Send { target, token, .. }) => (target, token),
                Some(service::Decision::Refuse { retry_after, .. }) => {
                    let now = self.clock.now();
                    let survey = self.dispatcher.survey(&job.service, job.head.key, now);
                    history.record_refusal(&survey);
                    let refusal = match last {
                        caller::Refusal::NotRun(_) => caller::Refusal::NotRun(retry_after),
                        other => other,
                    };
                    return self.refuse(job, refusal);
                }
                None => return self.refuse(job, last),
            };
            let attempt = self.attempt(job, history, target, token).await;
            let may_send = history.sent < job.route.route.attempts;
            match attempt {
                Attempt::Answer(answer) => return answer,
                Attempt::Failure(answer) => {
                    if !job.route.route.idempotent || !may_send || !self.may_retry(job) {
                        return answer;
                    }
                    last = caller::Refusal::Unknown;
                }
                Attempt::Quarantined => return self.refuse(job, caller::Refusal::Quarantined),
                Attempt::NotRun => {
                    if history.sent > 0 && !self.may_retry(job) {
                        return self.refuse(job, self.not_run(job, target, last));
                    }
                }
                Attempt::Unknown => {
                    last = caller::Refusal::Unknown;
                    if self.clock.now() >= job.limit_at {
                        return self.refuse(job, caller::Refusal::Timeout);
                    }
                    if !job.route.route.idempotent || !may_send || !self.may_retry(job) {
                        return self.refuse(job, last);
                    }
                }
            }
        }
    }

    /// Waits until the request can be sent or is refused. Returns `None` if neither is decided by the
    /// time at which the caller must get an answer.
    async fn decide(
        self: &sync::Arc<Self>,
        job: &Job,
        history: &history::History,
    ) -> Option<service::Decision> {
        let request = service::Request {
            number: 0,
            key: job.head.key,
            priority: job.route.route.priority,
            arrived: job.arrived,
            objective_at: job.arrived + job.route.route.objective,
            limit_at: job.limit_at,
            tried: history.tried.clone(),
        };
        let mut waiter = self
            .dispatcher
            .submit(&job.service, request, self.clock.now());
        let decision = waiter.decision(job.limit_at).await;
        if decision.is_none() {
            metrics::counter!("yucca_entry_undecided_requests_total").increment(1);
            let (id, service) = (&job.head.id, &job.service);
            log::warn!("request={id:?} service={service} no decision within its time");
        }
        decision
    }

    fn is_quarantined(&self, job: &Job) -> bool {
        self.quarantine.refuses(|| job.digest(), self.clock.now())
    }

    async fn start_trial(&self, job: &Job) -> bool {
        let permitted = self.may_try(job.digest()).await;
        job.trial.store(permitted, atomic::Ordering::Relaxed);
        permitted
    }

    fn may_retry(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let hosts = lock(&self.host_peak).record(self.peers.load().count() + 1, now);
        self.dispatcher.try_retry(&job.service, hosts, now)
    }

    /// Returns the refusal of a request that did not run, unless an earlier attempt may have run.
    fn not_run(&self, job: &Job, target: site::Number, last: caller::Refusal) -> caller::Refusal {
        match last {
            caller::Refusal::NotRun(_) => {
                let left = job.limit_at.saturating_sub(self.clock.now());
                let after = self.dispatcher.retry_after(&job.service, target, left);
                caller::Refusal::NotRun(after)
            }
            other => other,
        }
    }

    fn refuse(&self, job: &Job, refusal: caller::Refusal) -> Response<Bytes> {
        self.caller.refuse(Some(&job.head.id), refusal)
    }

    /// Sends the request to one target. A trial ends with the first target that may have run it.
    async fn attempt(
        self: &sync::Arc<Self>,
        job: &Job,
        history: &mut history::History,
        number: site::Number,
        token: Option<range::Token>,
    ) -> Attempt {
        let attempt = self.send(job, history, number, token).await;
        if !matches!(attempt, Attempt::NotRun) {
            job.trial.store(false, atomic::Ordering::Relaxed);
        }
        attempt
    }

    async fn send(
        self: &sync::Arc<Self>,
        job: &Job,
        history: &mut history::History,
        number: site::Number,
        token: Option<range::Token>,
    ) -> Attempt {
        let start = self.clock.now();
        let mut flight = InFlight {
            core: self,
            service: &job.service,
            target: number,
            outcome: service::Outcome::Dropped,
        };
        history.tried.push(number);
        // It may have become known while the request waited.
        if !job.trial.load(atomic::Ordering::Relaxed) && self.is_quarantined(job) {
            return Attempt::Quarantined;
        }
        let Some(target) = self.view.load().targets.get(&number).cloned() else {
            return Attempt::NotRun;
        };
        let left = job.limit_at.saturating_sub(start);
        let outgoing = exchange::Outgoing {
            id: &job.head.id,
            address: target.address,
            request: self.outgoing(job, &target, left),
            idempotent: job.route.route.idempotent,
        };
        let exchanged =
            tokio::time::timeout(left, exchange::run(&self.pool, &self.bodies, outgoing)).await;
        match exchanged {
            Err(_) => {
                history.record(&target.name, "no answer in time");
                history.sent += 1;
                flight.outcome = service::Outcome::Failed;
                Attempt::Unknown
            }
            Ok(exchange::Exchange::NotSent(reason)) => {
                history.record(&target.name, &reason);
                flight.outcome = service::Outcome::Failed;
                Attempt::NotRun
            }
            Ok(exchange::Exchange::Lost(reason)) => {
                history.record(&target.name, &reason);
                history.sent += 1;
                let lost = entry_quarantine::Lost {
                    digest: job.digest(),
                    number,
                    sent: start,
                    ended: self.clock.now(),
                };
                tokio::spawn(self.clone().check_crash(lost, target));
                flight.outcome = service::Outcome::Failed;
                Attempt::Unknown
            }
            Ok(exchange::Exchange::Answer(answer)) => {
                let exchange::Answer {
                    parts,
                    body,
                    connection,
                } = *answer;
                history.sent += 1;
                let valid = head::is_final_status(parts.status.as_u16());
                let verdict = if valid {
                    self.target.classify(&parts, &job.head.id, &target.name)
                } else {
                    target::Verdict::Untrusted
                };
                self.keep(connection, verdict, &job.head.id);
                if valid {
                    history.record(&target.name, history::describe(verdict));
                } else {
                    let status = parts.status.as_u16();
                    history.record(&target.name, &format!("invalid status {status}"));
                }
                let took = self.clock.now().saturating_sub(start);
                self.record_limit(job, number, &target.name, &parts, verdict);
                self.record_leaving(job, number, &target.name, &parts, verdict);
                if verdict == target::Verdict::Shed {
                    self.record_rest(job, number, &target.name, &parts);
                }
                flight.outcome = outcome(verdict, took, job.head.key, token);
                if matches!(verdict, target::Verdict::Answer | target::Verdict::Failure) {
                    self.quarantine.clear(|| job.digest(), self.clock.now());
                }
                match verdict {
                    target::Verdict::Answer | target::Verdict::Failure
                        if !job.route.route.idempotent
                            && self.caller.promises_not_run(parts.status) =>
                    {
                        log::info!(
                            "request={:?} target={} ran, but answered with {}; callers get an unknown outcome",
                            job.head.id,
                            target.name,
                            parts.status.as_u16()
                        );
                        Attempt::Unknown
                    }
                    target::Verdict::Answer => Attempt::Answer(inbound(parts, body)),
                    target::Verdict::Failure => Attempt::Failure(inbound(parts, body)),
                    target::Verdict::Shed
                    | target::Verdict::NotOwner
                    | target::Verdict::WrongTarget => {
                        if verdict == target::Verdict::NotOwner {
                            history.tried.pop();
                        }
                        Attempt::NotRun
                    }
                    target::Verdict::Untrusted => Attempt::Unknown,
                }
            }
        }
    }

    /// Gives a connection back to the pool after the answer to the request `id`, unless it can't be
    /// trusted.
    fn keep(&self, connection: Option<pool::Connection>, verdict: target::Verdict, id: &Bytes) {
        let Some(mut connection) = connection else {
            return;
        };
        match verdict {
            target::Verdict::Answer | target::Verdict::Failure => {}
            target::Verdict::Shed | target::Verdict::NotOwner | target::Verdict::WrongTarget => {
                connection.record_refusal(id);
            }
            target::Verdict::Untrusted => return,
        }
        self.pool.give_back(connection);
    }

    /// Applies the limit that a target states in an answer. An answer to the request without one ends
    /// it; a refusal may come from a part of the target that states nothing.
    fn record_limit(
        &self,
        job: &Job,
        number: site::Number,
        target: &item::Name,
        parts: &response::Parts,
        verdict: target::Verdict,
    ) {
        let ran = matches!(verdict, target::Verdict::Answer | target::Verdict::Failure);
        let trusted = is_from_target(verdict);
        let stated = match self.target.limit(&parts.headers) {
            Ok(stated) => stated,
            Err(error) => {
                metrics::counter!("yucca_entry_invalid_limits_total").increment(1);
                log::debug!("target={target} limit ignored: {error}");
                return;
            }
        };
        if !trusted || (stated.is_none() && !ran) {
            return;
        }
        let now = self.clock.now();
        let peers = self.peers.load();
        let hosts = service::Hosts {
            near: lock(&self.near_peak).record(peers.near.len() + 1, now),
            all: lock(&self.host_peak).record(peers.count() + 1, now),
            phase: self.phase,
        };
        let changed = self
            .dispatcher
            .set_limit(&job.service, number, stated, hosts, now);
        match changed {
            Some(limit::Change::Started(rate)) => {
                log::info!("target={target} limits the requests of all hosts to {rate}");
            }
            Some(limit::Change::Ended(limit)) => {
                let (age, sent, rate) = (limit.age(now), limit.sent(), limit.stated());
                log::info!(
                    "target={target} no longer limits requests; last to {rate}, for {age:?}, in \
                     which this host sent {sent}"
                );
            }
            None => {}
        }
    }

    /// Records that a target says that it leaves, which it does in all answers from then on.
    fn record_leaving(
        &self,
        job: &Job,
        number: site::Number,
        target: &item::Name,
        parts: &response::Parts,
        verdict: target::Verdict,
    ) {
        if !is_from_target(verdict) {
            return;
        }
        match self.target.leaves(&parts.headers) {
            Ok(true) => {
                let now = self.clock.now();
                if self.dispatcher.set_leaving(&job.service, number, now) {
                    metrics::counter!("yucca_entry_leaving_targets_total").increment(1);
                    log::info!("target={target} says that it leaves");
                }
            }
            Ok(false) => {}
            Err(error) => {
                metrics::counter!("yucca_entry_invalid_leaving_total").increment(1);
                log::debug!("target={target} leaving ignored: {error}");
            }
        }
    }

    /// Applies the rest that a target asks for in a refusal.
    fn record_rest(
        &self,
        job: &Job,
        number: site::Number,
        target: &item::Name,
        parts: &response::Parts,
    ) {
        match self.target.rest(parts) {
            Ok(Some(rest)) => {
                let now = self.clock.now();
                if self.dispatcher.set_rest(&job.service, number, rest, now) {
                    metrics::counter!("yucca_entry_rests_total").increment(1);
                    log::info!("target={target} wants no requests from this host for {rest:?}");
                }
            }
            Ok(None) => {}
            Err(error) => {
                metrics::counter!("yucca_entry_invalid_rests_total").increment(1);
                log::debug!("target={target} rest ignored: {error}");
            }
        }
    }

    fn outgoing(
        &self,
        job: &Job,
        target: &view::Target,
        left: time::Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.parts.method.clone();
        *request.uri_mut() = job.parts.uri.clone();
        let headers = request.headers_mut();
        *headers = job.parts.headers.clone();
        strip_hop_headers(headers);
        let attempt = target::Attempt {
            target: &target.name,
            remaining: left,
        };
        self.target.set_headers(headers, attempt);
        request
    }
}

/// Request at a target. Reports its outcome to the dispatcher when dropped.
struct InFlight<'a> {
    core: &'a Core,
    service: &'a item::Name,
    target: site::Number,
    outcome: service::Outcome,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        self.core
            .dispatcher
            .finish(self.service, self.target, self.outcome, now);
    }
}

/// Returns whether an answer is the target's own, so that what it says of itself counts.
fn is_from_target(verdict: target::Verdict) -> bool {
    match verdict {
        target::Verdict::Answer
        | target::Verdict::Failure
        | target::Verdict::Shed
        | target::Verdict::NotOwner => true,
        target::Verdict::WrongTarget | target::Verdict::Untrusted => false,
    }
}

fn outcome(
    verdict: target::Verdict,
    took: time::Duration,
    key: Option<u16>,
    token: Option<range::Token>,
) -> service::Outcome {
    match (verdict, key, token) {
        (target::Verdict::Answer | target::Verdict::Failure, _, _) => {
            service::Outcome::Answered(took)
        }
        (target::Verdict::NotOwner, Some(key), Some(token)) => {
            service::Outcome::NotOwner { key, token }
        }
        (target::Verdict::Shed | target::Verdict::NotOwner, _, _) => service::Outcome::Shed,
        (target::Verdict::WrongTarget | target::Verdict::Untrusted, _, _) => {
            service::Outcome::Failed
        }
    }
}

/// Chooses one of the route's services at random, by weight.
fn choose(route: &item::Route) -> item::Name {
    let total: u32 = route
        .destinations
        .iter()
        .map(|destination| destination.weight)
        .sum();
    let mut drawn = if total > 0 && route.destinations.len() > 1 {
        rand::rng().random_range(0..total)
    } else {
        0
    };
    for destination in &route.destinations {
        if drawn < destination.weight {
            return destination.service.clone();
        }
        drawn -= destination.weight;
    }
    route
        .destinations
        .first()
        .map(|destination| destination.service.clone())
        .unwrap_or_default()
}

fn inbound(mut parts: response::Parts, body: Bytes) -> Response<Bytes> {
    strip_hop_headers(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, body)
}

/// Removes headers that apply to one connection only, and the content length, which the HTTP
/// library sets itself.
fn strip_hop_headers(headers: &mut HeaderMap) {
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(header::CONTENT_LENGTH);
}
