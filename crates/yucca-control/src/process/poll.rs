//! Polls other control processes for new versions of the table.
//!
//! A host polls the leader of its domain. The leader polls one host of each other domain. A host
//! that knows no leader polls one host of each domain, including its own. Every host passes on all
//! parts of the table, so that two domains that are disconnected from each other exchange versions
//! through a third.

use std::sync;
use std::time;

use indexmap::IndexMap;
use tokio::task;
use yucca_wire::id;

use crate::message;
use crate::process::core::Core;
use crate::process::hosted;

/// Interval at which the hosts to poll are chosen again.
const SOURCES_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Delay after a host could not be polled.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Time after the start of the process after which a leader no longer waits for other domains
/// before it is ready.
const ISOLATED_WAIT: time::Duration = time::Duration::from_secs(2);

/// A source of new versions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Source {
    /// The leader of this host's domain.
    Leader(id::Host),
    /// Any host of a domain.
    Domain(id::Domain),
}

/// Polls all sources until the task is aborted.
pub(super) async fn run(core: sync::Arc<Core>) {
    let mut running: IndexMap<Source, task::AbortHandle> = IndexMap::new();
    let mut tasks = task::JoinSet::new();
    let mut ticks = tokio::time::interval(SOURCES_INTERVAL);
    loop {
        ticks.tick().await;
        mark_isolated_leader(&core).await;
        let wanted = sources(&core);
        running.retain(|source, task| {
            let keep = wanted.contains(source);
            if !keep {
                task.abort();
            }
            keep
        });
        for source in wanted {
            if !running.contains_key(&source) {
                let task = tasks.spawn(poll(core.clone(), source.clone()));
                running.insert(source, task);
            }
        }
        while tasks.try_join_next().is_some() {}
    }
}

/// Marks a leader as current if it has no other domains to poll, or had no answer from them in
/// time: no source with newer versions can be reached. A quorum must first confirm that it leads.
async fn mark_isolated_leader(core: &Core) {
    if core.ready.is_current() || !core.leads_domain() {
        return;
    }
    let others = core.directory.load().domains().len() > 1;
    let Some(hosted) = core.domain(&core.settings.domain) else {
        return;
    };
    let waited = !others || core.now() >= ISOLATED_WAIT;
    if waited && hosted.replica.read().await.is_ok() {
        core.ready.mark_current();
    }
}

fn sources(core: &Core) -> Vec<Source> {
    let own = &core.settings.domain;
    let log = message::Log::Domain(own.clone());
    match core.leader_hint(&log) {
        Some(leader) if leader != core.settings.host => vec![Source::Leader(leader)],
        leader => {
            let domains = core.directory.load().domains().into_iter();
            let wanted = domains.filter(|domain| leader.is_none() || domain != own);
            wanted.map(Source::Domain).collect()
        }
    }
}

async fn poll(core: sync::Arc<Core>, source: Source) {
    let mut attempt = 0;
    loop {
        let host = match &source {
            Source::Leader(leader) => Some(leader.clone()),
            Source::Domain(domain) => pick(&core, domain, attempt),
        };
        let reply = match host {
            Some(host) => request(&core, &host).await,
            None => None,
        };
        match reply {
            Some(reply) => {
                apply(&core, &source, reply);
            }
            None => {
                attempt += 1;
                if matches!(source, Source::Leader(_)) {
                    core.set_reported_leader(None);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply(core: &Core, source: &Source, reply: message::PollReply) {
    core.feed.merge(reply.update);
    let own = match source {
        Source::Leader(_) => true,
        Source::Domain(domain) => *domain == core.settings.domain,
    };
    if own {
        core.set_reported_leader(reply.leader);
    }
    if core.leads_domain() || (own && reply.current) {
        core.ready.mark_current();
    }
}

/// Returns a host of the domain, the next one with each attempt. Only hosts that run a replica of
/// the domain's log are used, because they receive new versions first.
fn pick(core: &Core, domain: &id::Domain, attempt: usize) -> Option<id::Host> {
    let directory = core.directory.load();
    let log = message::Log::Domain(domain.clone());
    let placement = hosted::placement(&directory, &log);
    let is_local = |host: &&id::Host| {
        let entry = directory.hosts.get(*host);
        entry.is_some_and(|entry| entry.domain == *domain)
    };
    let other = |host: &&id::Host| **host != core.settings.host;
    let locals = placement.hosts.iter().filter(is_local).filter(other);
    let locals: Vec<&id::Host> = locals.collect();
    let count = locals.len().max(1);
    locals.get(attempt % count).map(|host| (*host).clone())
}

async fn request(core: &Core, host: &id::Host) -> Option<message::PollReply> {
    let address = core.directory.load().address(host)?;
    let known = core.feed.known();
    let message = message::Poll {
        global: known.global,
        locals: known.locals,
    };
    let timing = &core.settings.timing;
    let timeout = timing.heartbeat.0 + timing.answer.0;
    let answer = core
        .client
        .send(address, message::POLL_PATH, message, timeout);
    answer.await.ok()
}
