//! Conversion of a tree into a checked ticket, with the checks that the schema can't express.

mod service;

use std::fmt;
use std::net;
use std::str;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::de;
use yucca_wire::id;
use yucca_wire::table;

use super::Checked;
use super::findings::{self, Findings};
use super::text::{Node, Value};

/// Value in TOML that marks a service as removed.
const REMOVED: &str = "removed";
/// Maximum length of a summary in bytes.
const MAX_SUMMARY_BYTES: usize = 256;
/// Maximum length of a pinned key in bytes.
const MAX_KEY_BYTES: usize = 1024;
/// Maximum number of pins that operators may set for one service.
const MAX_PINS: usize = 4096;

/// Replaces the mark of removed services by null, which TOML does not have.
pub fn with_removals(mut node: Node) -> Node {
    let Value::Map(sections) = &mut node.value else {
        return node;
    };
    for section in sections.iter_mut().filter(|s| s.key == "services") {
        let Value::Map(services) = &mut section.node.value else {
            continue;
        };
        for service in services {
            if matches!(&service.node.value, Value::Text(text) if text == REMOVED) {
                service.node.value = Value::Null;
            }
        }
    }
    node
}

/// Converts a ticket. Parts that violate the schema are skipped, because they already have findings.
pub fn convert(node: &Node, findings: &mut Findings<'_>) -> Option<Checked> {
    let number = section(node, "number").and_then(decode::<std::num::NonZeroU64>);
    let summary: String = section(node, "summary")
        .and_then(decode)
        .unwrap_or_default();
    if summary.len() > MAX_SUMMARY_BYTES || summary.contains('\n') {
        findings.add(
            "summary",
            format!("summary has more than one line or {MAX_SUMMARY_BYTES} bytes"),
            "shorten it",
        );
    }
    let mut checked = Checked {
        number: id::Ticket(number.map_or(0, std::num::NonZeroU64::get)),
        summary,
        services: IndexMap::new(),
        pins: IndexMap::new(),
        drains: IndexMap::new(),
        domains: IndexMap::new(),
    };
    services(node, &mut checked, findings);
    pins(node, &mut checked, findings);
    drains(node, &mut checked, findings);
    domains(node, &mut checked, findings);
    number.map(|_| checked)
}

fn section<'a>(node: &'a Node, name: &str) -> Option<&'a Node> {
    let Value::Map(entries) = &node.value else {
        return None;
    };
    let entry = entries.iter().find(|entry| entry.key == name)?;
    Some(&entry.node)
}

/// Returns the entries of a section with their names.
fn section_entries<'a>(node: &'a Node, name: &str) -> impl Iterator<Item = (&'a str, &'a Node)> {
    let entries = match section(node, name).map(|node| &node.value) {
        Some(Value::Map(entries)) => entries.as_slice(),
        _ => &[],
    };
    entries
        .iter()
        .map(|entry| (entry.key.as_str(), &entry.node))
}

fn decode<T: de::DeserializeOwned>(node: &Node) -> Option<T> {
    serde_json::from_value(to_json(node)).ok()
}

fn to_json(node: &Node) -> serde_json::Value {
    match &node.value {
        Value::Null | Value::Date => serde_json::Value::Null,
        Value::Bool(value) => (*value).into(),
        Value::Number(number) => number.clone().into(),
        Value::Text(text) => text.clone().into(),
        Value::List(items) => items.iter().map(to_json).collect(),
        Value::Map(entries) => {
            let members = entries.iter().map(|e| (e.key.clone(), to_json(&e.node)));
            serde_json::Value::Object(members.collect())
        }
    }
}

/// Parses a text, and adds a finding if that fails.
pub(super) fn parse<T>(text: &str, path: &str, findings: &mut Findings<'_>) -> Option<T>
where
    T: str::FromStr,
    T::Err: fmt::Display,
{
    match text.parse() {
        Ok(value) => Some(value),
        Err(error) => {
            findings.add(path, error.to_string(), "correct the value");
            None
        }
    }
}

fn address(text: &str, path: &str, findings: &mut Findings<'_>) -> Option<net::SocketAddr> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        findings.add(
            path,
            format!("{text:?} is not an address"),
            "write an IP address and port, such as \"10.0.0.1:7000\"",
        );
    }
    parsed
}

fn services(node: &Node, checked: &mut Checked, findings: &mut Findings<'_>) {
    for (name, part) in section_entries(node, "services") {
        let path = findings::join("services", name);
        let name = parse(name, &path, findings);
        let state = match &part.value {
            Value::Null => Some(None),
            _ => decode(part)
                .and_then(|given| service::convert(&given, &path, findings))
                .map(Some),
        };
        if let (Some(name), Some(state)) = (name, state) {
            checked.services.insert(name, state);
        }
    }
}

fn pins(node: &Node, checked: &mut Checked, findings: &mut Findings<'_>) {
    for (name, part) in section_entries(node, "pins") {
        let path = findings::join("pins", name);
        let service = parse(name, &path, findings);
        let given: Option<IndexMap<String, String>> = decode(part);
        let given = given.unwrap_or_default();
        if given.len() > MAX_PINS {
            findings.add(
                &path,
                format!("{} pins, the limit is {MAX_PINS}", given.len()),
                "pin only the hottest keys",
            );
        }
        let mut pins = IndexMap::new();
        for (key, target) in given {
            let path = findings::join(&path, &key);
            if key.is_empty() || key.len() > MAX_KEY_BYTES {
                findings.add(
                    &path,
                    format!("key has {} bytes", key.len()),
                    format!("use 1 to {MAX_KEY_BYTES}"),
                );
            }
            if let Some(target) = parse(&target, &path, findings) {
                pins.insert(Bytes::from(key), target);
            }
        }
        if let Some(service) = service {
            checked.pins.insert(service, pins);
        }
    }
}

fn drains(node: &Node, checked: &mut Checked, findings: &mut Findings<'_>) {
    for (name, part) in section_entries(node, "drains") {
        let path = findings::join("drains", name);
        let service = parse(name, &path, findings);
        let given: Vec<String> = decode(part).unwrap_or_default();
        let targets = given.iter().enumerate();
        let targets = targets
            .filter_map(|(index, text)| parse(text, &format!("{path}[{index}]"), findings))
            .collect();
        if let Some(service) = service {
            checked.drains.insert(service, targets);
        }
    }
}

fn domains(node: &Node, checked: &mut Checked, findings: &mut Findings<'_>) {
    for (name, part) in section_entries(node, "domains") {
        let path = findings::join("domains", name);
        let name = parse(name, &path, findings);
        let state = decode(part).and_then(|given| domain(&given, &path, findings));
        if let (Some(name), Some(state)) = (name, state) {
            checked.domains.insert(name, state);
        }
    }
}

fn domain(
    given: &yucca_wire::ticket::Domain,
    path: &str,
    findings: &mut Findings<'_>,
) -> Option<table::Domain> {
    let region = parse(&given.region, &format!("{path}.region"), findings);
    let mut hosts = IndexMap::new();
    for (name, host) in &given.hosts {
        let path = findings::join(&format!("{path}.hosts"), name);
        let name = parse(name, &path, findings);
        let peer = address(&host.peer, &format!("{path}.peer"), findings);
        let control = address(&host.control, &format!("{path}.control"), findings);
        if let (Some(name), Some(peer), Some(control)) = (name, peer, control) {
            let host = table::Host {
                peer,
                control,
                disk: host.disk,
            };
            hosts.insert(name, host);
        }
    }
    Some(table::Domain {
        region: region?,
        generation: 0,
        lost: given.lost,
        hosts,
    })
}
