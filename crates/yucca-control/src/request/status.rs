//! What operators are told of hosts, domains, leaders and versions.

use std::sync;

use futures_util::future;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::{Value, json};
use yucca_wire::{id, table};

use crate::connection::listener;
use crate::message;
use crate::process::core;
use crate::request::body;

/// A host as its domain's leader hears it.
#[derive(Debug, Clone, Deserialize)]
struct Seen {
    heard_ms_ago: u64,
    global: id::Version,
    locals: IndexMap<id::Domain, id::Version>,
}

/// What a domain's leader tells.
#[derive(Debug, Clone, Deserialize)]
struct Told {
    leader: id::Host,
    hosts: IndexMap<id::Host, Seen>,
}

/// Shows what this process sees of the deployment.
pub async fn show(core: &sync::Arc<core::Core>) -> listener::Response {
    let hosts = hosts(core).await;
    let table = core.feed.table();
    let directory = core.directory.load_full();
    let domains = directory.domains().into_iter().map(|domain| {
        let told = hosts.get(&domain).and_then(Option::as_ref);
        let value = show_domain(core, &table, &domain, told);
        (domain.to_string(), value)
    });
    let value = json!({
        "deployment": core.settings.deployment,
        "host": core.settings.host,
        "domain": core.settings.domain,
        "ready": core.ready.is_ready(),
        "global": { "version": table.global.version },
        "logs": core.logs(),
        "domains": Value::Object(domains.collect()),
    });
    body::json(http::StatusCode::OK, &value)
}

fn show_domain(
    core: &core::Core,
    table: &table::Table,
    domain: &id::Domain,
    told: Option<&Told>,
) -> Value {
    let local = table.locals.get(domain);
    let named = table.global.domains.get(domain);
    let hosts = core.directory.load();
    let hosts = hosts.of_domain(domain).into_iter().map(|host| {
        let value = told.and_then(|told| told.hosts.get(&host)).map(|seen| {
            json!({
                "heard_ms_ago": seen.heard_ms_ago,
                "global": seen.global,
                "locals": seen.locals,
            })
        });
        (host.to_string(), json!(value))
    });
    json!({
        "reachable": told.is_some(),
        "lost": named.is_some_and(|domain| domain.lost),
        "leader": told.map(|told| told.leader.clone()),
        "version": local.map(|local| local.version),
        "global_taken_in": local.map(|local| local.global),
        "hosts": Value::Object(hosts.collect()),
        "targets": local.map(|local| json!(local.targets)),
    })
}

/// Tells, host by host, where a global version is in force.
pub async fn in_force(core: &sync::Arc<core::Core>, version: id::Version) -> Value {
    let hosts = hosts(core).await;
    let table = core.feed.table();
    let directory = core.directory.load_full();
    let mut shown = serde_json::Map::new();
    let mut lagging: Vec<id::Host> = Vec::new();
    for (host, entry) in &directory.hosts {
        let domain = hosts.get(&entry.domain).and_then(Option::as_ref);
        let seen = domain.and_then(|domain| domain.hosts.get(host));
        let state = match (domain, seen) {
            (None, _) => "unreachable",
            (_, None) => "unheard",
            (_, Some(seen)) if holds(seen, &table, &entry.domain, version) => "in-force",
            _ => "lagging",
        };
        if state != "in-force" {
            lagging.push(host.clone());
        }
        shown.insert(host.to_string(), json!(state));
    }
    json!({
        "everywhere": lagging.is_empty(),
        "missing": lagging,
        "hosts": Value::Object(shown),
    })
}

/// A version is in force at a host that has it, and that has the decisions which its domain took
/// with it.
fn holds(seen: &Seen, table: &table::Table, domain: &id::Domain, version: id::Version) -> bool {
    let Some(local) = table.locals.get(domain) else {
        return false;
    };
    let known = seen.locals.get(domain).copied().unwrap_or_default();
    seen.global >= version && local.global >= version && known >= local.version
}

/// Asks the leader of each domain for its hosts.
async fn hosts(core: &sync::Arc<core::Core>) -> IndexMap<id::Domain, Option<Told>> {
    let domains = core.directory.load().domains();
    let patience = core.settings.timing.answer.0;
    let asked = domains.into_iter().map(|domain| async move {
        let question = message::Query::Hosts(domain.clone());
        let hosts = match core.ask_leader(question, patience).await {
            Some(message::QueryReply::Json(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        };
        (domain, hosts)
    });
    future::join_all(asked).await.into_iter().collect()
}
