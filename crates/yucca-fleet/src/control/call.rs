//! Requests of operators and targets.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::future;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::watch;
use yucca_control::replica;
use yucca_log::node;
use yucca_own::site::{self, admission};

use crate::body;
use crate::control::Core;
use crate::dialect::operator;
use crate::mesh::message;
use crate::mutex::lock;
use crate::server;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum time that a connection waits for a complete request head.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Maximum time in which the body of a request arrives.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Maximum time to perform a request, which includes waiting for a quorum.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Time in which heartbeats are gathered before leadership is confirmed for all of them. It is
/// short, as targets wait only one second for the answer.
const CONFIRM_GATHER_TIME: time::Duration = time::Duration::from_millis(30);

/// Result of a confirmation of leadership, `None` until it ends.
pub(super) type Confirmation = watch::Receiver<Option<Result<(), message::Refusal>>>;

/// Handler of requests of operators and targets.
pub(super) struct Handler(pub sync::Arc<Core>);

impl server::Handler for Handler {
    fn handle(
        self: sync::Arc<Self>,
        request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<Full<Bytes>>> {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            let start = self.0.clock.now();
            let answer = self.0.clone().answer(request).await;
            let took = self.0.clock.now().saturating_sub(start);
            metrics::histogram!("yucca_fleet_call_seconds").record(took.as_secs_f64());
            if let operator::Answer::Unavailable(reason) = &answer {
                log::warn!("call path={path} took={took:?} unavailable: {reason}");
                metrics::counter!("yucca_fleet_calls_unavailable_total").increment(1);
            }
            self.0.dialect.write(&path, &answer).map(Full::new)
        })
    }

    fn limits(&self) -> watch::Receiver<server::Limits> {
        server::Limits {
            head_timeout: HEAD_TIMEOUT,
            head_bytes: MAX_HEAD_BYTES,
        }
        .fixed()
    }
}

impl Core {
    async fn answer(self: sync::Arc<Self>, request: Request<Incoming>) -> operator::Answer {
        let (parts, mut incoming) = request.into_parts();
        let read = body::read(&mut incoming, &self.bodies, || MAX_BODY_BYTES);
        let read = tokio::time::timeout(BODY_TIMEOUT, read).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(body::Error::NoRoom)) => {
                let reason = body::Error::NoRoom;
                return operator::Answer::Unavailable(format!("the body {reason}"));
            }
            Ok(Err(error)) => {
                let reason = format!("the body {error}");
                return operator::Answer::Invalid(operator::Error::Malformed(reason));
            }
            Err(_) => {
                let reason = format!("the body was not complete within {BODY_TIMEOUT:?}");
                return operator::Answer::Unavailable(reason);
            }
        };
        let call = match self.dialect.read(&parts.method, parts.uri.path(), &body) {
            Ok(call) => call,
            Err(error) => {
                log::warn!("call path={} not decoded: {error:?}", parts.uri.path());
                return operator::Answer::Invalid(error);
            }
        };
        let answered = tokio::time::timeout(REQUEST_TIMEOUT, self.perform(call)).await;
        match answered {
            Ok(Ok(answer)) => answer,
            Ok(Err(message::Refusal::NotLeader)) => self.redirect(),
            Ok(Err(message::Refusal::Unavailable(reason))) => operator::Answer::Unavailable(reason),
            Err(_) => operator::Answer::Unavailable("no quorum answered in time".into()),
        }
    }

    async fn perform(
        self: &sync::Arc<Self>,
        call: operator::Call,
    ) -> Result<operator::Answer, message::Refusal> {
        match call {
            operator::Call::Announce { target, heartbeat } => {
                self.announce(target, heartbeat).await
            }
            operator::Call::Leave { name, started } => self.leave(name, started).await,
            operator::Call::Change(patch) => self.change(patch).await,
            operator::Call::Read => self.read().await,
        }
    }

    /// Returns a redirect to the leader, if it is known.
    fn redirect(&self) -> operator::Answer {
        let status = self.replica.status();
        let ip = status.leader.filter(|_| !status.leads);
        let ip = ip.and_then(|host| host.as_str().parse::<net::IpAddr>().ok());
        match (ip, self.settings.addresses.operator) {
            (Some(ip), Some(own)) => {
                operator::Answer::Redirect(net::SocketAddr::new(ip, own.port()))
            }
            _ => operator::Answer::Unavailable("no leader is known".into()),
        }
    }

    async fn change(&self, patch: site::item::Patch) -> Result<operator::Answer, message::Refusal> {
        let items: Vec<String> = patch
            .items
            .iter()
            .map(|item| format!("{}@{}", item.key, item.revision))
            .collect();
        let items = items.join(", ");
        let faults = patch.faults();
        if !faults.is_empty() {
            return Ok(refuse_change(&items, faults));
        }
        self.check_conflicts(&patch, &items)?;
        let command = site::Command::Change(patch.clone());
        match self.propose(&command).await? {
            site::Outcome::Refused(faults) => Ok(refuse_change(&items, faults)),
            _ => {
                // Another change may have superseded a part of this one meanwhile.
                self.check_conflicts(&patch, &items)?;
                log::info!("change accepted: items=[{items}]");
                Ok(operator::Answer::Done)
            }
        }
    }

    /// Refuses to say whether a change is accepted if that can't be told: one of its routes is
    /// superseded, and another route has its place.
    fn check_conflicts(
        &self,
        patch: &site::item::Patch,
        items: &str,
    ) -> Result<(), message::Refusal> {
        let conflicts = lock(&self.machine).state.items.conflicts(patch);
        if conflicts.is_empty() {
            return Ok(());
        }
        let conflicts: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
        let conflicts = conflicts.join("; ");
        log::warn!(
            "change of superseded items neither accepted nor refused: items=[{items}] {conflicts}"
        );
        Err(message::Refusal::Unavailable(format!(
            "a newer revision is stored, and it is unknown whether this one was accepted before: \
             {conflicts}; send a higher revision"
        )))
    }

    async fn leave(
        &self,
        name: site::item::Name,
        started: Option<u64>,
    ) -> Result<operator::Answer, message::Refusal> {
        self.confirm().await?;
        match self.depart(&name, started) {
            admission::Departure::Leave(instance) => {
                log::info!("target={instance} leaves");
                self.propose(&site::Command::Leave(instance)).await?;
            }
            admission::Departure::Store(target) => {
                log::info!("target={} leaves before it was announced", target.instance);
                self.propose(&site::Command::Announce(target)).await?;
            }
            admission::Departure::Superseded => {}
            admission::Departure::Refuse(reason) => {
                return Err(message::Refusal::Unavailable(reason));
            }
        }
        Ok(operator::Answer::Done)
    }

    async fn read(&self) -> Result<operator::Answer, message::Refusal> {
        self.confirm().await?;
        let machine = lock(&self.machine);
        let active = machine.state.items.active();
        let items = active.map(|(key, record)| operator::Item {
            key: key.clone(),
            revision: record.revision,
            source: record.source.clone(),
        });
        Ok(operator::Answer::Items(items.collect()))
    }

    /// Waits until a quorum has confirmed that this host is the leader and the state contains
    /// everything that was committed before.
    pub(super) async fn confirm(&self) -> Result<(), message::Refusal> {
        if !self.replica.status().leads {
            return Err(message::Refusal::NotLeader);
        }
        self.replica.read().await.map(|_| ()).map_err(refusal)
    }

    /// Confirms leadership once for all heartbeats that arrive within [`CONFIRM_GATHER_TIME`],
    /// since a confirmation costs a message to and from every control host.
    pub(super) async fn confirm_together(self: &sync::Arc<Self>) -> Result<(), message::Refusal> {
        let mut shared = {
            let mut next = lock(&self.confirmation);
            match &*next {
                Some(shared) => shared.clone(),
                None => {
                    let (done, shared) = watch::channel(None);
                    *next = Some(shared.clone());
                    tokio::spawn(self.clone().confirm_after_gathering(done));
                    shared
                }
            }
        };
        let confirmed = shared.wait_for(Option::is_some).await;
        let confirmed = confirmed.ok().and_then(|confirmed| confirmed.clone());
        confirmed.unwrap_or_else(|| {
            let reason = "the confirmation was given up".to_owned();
            Err(message::Refusal::Unavailable(reason))
        })
    }

    async fn confirm_after_gathering(
        self: sync::Arc<Self>,
        done: watch::Sender<Option<Result<(), message::Refusal>>>,
    ) {
        tokio::time::sleep(CONFIRM_GATHER_TIME).await;
        // Heartbeats that arrive from now on need a later confirmation.
        lock(&self.confirmation).take();
        done.send_replace(Some(self.confirm().await));
    }

    /// Proposes a command and waits until it is committed and applied.
    pub(super) async fn propose(
        &self,
        command: &site::Command,
    ) -> Result<site::Outcome, message::Refusal> {
        if !self.replica.status().leads {
            return Err(message::Refusal::NotLeader);
        }
        let entry = rmp_serde::to_vec(command).map_err(|error| {
            message::Refusal::Unavailable(format!("the command has no encoding: {error}"))
        })?;
        let receipt = self.replica.propose(entry.into()).await.map_err(refusal)?;
        rmp_serde::from_slice(&receipt.reply).map_err(|error| {
            message::Refusal::Unavailable(format!("the outcome is unreadable: {error}"))
        })
    }
}

fn refuse_change(items: &str, faults: Vec<site::item::Fault>) -> operator::Answer {
    log::warn!("change refused: items=[{items}] {faults:?}");
    operator::Answer::Refused(faults)
}

fn refusal(error: replica::Error) -> message::Refusal {
    match error {
        replica::Error::Refused(node::Refusal::NotLeader { .. }) => message::Refusal::NotLeader,
        error => message::Refusal::Unavailable(error.to_string()),
    }
}
