//! JSON views for operators.

use bytes::Bytes;
use indexmap::IndexMap;
use serde_json::{Value, json};
use yucca_own::{global, ticket};
use yucca_wire::{id, table};

use crate::replica;

/// Shows the most recent tickets, the newest first.
pub fn tickets(state: &global::State) -> Value {
    let recent = state.tickets().recent().map(|accepted| {
        json!({
            "number": accepted.number,
            "version": accepted.version,
            "sender": accepted.detail.as_ref().map(|detail| detail.sender.clone()),
            "summary": accepted.detail.as_ref().map(|detail| detail.summary.clone()),
        })
    });
    json!({
        "accepted": state.tickets().len(),
        "recent": recent.collect::<Vec<Value>>(),
    })
}

/// Shows a ticket; null if it was not accepted.
pub fn ticket(state: &global::State, number: id::Ticket) -> Value {
    state
        .ticket(number)
        .map_or(Value::Null, |accepted| self::accepted_ticket(&accepted))
}

/// Shows an accepted ticket.
pub fn accepted_ticket(accepted: &global::Acceptance) -> Value {
    let detail = accepted.detail.as_ref();
    let content = detail.and_then(|detail| detail.content.as_ref());
    json!({
        "number": accepted.number,
        "version": accepted.version,
        "digest": format!("{:016x}", accepted.digest.0),
        "sender": detail.map(|detail| detail.sender.clone()),
        "summary": detail.map(|detail| detail.summary.clone()),
        "content": content.map(|content| checked(content)),
    })
}

fn checked(ticket: &ticket::Checked) -> Value {
    let pins = ticket.pins.iter();
    let pins = pins.map(|(service, pins)| (service.to_string(), keyed(pins)));
    json!({
        "number": ticket.number,
        "summary": ticket.summary,
        "services": ticket.services,
        "pins": Value::Object(pins.collect()),
        "drains": ticket.drains,
        "domains": ticket.domains,
    })
}

/// Shows a map whose keys are bytes; invalid UTF-8 in them is replaced.
fn keyed<T: serde::Serialize>(map: &IndexMap<Bytes, T>) -> Value {
    let entries = map.iter().map(|(key, value)| {
        let key = String::from_utf8_lossy(key).into_owned();
        (key, json!(value))
    });
    Value::Object(entries.collect())
}

/// Shows the whole table.
pub fn table(table: &table::Table) -> Value {
    let locals = table.locals.iter();
    let locals = locals.map(|(domain, part)| (domain.to_string(), local(part)));
    json!({
        "global": global(&table.global),
        "locals": Value::Object(locals.collect()),
    })
}

fn global(part: &table::Global) -> Value {
    let pins = part.pins.iter();
    let pins = pins.map(|(service, pins)| (service.to_string(), keyed(pins)));
    json!({
        "version": part.version,
        "services": part.services,
        "domains": part.domains,
        "homes": part.homes,
        "leaving": part.leaving,
        "pins": Value::Object(pins.collect()),
        "drains": part.drains,
    })
}

fn local(part: &table::Local) -> Value {
    let owners = part.owners.iter().map(|(service, owners)| {
        let owners = owners
            .iter()
            .map(|(shard, owner)| (shard.to_string(), json!(owner)));
        (service.to_string(), Value::Object(owners.collect()))
    });
    let pins = part.pins.iter();
    let pins = pins.map(|(service, pins)| (service.to_string(), keyed(pins)));
    json!({
        "domain": part.domain,
        "version": part.version,
        "global": part.global,
        "targets": part.targets,
        "owners": Value::Object(owners.collect()),
        "pins": Value::Object(pins.collect()),
    })
}

/// Shows the status of a log.
pub fn status(status: &replica::Status) -> Value {
    let voters = status.members.voters().iter();
    let learners = status.members.learners().iter();
    json!({
        "leader": status.leader,
        "leads": status.leads,
        "term": status.term,
        "applied": status.applied,
        "commit": status.commit,
        "voters": voters.map(|voter| voter.host.clone()).collect::<Vec<_>>(),
        "learners": learners.map(|learner| learner.host.clone()).collect::<Vec<_>>(),
        "fault": status.fault,
    })
}
