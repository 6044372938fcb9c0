//! Learns new versions of the table from other control processes.
//!
//! A host follows the leader of its domain. The leader follows one host of each other domain. A
//! host that knows no leader follows one host of each domain, its own included. All parts pass through all, so that two domains that have
//! lost each other learn of each other through a third.

use std::sync;
use std::time;

use indexmap::IndexMap;
use tokio::task;
use yucca_wire::id;

use crate::message;
use crate::process::core::Core;
use crate::process::hosted;

/// How often it is looked at whom to follow.
const REVIEW: time::Duration = time::Duration::from_millis(100);

/// How long to wait after a host could not be followed.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// How long a leader whose domain is alone waits for others before it is ready.
const ALONE: time::Duration = time::Duration::from_secs(2);

/// Whom to follow.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Source {
    /// The leader of the own domain.
    Leader(id::Host),
    /// Some host of a domain.
    Domain(id::Domain),
}

/// Follows whom the process is to follow.
pub(super) async fn run(core: sync::Arc<Core>) {
    let mut running: IndexMap<Source, task::AbortHandle> = IndexMap::new();
    let mut tasks = task::JoinSet::new();
    let mut ticks = tokio::time::interval(REVIEW);
    loop {
        ticks.tick().await;
        note_alone(&core).await;
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
                let task = tasks.spawn(follow(core.clone(), source.clone()));
                running.insert(source, task);
            }
        }
        while tasks.try_join_next().is_some() {}
    }
}

/// A leader that nobody answers is as current as can be.
async fn note_alone(core: &Core) {
    if core.ready.is_current() || !core.leads_domain() {
        return;
    }
    let others = core.directory.load().domains().len() > 1;
    let Some(hosted) = core.domain(&core.settings.domain) else {
        return;
    };
    let waited = !others || core.now() >= ALONE;
    if waited && hosted.replica.read().await.is_ok() {
        core.ready.note_current();
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

async fn follow(core: sync::Arc<Core>, source: Source) {
    let mut attempt = 0;
    loop {
        let host = match &source {
            Source::Leader(leader) => Some(leader.clone()),
            Source::Domain(domain) => pick(&core, domain, attempt),
        };
        let followed = match host {
            Some(host) => ask(&core, &host).await,
            None => None,
        };
        match followed {
            Some(followed) => {
                take(&core, &source, followed);
            }
            None => {
                attempt += 1;
                if matches!(source, Source::Leader(_)) {
                    core.note_leader(None);
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn take(core: &Core, source: &Source, followed: message::PollReply) {
    core.feed.merge(followed.update);
    let own = match source {
        Source::Leader(_) => true,
        Source::Domain(domain) => *domain == core.settings.domain,
    };
    if own {
        core.note_leader(followed.leader);
    }
    if core.leads_domain() || (own && followed.current) {
        core.ready.note_current();
    }
}

/// Takes the hosts of a domain in turn. Those that run replicas come first: they know first.
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

async fn ask(core: &Core, host: &id::Host) -> Option<message::PollReply> {
    let address = core.directory.load().address(host)?;
    let known = core.feed.known();
    let message = message::Poll {
        global: known.global,
        locals: known.locals,
    };
    let timing = &core.settings.timing;
    let patience = timing.heartbeat.0 + timing.answer.0;
    let answer = core
        .client
        .send(address, message::POLL_PATH, message, patience);
    answer.await.ok()
}
