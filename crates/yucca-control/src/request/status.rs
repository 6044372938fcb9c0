//! The status of hosts, domains, leaders and versions, for operators.

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

/// The last report of a host, as its domain's leader knows it.
#[derive(Debug, Clone, Deserialize)]
struct LastReport {
    heard_ms_ago: u64,
    global: id::Version,
    locals: IndexMap<id::Domain, id::Version>,
}

/// The answer of a domain's leader about the hosts of the domain.
#[derive(Debug, Clone, Deserialize)]
struct DomainHosts {
    leader: id::Host,
    hosts: IndexMap<id::Host, LastReport>,
}

/// Shows the state of the deployment as this process knows it.
pub async fn show(core: &sync::Arc<core::Core>) -> listener::Response {
    let hosts = hosts(core).await;
    let table = core.feed.table();
    let directory = core.directory.load_full();
    let domains = directory.domains().into_iter().map(|domain| {
        let known = hosts.get(&domain).and_then(Option::as_ref);
        let value = show_domain(core, &table, &domain, known);
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
    known: Option<&DomainHosts>,
) -> Value {
    let local = table.locals.get(domain);
    let named = table.global.domains.get(domain);
    let hosts = core.directory.load();
    let hosts = hosts.of_domain(domain).into_iter().map(|host| {
        let value = known
            .and_then(|known| known.hosts.get(&host))
            .map(|report| {
                json!({
                    "heard_ms_ago": report.heard_ms_ago,
                    "global": report.global,
                    "locals": report.locals,
                })
            });
        (host.to_string(), json!(value))
    });
    json!({
        "reachable": known.is_some(),
        "lost": named.is_some_and(|domain| domain.lost),
        "leader": known.map(|known| known.leader.clone()),
        "version": local.map(|local| local.version),
        "global_taken_in": local.map(|local| local.global),
        "hosts": Value::Object(hosts.collect()),
        "targets": local.map(|local| json!(local.targets)),
    })
}

/// Shows for each host whether a global version is in effect there.
pub async fn in_force(core: &sync::Arc<core::Core>, version: id::Version) -> Value {
    let hosts = hosts(core).await;
    let table = core.feed.table();
    let directory = core.directory.load_full();
    let mut shown = serde_json::Map::new();
    let mut lagging: Vec<id::Host> = Vec::new();
    for (host, entry) in &directory.hosts {
        let domain = hosts.get(&entry.domain).and_then(Option::as_ref);
        let report = domain.and_then(|domain| domain.hosts.get(host));
        let state = match (domain, report) {
            (None, _) => "unreachable",
            (_, None) => "unheard",
            (_, Some(report)) if is_in_effect(report, &table, &entry.domain, version) => "in-force",
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

/// Returns whether a global version is in effect on a host: its domain has applied the version, and
/// the host has both this version and the newest version of its domain that this process knows,
/// which includes the decisions that followed from the global version.
fn is_in_effect(
    report: &LastReport,
    table: &table::Table,
    domain: &id::Domain,
    version: id::Version,
) -> bool {
    let Some(local) = table.locals.get(domain) else {
        return false;
    };
    let known = report.locals.get(domain).copied().unwrap_or_default();
    report.global >= version && local.global >= version && known >= local.version
}

/// Queries the leader of each domain about its hosts; `None` for a domain without an answer.
async fn hosts(core: &sync::Arc<core::Core>) -> IndexMap<id::Domain, Option<DomainHosts>> {
    let domains = core.directory.load().domains();
    let timeout = core.settings.timing.answer.0;
    let queries = domains.into_iter().map(|domain| async move {
        let query = message::Query::Hosts(domain.clone());
        let hosts = match core.ask_leader(query, timeout).await {
            Some(message::QueryReply::Json(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        };
        (domain, hosts)
    });
    future::join_all(queries).await.into_iter().collect()
}
