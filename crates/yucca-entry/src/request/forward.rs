//! Takes a request to the lane of its target, here or at a peer, until it has an answer or its
//! deadline passes.

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

/// How long to wait before a lane that could not be reached is tried again, if no new version
/// comes first.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How many targets behind the first in rank are asked whether they know an id: as many may have
/// joined within the time for which ids are remembered.
const FORMER_HOLDERS: usize = 1;

/// Where a request goes next.
struct Place {
    domain: id::Domain,
    target: id::Target,
    token: id::Token,
    host: id::Host,
    address: Option<net::SocketAddr>,
}

/// What one try brought.
enum Try {
    /// The answer for the caller.
    Done(answer::Answer),
    /// Certainly not run: the lane was not there or could not be reached.
    NotSent(problem::Problem),
    /// The lane may have it: ask again under the same id.
    Unsure(problem::Problem),
}

/// A request on its way.
struct Journey<'a> {
    shared: &'a sync::Arc<shared::Shared>,
    request: parse::Request,
    parts: &'a request::Parts,
    length: Option<u64>,
    deadline: time::Instant,
    // An earlier sending may have reached a lane.
    resent: bool,
    tried: Vec<id::Target>,
    // Set to the target that may have the request: it is asked for again there only.
    held_by: Option<id::Target>,
}

/// Takes a request to its lane and returns the answer for the caller.
pub async fn run(
    shared: &sync::Arc<shared::Shared>,
    request: parse::Request,
    parts: &request::Parts,
    stream: body::Stream,
) -> answer::Answer {
    let deadline = time::Instant::now() + request.remaining;
    let payload = match time::timeout_at(deadline, body::Payload::read(stream)).await {
        Ok(Ok(payload)) => payload,
        Ok(Err(error)) => return refuse(unreadable(&error)),
        Err(_) => return refuse(unreadable(&body::Error::Deadline)),
    };
    let mut journey = Journey {
        shared,
        request,
        parts,
        length: payload.length(),
        deadline,
        resent: false,
        tried: Vec::new(),
        held_by: None,
    };
    journey.run(payload).await
}

fn refuse(problem: problem::Problem) -> answer::Answer {
    answer::Answer::refusal(problem, head::Load::default())
}

fn unreadable(error: &body::Error) -> problem::Problem {
    let kind = match error {
        body::Error::TooLong => problem::Kind::BodyTooLarge,
        body::Error::Connection(_) => problem::Kind::BadRequest,
        body::Error::Deadline => problem::Kind::DeadlineExceeded,
    };
    problem::Problem::not_run(kind, error.to_string())
}

impl Journey<'_> {
    async fn run(&mut self, mut payload: body::Payload) -> answer::Answer {
        let mut changes = self.shared.current.watch();
        let mut last = problem::Problem::not_run(problem::Kind::NoOwner, "no owner is known");
        while time::Instant::now() < self.deadline {
            changes.borrow_and_update();
            let view = self.shared.current.load();
            if let Err(problem) = self.settle_holder(&view).await {
                last = problem;
                self.pause(&mut changes, Some(RETRY_PAUSE)).await;
                continue;
            }
            let place = match self.place(&view) {
                Ok(place) => place,
                Err(problem) => {
                    last = problem;
                    self.pause(&mut changes, None).await;
                    continue;
                }
            };
            drop(view);
            match self.attempt(&place, &mut payload).await {
                Try::Done(answer) => return self.honest(answer),
                Try::NotSent(problem) => {
                    last = problem;
                    if !self.resent {
                        self.held_by = None;
                    }
                }
                Try::Unsure(problem) => {
                    last = problem;
                    self.resent = true;
                    self.held_by = Some(place.target.clone());
                }
            }
            if !payload.can_be_sent() {
                break;
            }
            self.tried.push(place.target);
            self.pause(&mut changes, Some(RETRY_PAUSE)).await;
        }
        refuse(self.give_up(last))
    }

    /// Corrects a lane that did not run the request, where an earlier one may have.
    fn honest(&self, answer: answer::Answer) -> answer::Answer {
        match &answer.head.verdict {
            head::Verdict::Refused(problem)
                if self.resent && problem.outcome == problem::Outcome::NotRun =>
            {
                refuse(self.give_up(problem.clone()))
            }
            _ => answer,
        }
    }

    fn give_up(&self, last: problem::Problem) -> problem::Problem {
        if self.resent {
            let detail = format!("request {}: {}", self.request.id, last.detail);
            return problem::Problem::unknown(problem::Kind::TargetLost, detail);
        }
        last
    }

    /// Waits for a new version, for at most `limit` and never past the deadline.
    async fn pause(&self, changes: &mut watch::Receiver<u64>, limit: Option<Duration>) {
        let until = match limit {
            Some(limit) => self.deadline.min(time::Instant::now() + limit),
            None => self.deadline,
        };
        let _ = time::timeout_at(until, changes.changed()).await;
    }

    fn place(&self, view: &view::View) -> Result<Place, problem::Problem> {
        let table = &view.table;
        let (target, token) = match &self.request.key {
            Some(key) => self.owner(table, key)?,
            None => (self.pooled(table)?, id::Token::default()),
        };
        let absent = |what: &str| {
            let detail = format!("target {target} {what}");
            problem::Problem::not_run(problem::Kind::NoOwner, detail)
        };
        let (domain, found) = view
            .target(&target)
            .ok_or_else(|| absent("is not known here"))?;
        let host = found
            .lane
            .clone()
            .ok_or_else(|| absent("has no lane now"))?;
        Ok(Place {
            domain: domain.clone(),
            address: table.peer(&host),
            host,
            token,
            target,
        })
    }

    /// Finds the target whose ledger answers for work that runs once only and whose id the caller
    /// chose: the one that knows the id, or else the first in rank that takes work.
    async fn settle_holder(&mut self, view: &view::View) -> Result<(), problem::Problem> {
        let once = self.request.own_id && !self.request.idempotent;
        if !once || self.request.key.is_some() || self.held_by.is_some() {
            return Ok(());
        }
        let service = &self.request.service;
        let ranked = choose::rank(&view.table, service, self.request.id);
        let first = ranked
            .iter()
            .position(|(name, target)| choose::takes_work(&view.table, service, name, target));
        let Some(first) = first else {
            let detail = format!("no target of {service} takes work now");
            return Err(problem::Problem::not_run(problem::Kind::NoOwner, detail));
        };
        // Those before it may have run the id before they stopped taking work, and those just
        // behind it before it came.
        let asked = ranked.iter().enumerate().take(first + 1 + FORMER_HOLDERS);
        for (at, (name, _)) in asked.filter(|(at, _)| *at != first) {
            match message::knows(self.shared, name, self.request.id).await {
                Some(true) => {
                    self.held_by = Some((*name).clone());
                    return Ok(());
                }
                Some(false) => {}
                None if at > first => {}
                None => {
                    let detail = format!(
                        "whether {name} ran request {} is not known",
                        self.request.id
                    );
                    let kind = problem::Kind::TargetLost;
                    return Err(problem::Problem::unknown(kind, detail));
                }
            }
        }
        self.held_by = Some(ranked[first].0.clone());
        Ok(())
    }

    fn owner(
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

    fn pooled(&self, table: &table::Table) -> Result<id::Target, problem::Problem> {
        if let Some(target) = &self.held_by
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
            let detail = format!("no target of {service} takes work now");
            problem::Problem::not_run(problem::Kind::NoOwner, detail)
        })
    }

    fn head(&self, place: &Place) -> head::Request {
        let left = self
            .deadline
            .saturating_duration_since(time::Instant::now());
        let path = self.parts.uri.path_and_query();
        head::Request {
            id: self.request.id,
            service: self.request.service.clone(),
            key: self.request.key.clone(),
            target: place.target.clone(),
            token: place.token,
            class: self.request.class,
            idempotent: self.request.idempotent,
            remaining_us: left.as_micros() as u64,
            relayed: false,
            resent: self.resent || self.request.own_id,
            length: self.length,
            method: self.parts.method.to_string(),
            uri: path.map_or_else(|| "/".into(), ToString::to_string),
            headers: fields::end_to_end(&self.parts.headers),
        }
    }

    async fn attempt(&mut self, place: &Place, payload: &mut body::Payload) -> Try {
        let head = self.head(place);
        self.shared.loads.begin(&place.target);
        let tried = if place.host == self.shared.settings.host {
            self.here(head, payload).await
        } else {
            self.at_peer(place, &head, payload).await
        };
        let load = match &tried {
            Try::Done(answer) => Some(answer.head.load),
            Try::NotSent(_) | Try::Unsure(_) => None,
        };
        self.shared.loads.end(&place.target, load);
        tried
    }

    async fn here(&self, head: head::Request, payload: &mut body::Payload) -> Try {
        let Some(stream) = payload.take() else {
            return Try::Unsure(sent_once());
        };
        sort(lanes::run(self.shared, head, stream, self.deadline).await)
    }

    async fn at_peer(
        &self,
        place: &Place,
        head: &head::Request,
        payload: &mut body::Payload,
    ) -> Try {
        let Some(address) = place.address else {
            let detail = format!("host {} of the lane is not known here", place.host);
            return Try::NotSent(problem::Problem::not_run(problem::Kind::NoOwner, detail));
        };
        match self.exchange(address, head, payload).await {
            Ok(answer) => sort(answer),
            Err(hop::Failure::NotSent(detail)) => {
                let problem = problem::Problem::not_run(problem::Kind::Unreachable, detail);
                self.relay(place, head, payload, problem).await
            }
            Err(hop::Failure::Unsure(detail)) => {
                Try::Unsure(problem::Problem::unknown(problem::Kind::TargetLost, detail))
            }
        }
    }

    /// Tries one host of a third domain, which may reach the lane where this host does not.
    async fn relay(
        &self,
        place: &Place,
        head: &head::Request,
        payload: &mut body::Payload,
        problem: problem::Problem,
    ) -> Try {
        if place.domain == self.shared.settings.domain || !payload.can_be_sent() {
            return Try::NotSent(problem);
        }
        let Some(address) = self.relay_host(&place.domain) else {
            return Try::NotSent(problem);
        };
        metrics::counter!("yucca_relayed_total").increment(1);
        match self.exchange(address, head, payload).await {
            Ok(answer) => sort(answer),
            Err(hop::Failure::NotSent(_)) => Try::NotSent(problem),
            Err(hop::Failure::Unsure(detail)) => {
                Try::Unsure(problem::Problem::unknown(problem::Kind::TargetLost, detail))
            }
        }
    }

    fn relay_host(&self, wanted: &id::Domain) -> Option<net::SocketAddr> {
        let view = self.shared.current.load();
        let here = &self.shared.settings.domain;
        let others = view.table.global.domains.iter();
        let mut thirds = others.filter(|(name, _)| *name != here && *name != wanted);
        let (_, domain) = thirds.next()?;
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
            return Err(hop::Failure::Unsure(sent_once().detail));
        };
        hop::exchange(self.shared, address, head, stream, self.deadline).await
    }
}

fn sent_once() -> problem::Problem {
    let detail = "the body is too long to be sent again";
    problem::Problem::unknown(problem::Kind::TargetLost, detail)
}

/// Tells whether a lane's answer is for the caller or asks to look for the lane elsewhere.
fn sort(answer: answer::Answer) -> Try {
    let head::Verdict::Refused(problem) = &answer.head.verdict else {
        return Try::Done(answer);
    };
    let elsewhere = matches!(
        problem.kind,
        problem::Kind::NoOwner | problem::Kind::Stopping | problem::Kind::Unreachable
    );
    if elsewhere && problem.outcome == problem::Outcome::NotRun {
        return Try::NotSent(problem.clone());
    }
    Try::Done(answer)
}
