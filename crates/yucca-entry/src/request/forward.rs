//! Forwards a request to the lane of its target, on this host or a peer, and retries until there is
//! an answer or the deadline passes.

use std::net;
use std::sync;
use std::time::Duration;

use http::request;
use tokio::sync::watch;
use tokio::time;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;

use crate::process::lanes;
use crate::process::lanes::message;
use crate::process::shared;
use crate::request::answer;
use crate::request::body;
use crate::request::choose;
use crate::request::fields;
use crate::request::hop;
use crate::request::parse;
use crate::version::view;

/// Maximum time to wait for a new table version before a failed attempt is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Number of targets ranked after the preferred one that are asked whether they know an id. As many
/// targets may have joined within the time for which ids are stored.
const FORMER_HOLDERS: usize = 1;

/// Lane to which an attempt is sent.
struct Endpoint {
    domain: id::Domain,
    target: id::Target,
    token: id::Token,
    host: id::Host,
    address: Option<net::SocketAddr>,
}

/// Result of one attempt.
enum Attempt {
    /// The answer, or final refusal, for the caller.
    Answered(answer::Answer),
    /// The request is known not to have run: the lane was not there or could not be reached.
    NotSent(problem::Problem),
    /// The lane may have received the request: retry with the same id.
    MaybeSent(problem::Problem),
}

/// State of a request that is being forwarded.
struct Forwarder<'a> {
    shared: &'a sync::Arc<shared::Shared>,
    request: parse::Request,
    parts: &'a request::Parts,
    length: Option<u64>,
    deadline: time::Instant,
    // Whether an earlier attempt may have reached a lane.
    resent: bool,
    tried: Vec<id::Target>,
    // Target that may have received the request or that `find_holder` chose. Without a key, a
    // non-idempotent request is sent only there.
    holder: Option<id::Target>,
}

/// Forwards a request to its lane and returns the answer for the caller.
pub async fn run(
    shared: &sync::Arc<shared::Shared>,
    request: parse::Request,
    parts: &request::Parts,
    stream: body::Stream,
) -> answer::Answer {
    let deadline = time::Instant::now() + request.remaining;
    let payload = match time::timeout_at(deadline, body::Payload::read(stream)).await {
        Ok(Ok(payload)) => payload,
        Ok(Err(error)) => return refuse(body_problem(&error)),
        Err(_) => return refuse(body_problem(&body::Error::Deadline)),
    };
    let mut forwarder = Forwarder {
        shared,
        request,
        parts,
        length: payload.length(),
        deadline,
        resent: false,
        tried: Vec::new(),
        holder: None,
    };
    forwarder.run(payload).await
}

fn refuse(problem: problem::Problem) -> answer::Answer {
    answer::Answer::refusal(problem, head::Load::default())
}

fn body_problem(error: &body::Error) -> problem::Problem {
    let kind = match error {
        body::Error::TooLong => problem::Kind::BodyTooLarge,
        body::Error::Connection(_) => problem::Kind::BadRequest,
        body::Error::Deadline => problem::Kind::DeadlineExceeded,
    };
    problem::Problem::not_run(kind, error.to_string())
}

impl Forwarder<'_> {
    async fn run(&mut self, mut payload: body::Payload) -> answer::Answer {
        let mut changes = self.shared.current.watch();
        let mut last = problem::Problem::not_run(problem::Kind::NoOwner, "no owner is known");
        while time::Instant::now() < self.deadline {
            changes.borrow_and_update();
            let view = self.shared.current.load();
            if let Err(problem) = self.find_holder(&view).await {
                last = problem;
                self.pause(&mut changes, Some(RETRY_PAUSE)).await;
                continue;
            }
            let endpoint = match self.endpoint(&view) {
                Ok(endpoint) => endpoint,
                Err(problem) => {
                    last = problem;
                    self.pause(&mut changes, None).await;
                    continue;
                }
            };
            drop(view);
            match self.attempt(&endpoint, &mut payload).await {
                Attempt::Answered(answer) => return self.correct_outcome(answer),
                Attempt::NotSent(problem) => {
                    last = problem;
                    if !self.resent {
                        self.holder = None;
                    }
                }
                Attempt::MaybeSent(problem) => {
                    last = problem;
                    self.resent = true;
                    self.holder = Some(endpoint.target.clone());
                }
            }
            if !payload.can_be_sent() {
                break;
            }
            self.tried.push(endpoint.target);
            self.pause(&mut changes, Some(RETRY_PAUSE)).await;
        }
        refuse(self.final_problem(last))
    }

    /// Changes a refusal with outcome `not-run` to `unknown` if an earlier attempt may have run the
    /// request.
    fn correct_outcome(&self, answer: answer::Answer) -> answer::Answer {
        match &answer.head.verdict {
            head::Verdict::Refused(problem)
                if self.resent && problem.outcome == problem::Outcome::NotRun =>
            {
                refuse(self.final_problem(problem.clone()))
            }
            _ => answer,
        }
    }

    /// Returns the problem for the caller after the last attempt. Its outcome is `unknown` if an
    /// attempt may have reached a lane.
    fn final_problem(&self, last: problem::Problem) -> problem::Problem {
        if self.resent {
            let detail = format!("request {}: {}", self.request.id, last.detail);
            return problem::Problem::unknown(problem::Kind::TargetLost, detail);
        }
        last
    }

    /// Waits for a new table version, at most for `limit` and at most until the deadline.
    async fn pause(&self, changes: &mut watch::Receiver<u64>, limit: Option<Duration>) {
        let until = match limit {
            Some(limit) => self.deadline.min(time::Instant::now() + limit),
            None => self.deadline,
        };
        let _ = time::timeout_at(until, changes.changed()).await;
    }

    fn endpoint(&self, view: &view::View) -> Result<Endpoint, problem::Problem> {
        let table = &view.table;
        let (target, token) = match &self.request.key {
            Some(key) => self.key_owner(table, key)?,
            None => (self.pool_target(table)?, id::Token::default()),
        };
        let unavailable = |what: &str| {
            let detail = format!("target {target} {what}");
            problem::Problem::not_run(problem::Kind::NoOwner, detail)
        };
        let (domain, found) = view
            .target(&target)
            .ok_or_else(|| unavailable("is not known here"))?;
        let host = found
            .lane
            .clone()
            .ok_or_else(|| unavailable("has no lane now"))?;
        Ok(Endpoint {
            domain: domain.clone(),
            address: table.peer(&host),
            host,
            token,
            target,
        })
    }

    /// Sets the only target to which a non-idempotent request with an id from the caller may be
    /// sent, if its service has no keys.
    ///
    /// It is the target whose ledger knows the id, or else the first in rank that accepts requests.
    ///
    /// # Errors
    /// Returns a problem if no target accepts requests, or if a target ranked before that one does
    /// not say whether it knows the id.
    async fn find_holder(&mut self, view: &view::View) -> Result<(), problem::Problem> {
        let once = self.request.id_from_caller && !self.request.idempotent;
        if !once || self.request.key.is_some() || self.holder.is_some() {
            return Ok(());
        }
        let service = &self.request.service;
        let ranked = choose::rank(&view.table, service, self.request.id);
        let first = ranked.iter().position(|(name, target)| {
            choose::accepts_requests(&view.table, service, name, target)
        });
        let Some(first) = first else {
            let detail = format!("no target of {service} accepts requests now");
            return Err(problem::Problem::not_run(problem::Kind::NoOwner, detail));
        };
        // Targets ranked before it may have run the id before they stopped accepting requests, and
        // those ranked directly after it before it joined.
        let asked = ranked.iter().enumerate().take(first + 1 + FORMER_HOLDERS);
        for (at, (name, _)) in asked.filter(|(at, _)| *at != first) {
            match message::knows(self.shared, name, self.request.id).await {
                Some(true) => {
                    self.holder = Some((*name).clone());
                    return Ok(());
                }
                Some(false) => {}
                None if at > first => {}
                None => {
                    let detail = format!(
                        "it is not known whether {name} ran request {}",
                        self.request.id
                    );
                    let kind = problem::Kind::TargetLost;
                    return Err(problem::Problem::unknown(kind, detail));
                }
            }
        }
        self.holder = Some(ranked[first].0.clone());
        Ok(())
    }

    fn key_owner(
        &self,
        table: &table::Table,
        key: &[u8],
    ) -> Result<(id::Target, id::Token), problem::Problem> {
        match table.locate(&self.request.service, key) {
            Ok(location) => Ok((location.target.clone(), location.token)),
            Err(missing) => {
                let detail = match missing {
                    table::Missing::Service => "the service is not divided by key",
                    table::Missing::Home => "the key's shard has no home domain yet",
                    table::Missing::Domain => "the key's home domain is not known here",
                    table::Missing::Owner => "the key's shard has no owner now",
                };
                Err(problem::Problem::not_run(problem::Kind::NoOwner, detail))
            }
        }
    }

    fn pool_target(&self, table: &table::Table) -> Result<id::Target, problem::Problem> {
        if let Some(target) = &self.holder
            && !self.request.idempotent
        {
            return Ok(target.clone());
        }
        let settings = &self.shared.settings;
        let service = &self.request.service;
        let loads = &self.shared.loads;
        let mut rng = rand::rng();
        let chosen = choose::choose(
            table,
            loads,
            service,
            &settings.domain,
            &self.tried,
            &mut rng,
        )
        .or_else(|| choose::choose(table, loads, service, &settings.domain, &[], &mut rng));
        chosen.ok_or_else(|| {
            let detail = format!("no target of {service} accepts requests now");
            problem::Problem::not_run(problem::Kind::NoOwner, detail)
        })
    }

    fn head(&self, endpoint: &Endpoint) -> head::Request {
        let left = self
            .deadline
            .saturating_duration_since(time::Instant::now());
        let path = self.parts.uri.path_and_query();
        head::Request {
            id: self.request.id,
            service: self.request.service.clone(),
            key: self.request.key.clone(),
            target: endpoint.target.clone(),
            token: endpoint.token,
            class: self.request.class,
            idempotent: self.request.idempotent,
            remaining_us: left.as_micros() as u64,
            relayed: false,
            resent: self.resent || self.request.id_from_caller,
            length: self.length,
            method: self.parts.method.to_string(),
            uri: path.map_or_else(|| "/".into(), ToString::to_string),
            headers: fields::end_to_end(&self.parts.headers),
        }
    }

    async fn attempt(&mut self, endpoint: &Endpoint, payload: &mut body::Payload) -> Attempt {
        let head = self.head(endpoint);
        self.shared.loads.begin(&endpoint.target);
        let attempt = if endpoint.host == self.shared.settings.host {
            self.send_local(head, payload).await
        } else {
            self.send_to_peer(endpoint, &head, payload).await
        };
        let load = match &attempt {
            Attempt::Answered(answer) => Some(answer.head.load),
            Attempt::NotSent(_) | Attempt::MaybeSent(_) => None,
        };
        self.shared.loads.end(&endpoint.target, load);
        attempt
    }

    async fn send_local(&self, head: head::Request, payload: &mut body::Payload) -> Attempt {
        let Some(stream) = payload.take() else {
            return Attempt::MaybeSent(body_consumed());
        };
        classify(lanes::run(self.shared, head, stream, self.deadline).await)
    }

    async fn send_to_peer(
        &self,
        endpoint: &Endpoint,
        head: &head::Request,
        payload: &mut body::Payload,
    ) -> Attempt {
        let Some(address) = endpoint.address else {
            let detail = format!("host {} of the lane is not known here", endpoint.host);
            return Attempt::NotSent(problem::Problem::not_run(problem::Kind::NoOwner, detail));
        };
        match self.exchange(address, head, payload).await {
            Ok(answer) => classify(answer),
            Err(hop::Failure::NotSent(detail)) => {
                let problem = problem::Problem::not_run(problem::Kind::Unreachable, detail);
                self.relay(endpoint, head, payload, problem).await
            }
            Err(hop::Failure::MaybeSent(detail)) => {
                Attempt::MaybeSent(problem::Problem::unknown(problem::Kind::TargetLost, detail))
            }
        }
    }

    /// Sends the request through a host of a third domain, which may be able to reach the lane.
    async fn relay(
        &self,
        endpoint: &Endpoint,
        head: &head::Request,
        payload: &mut body::Payload,
        problem: problem::Problem,
    ) -> Attempt {
        if endpoint.domain == self.shared.settings.domain || !payload.can_be_sent() {
            return Attempt::NotSent(problem);
        }
        let Some(address) = self.relay_host(&endpoint.domain) else {
            return Attempt::NotSent(problem);
        };
        metrics::counter!("yucca_relayed_total").increment(1);
        match self.exchange(address, head, payload).await {
            Ok(answer) => classify(answer),
            Err(hop::Failure::NotSent(_)) => Attempt::NotSent(problem),
            Err(hop::Failure::MaybeSent(detail)) => {
                Attempt::MaybeSent(problem::Problem::unknown(problem::Kind::TargetLost, detail))
            }
        }
    }

    /// Returns the peer address of a host that is in neither this domain nor `wanted`.
    fn relay_host(&self, wanted: &id::Domain) -> Option<net::SocketAddr> {
        let view = self.shared.current.load();
        let here = &self.shared.settings.domain;
        let others = view.table.global.domains.iter();
        let mut candidates = others.filter(|(name, _)| *name != here && *name != wanted);
        let (_, domain) = candidates.next()?;
        let turn = self.request.id.0 as usize % domain.hosts.len().max(1);
        domain.hosts.values().nth(turn).map(|host| host.peer)
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        head: &head::Request,
        payload: &mut body::Payload,
    ) -> Result<answer::Answer, hop::Failure> {
        let Some(stream) = payload.take() else {
            return Err(hop::Failure::MaybeSent(body_consumed().detail));
        };
        hop::exchange(self.shared, address, head, stream, self.deadline).await
    }
}

fn body_consumed() -> problem::Problem {
    let detail = "the body is too long to be buffered and was already sent";
    problem::Problem::unknown(problem::Kind::TargetLost, detail)
}

/// Classifies a lane's answer. A refusal because the lane is missing, stopping or unreachable is
/// retried if the request did not run; all other answers are for the caller.
fn classify(answer: answer::Answer) -> Attempt {
    let head::Verdict::Refused(problem) = &answer.head.verdict else {
        return Attempt::Answered(answer);
    };
    let elsewhere = matches!(
        problem.kind,
        problem::Kind::NoOwner | problem::Kind::Stopping | problem::Kind::Unreachable
    );
    if elsewhere && problem.outcome == problem::Outcome::NotRun {
        return Attempt::NotSent(problem.clone());
    }
    Attempt::Answered(answer)
}
