//! Validation against the ticket's JSON Schema, which reports all violations.
//!
//! The parser of the generated types stops at the first error, but operators need all of them. Only
//! the parts of JSON Schema that `schema/ticket.json` uses are supported.

use std::sync;

use serde_json::Value as Schema;

use super::findings::{self, Findings};
use super::text::{Node, Value};

/// JSON Schema of a ticket.
static TICKET: sync::LazyLock<Schema> = sync::LazyLock::new(|| {
    let text = include_str!("../../../../schema/ticket.json");
    serde_json::from_str(text).unwrap_or_default()
});

/// Validates a whole ticket.
pub fn check(node: &Node, findings: &mut Findings<'_>) {
    validate(&TICKET, node, "", findings);
}

fn resolve(schema: &'static Schema) -> &'static Schema {
    match schema.get("$ref").and_then(Schema::as_str) {
        Some(reference) => TICKET
            .pointer(reference.trim_start_matches('#'))
            .unwrap_or(schema),
        None => schema,
    }
}

fn validate(schema: &'static Schema, node: &Node, path: &str, findings: &mut Findings<'_>) {
    let schema = resolve(schema);
    findings.locate(path, node.at);
    let alternatives = schema.get("oneOf").or_else(|| schema.get("anyOf"));
    if let Some(alternatives) = alternatives.and_then(Schema::as_array) {
        return choose(alternatives, node, path, findings);
    }
    let expected = kind(schema);
    match (&node.value, expected) {
        (Value::Map(_), "object") => check_object(schema, node, path, findings),
        (Value::List(items), "array") => {
            let Some(schema) = schema.get("items") else {
                return;
            };
            for (index, item) in items.iter().enumerate() {
                validate(schema, item, &format!("{path}[{index}]"), findings);
            }
        }
        (Value::Text(text), "string") => check_enum(schema, text, path, findings),
        (Value::Number(number), "integer" | "number") => {
            check_range(schema, number, path, findings)
        }
        (Value::Bool(_), "boolean") | (Value::Null, "null") => {}
        (other, _) => findings.add(
            path,
            format!(
                "expected {}, found {}",
                with_article(expected),
                other.kind()
            ),
            format!("write {}", with_article(expected)),
        ),
    }
}

fn kind(schema: &Schema) -> &str {
    schema.get("type").and_then(Schema::as_str).unwrap_or("any")
}

fn with_article(kind: &str) -> String {
    match kind {
        "object" | "array" | "integer" => format!("an {kind}"),
        _ => format!("a {kind}"),
    }
}

/// Validates against the alternative that the value most likely means, so that its findings refer to
/// that one.
fn choose(alternatives: &'static [Schema], node: &Node, path: &str, findings: &mut Findings<'_>) {
    let kind_of_node = node.value.kind();
    let resolved = alternatives.iter().map(resolve);
    let fitting: Vec<&'static Schema> = resolved.filter(|s| kind(s) == kind_of_node).collect();
    let Value::Map(entries) = &node.value else {
        match fitting.first() {
            Some(schema) => validate(schema, node, path, findings),
            None => wrong_type(alternatives, node, path, findings),
        }
        return;
    };
    let has = |schema: &Schema, key: &str| {
        let properties = schema.get("properties");
        properties.is_some_and(|properties| properties.get(key).is_some())
    };
    let named = |schema: &&&'static Schema| entries.iter().any(|entry| has(schema, &entry.key));
    match (fitting.iter().find(named), fitting.as_slice()) {
        (Some(schema), _) => validate(schema, node, path, findings),
        (None, [only]) => validate(only, node, path, findings),
        (None, []) => wrong_type(alternatives, node, path, findings),
        (None, _) => {
            let names: Vec<&str> = fitting.iter().flat_map(|s| properties(s)).collect();
            let given = entries.first().map_or("", |entry| entry.key.as_str());
            let at = entries.first().map_or(node.at, |entry| entry.at);
            findings.add_at(
                at,
                path,
                format!("{given:?} is not known here"),
                findings::suggest(given, names),
            );
        }
    }
}

fn wrong_type(
    alternatives: &'static [Schema],
    node: &Node,
    path: &str,
    findings: &mut Findings<'_>,
) {
    let kinds = alternatives.iter().map(resolve).map(kind).map(with_article);
    let mut kinds: Vec<String> = kinds.collect();
    kinds.dedup();
    let expected = kinds.join(" or ");
    findings.add(
        path,
        format!("expected {expected}, found {}", node.value.kind()),
        format!("write {expected}"),
    );
}

fn properties(schema: &'static Schema) -> impl Iterator<Item = &'static str> {
    let properties = schema.get("properties").and_then(Schema::as_object);
    properties
        .into_iter()
        .flatten()
        .map(|(name, _)| name.as_str())
}

fn check_object(schema: &'static Schema, node: &Node, path: &str, findings: &mut Findings<'_>) {
    let Value::Map(entries) = &node.value else {
        return;
    };
    for (index, entry) in entries.iter().enumerate() {
        let inner = findings::join(path, &entry.key);
        if entries[..index].iter().any(|other| other.key == entry.key) {
            findings.add_at(
                entry.at,
                &inner,
                format!("{:?} is given twice", entry.key),
                "keep one of them",
            );
            continue;
        }
        let property = schema.get("properties").and_then(|p| p.get(&entry.key));
        let others = schema.get("additionalProperties");
        match property.or(others.filter(|others| others.is_object())) {
            Some(schema) => validate(schema, &entry.node, &inner, findings),
            None => findings.add_at(
                entry.at,
                &inner,
                format!("{:?} is not known here", entry.key),
                findings::suggest(&entry.key, properties(schema)),
            ),
        }
    }
    let required = schema.get("required").and_then(Schema::as_array);
    for name in required.into_iter().flatten().filter_map(Schema::as_str) {
        if !entries.iter().any(|entry| entry.key == name) {
            findings.add(
                path,
                format!("{name:?} is missing"),
                format!("add {name:?}"),
            );
        }
    }
}

fn check_enum(schema: &'static Schema, text: &str, path: &str, findings: &mut Findings<'_>) {
    let Some(allowed) = schema.get("enum").and_then(Schema::as_array) else {
        return;
    };
    let allowed: Vec<&str> = allowed.iter().filter_map(Schema::as_str).collect();
    if !allowed.contains(&text) {
        findings.add(
            path,
            format!("{text:?} is not allowed here"),
            findings::suggest(text, allowed),
        );
    }
}

fn check_range(
    schema: &'static Schema,
    number: &serde_json::Number,
    path: &str,
    findings: &mut Findings<'_>,
) {
    let whole = kind(schema) == "integer";
    if whole && !number.is_u64() {
        let problem = format!("{number} is not a whole number from 0");
        return findings.add(path, problem, "write a whole number");
    }
    let value = number.as_f64().unwrap_or(f64::NAN);
    let format = schema.get("format").and_then(Schema::as_str);
    let format_maximum = match format {
        Some("uint16") => f64::from(u16::MAX),
        Some("uint32") => f64::from(u32::MAX),
        _ => f64::INFINITY,
    };
    let bound = |name: &str| schema.get(name).and_then(Schema::as_f64);
    let minimum = bound("minimum").unwrap_or(f64::NEG_INFINITY);
    let maximum = bound("maximum")
        .unwrap_or(f64::INFINITY)
        .min(format_maximum);
    if value < minimum {
        findings.add(
            path,
            format!("{number} is too small"),
            format!("use {minimum} or more"),
        );
    }
    if value > maximum {
        findings.add(
            path,
            format!("{number} is too large"),
            format!("use {maximum} or less"),
        );
    }
}
