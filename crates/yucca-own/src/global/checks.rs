//! Checks a ticket against the current state.

use indexmap::IndexMap;
use yucca_wire::finding;
use yucca_wire::id;
use yucca_wire::table;

use crate::ticket;

/// Returns the findings for which a ticket is refused on this table; none if it can take effect.
pub fn check(table: &table::Global, ticket: &ticket::Checked) -> Vec<finding::Finding> {
    let mut findings = Vec::new();
    let services = services_after(table, ticket);
    check_kinds(table, ticket, &mut findings);
    check_prefixes(&services, ticket, &mut findings);
    check_references(&services, ticket, &mut findings);
    check_hosts(table, ticket, &mut findings);
    findings
}

fn add_finding(
    findings: &mut Vec<finding::Finding>,
    path: String,
    problem: String,
    remedy: impl Into<String>,
) {
    findings.push(finding::Finding {
        place: finding::Place {
            path,
            ..finding::Place::default()
        },
        problem,
        remedy: remedy.into(),
    });
}

fn services_after<'a>(
    table: &'a table::Global,
    ticket: &'a ticket::Checked,
) -> IndexMap<&'a id::Service, &'a table::Service> {
    let mut services: IndexMap<_, _> = table.services.iter().collect();
    for (name, service) in &ticket.services {
        match service {
            Some(service) => {
                services.insert(name, service);
            }
            None => {
                services.swap_remove(name);
            }
        }
    }
    services
}

/// Checks that services keep their kind and number of shards. With another number of shards, keys
/// would belong to other shards.
fn check_kinds(
    table: &table::Global,
    ticket: &ticket::Checked,
    findings: &mut Vec<finding::Finding>,
) {
    for (name, service) in &ticket.services {
        let Some((service, old)) = service.as_ref().zip(table.services.get(name)) else {
            continue;
        };
        let path = || format!("services.{name}.kind");
        let remedy = "remove the service in a ticket of its own, then create it again";
        match (&old.kind, &service.kind) {
            (table::Kind::Pool, table::Kind::Pool) => {}
            (table::Kind::Keyed { shards: old, .. }, table::Kind::Keyed { shards, .. }) => {
                if old != shards {
                    let problem = format!("service has {old} shards, which are fixed");
                    add_finding(
                        findings,
                        path(),
                        problem,
                        format!("keep {old}, or {remedy}"),
                    );
                }
            }
            _ => {
                let problem = "a service does not change whether it is divided by key".into();
                add_finding(findings, path(), problem, remedy);
            }
        }
    }
}

/// Checks that no two services have the same prefix. Nested prefixes are allowed: the longest that
/// matches applies.
fn check_prefixes(
    services: &IndexMap<&id::Service, &table::Service>,
    ticket: &ticket::Checked,
    findings: &mut Vec<finding::Finding>,
) {
    for (name, service) in &ticket.services {
        let Some(service) = service else {
            continue;
        };
        let mut others = services.iter().filter(|(other, _)| **other != name);
        if let Some((other, _)) = others.find(|(_, other)| other.prefix == service.prefix) {
            add_finding(
                findings,
                format!("services.{name}.prefix"),
                format!("{:?} is the prefix of {other} already", service.prefix),
                "choose another prefix",
            );
        }
    }
}

fn check_references(
    services: &IndexMap<&id::Service, &table::Service>,
    ticket: &ticket::Checked,
    findings: &mut Vec<finding::Finding>,
) {
    let known = || services.keys().map(|name| name.as_str());
    for name in ticket.pins.keys() {
        match services.get(name).map(|service| &service.kind) {
            Some(table::Kind::Keyed { .. }) => {}
            Some(table::Kind::Pool) => add_finding(
                findings,
                format!("pins.{name}"),
                format!("{name} is not divided by key"),
                "leave its pins out",
            ),
            None => add_finding(
                findings,
                format!("pins.{name}"),
                format!("there is no service {name}"),
                ticket::suggest(name.as_str(), known()),
            ),
        }
    }
    for name in ticket.drains.keys() {
        if !services.contains_key(name) {
            add_finding(
                findings,
                format!("drains.{name}"),
                format!("there is no service {name}"),
                ticket::suggest(name.as_str(), known()),
            );
        }
    }
}

/// Checks that each host belongs to one domain, and that no two listeners share an address.
fn check_hosts(
    table: &table::Global,
    ticket: &ticket::Checked,
    findings: &mut Vec<finding::Finding>,
) {
    if ticket.domains.is_empty() {
        return;
    }
    let unchanged = table.domains.iter();
    let unchanged = unchanged.filter(|(name, _)| !ticket.domains.contains_key(*name));
    let mut owners = IndexMap::new();
    let mut addresses = IndexMap::new();
    for (domain, state) in unchanged.chain(&ticket.domains) {
        for (name, host) in &state.hosts {
            let path = format!("domains.{domain}.hosts.{name}");
            if let Some(other) = owners.insert(name, domain) {
                add_finding(
                    findings,
                    path.clone(),
                    format!("host {name} is in domain {other} too"),
                    "name it in one domain only",
                );
            }
            for address in [host.peer, host.control] {
                if let Some(other) = addresses.insert(address, name) {
                    add_finding(
                        findings,
                        path.clone(),
                        format!("{address} is an address of host {other} too"),
                        "give each listener an address of its own",
                    );
                }
            }
        }
    }
}
