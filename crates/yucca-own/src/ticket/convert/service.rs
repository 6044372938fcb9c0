//! Conversion of the services of a ticket.

use std::time;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::table;
use yucca_wire::ticket;
use yucca_wire::unit;

use super::parse;
use crate::ticket::findings::{self, Findings};

/// Maximum deadline.
const MAX_DEADLINE: time::Duration = time::Duration::from_secs(24 * 3600);
/// Minimum of `move_after`, the duration of a home lease. After its end the shards of a domain that
/// is cut off may move.
const MIN_MOVE_AFTER: time::Duration = time::Duration::from_secs(5);
/// Default retry budget: retries as a fraction of recent successes.
const DEFAULT_RETRY_BUDGET: f64 = 0.1;
/// Default availability: promised fraction of requests that are answered in time.
const DEFAULT_AVAILABILITY: f64 = 0.999;

/// Converts a service, with the checks that the schema can't express.
pub(super) fn convert(
    given: &ticket::Service,
    path: &str,
    findings: &mut Findings<'_>,
) -> Option<table::Service> {
    let at = |field: &str| format!("{path}.{field}");
    prefix(&given.prefix, &at("prefix"), findings);
    let kind = kind(&given.kind, &at("kind"), findings);
    let default_deadline = deadline(&given.deadline, &at("deadline"), findings);
    let routes = given.routes.iter().enumerate();
    let routes: Vec<Option<table::Route>> = routes
        .map(|(index, given)| route(given, &format!("{path}.routes[{index}]"), findings))
        .collect();
    let limits = given.limits.clone().unwrap_or_default();
    let limits = self::limits(&limits, &at("limits"), findings);
    let on_cut = on_cut(given.on_cut.as_ref(), &at("on_cut"), findings);
    let retry = given.retry.clone().unwrap_or_default();
    let objectives = objectives(&given.objectives, &at("objectives"), findings);
    Some(table::Service {
        prefix: given.prefix.clone(),
        kind: kind?,
        deadline: default_deadline?,
        routes: routes.into_iter().collect::<Option<_>>()?,
        retry: table::Retry {
            attempts: retry.attempts.get(),
            budget: retry.budget.unwrap_or(DEFAULT_RETRY_BUDGET),
        },
        limits: limits?,
        on_cut: on_cut?,
        objectives,
    })
}

fn prefix(text: &str, path: &str, findings: &mut Findings<'_>) {
    let segments = || text.split('/').skip(1);
    let plain = |c: char| c.is_ascii_graphic() && !"?#*%\"<>\\^`{|}".contains(c);
    let remedy = "write it as \"/name\", without a slash at its end";
    if !text.starts_with('/') {
        findings.add(path, format!("{text:?} does not start with \"/\""), remedy);
    } else if segments().any(|s| s.is_empty() || s == "." || s == "..") {
        findings.add(
            path,
            format!("{text:?} has an empty or dot segment"),
            remedy,
        );
    } else if !text.chars().all(plain) {
        findings.add(
            path,
            format!("{text:?} has a character that no prefix may have"),
            remedy,
        );
    }
}

fn kind(given: &ticket::Kind, path: &str, findings: &mut Findings<'_>) -> Option<table::Kind> {
    let keyed = match given {
        ticket::Kind::Pool => return Some(table::Kind::Pool),
        ticket::Kind::Keyed(keyed) => keyed,
    };
    let shards = keyed.shards.get();
    if !shards.is_power_of_two() {
        findings.add(
            &format!("{path}.keyed.shards"),
            format!("{shards} is not a power of two"),
            format!("use {}", shards.next_power_of_two()),
        );
        return None;
    }
    let key = match &keyed.key {
        ticket::KeyRule::Header(name) => {
            if is_http_token(name) {
                table::Rule::Header(name.to_ascii_lowercase())
            } else {
                findings.add(
                    &format!("{path}.keyed.key.header"),
                    format!("{name:?} is not a header name"),
                    "use letters, digits and '-'",
                );
                return None;
            }
        }
        ticket::KeyRule::Segment(index) => table::Rule::Segment(*index),
        ticket::KeyRule::Query(name) if name.is_empty() => {
            let path = format!("{path}.keyed.key.query");
            findings.add(&path, "the parameter has no name", "name one");
            return None;
        }
        ticket::KeyRule::Query(name) => table::Rule::Query(name.clone()),
    };
    Some(table::Kind::Keyed { key, shards })
}

fn is_http_token(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    !name.is_empty() && name.chars().all(allowed)
}

fn route(given: &ticket::Route, path: &str, findings: &mut Findings<'_>) -> Option<table::Route> {
    let pattern = &given.path;
    let inner = pattern.strip_suffix("/**").unwrap_or(pattern);
    let stray = inner
        .split('/')
        .any(|segment| segment.contains('*') && segment != "*");
    let well_formed = pattern == "**" || (pattern.starts_with('/') && !stray);
    if !well_formed {
        findings.add(
            &format!("{path}.path"),
            format!("{pattern:?} is not a path pattern"),
            "start it with \"/\"; \"*\" stands for a whole segment, a last \"**\" for any rest",
        );
        return None;
    }
    if let Some(method) = given
        .method
        .as_ref()
        .filter(|method| !is_http_token(method))
    {
        findings.add(
            &format!("{path}.method"),
            format!("{method:?} is not a method"),
            "write it as \"GET\", or leave it out for any",
        );
        return None;
    }
    let deadline = match &given.deadline {
        Some(text) => Some(deadline(text, &format!("{path}.deadline"), findings)?),
        None => None,
    };
    Some(table::Route {
        method: given.method.as_ref().map(|m| m.to_ascii_uppercase()),
        path: pattern.clone(),
        class: class(&given.class),
        idempotent: given.idempotent,
        deadline,
    })
}

fn class(given: &ticket::Class) -> table::Class {
    match given {
        ticket::Class::Short => table::Class::Short,
        ticket::Class::Long => table::Class::Long,
    }
}

fn limits(
    given: &ticket::Limits,
    path: &str,
    findings: &mut Findings<'_>,
) -> Option<table::Limits> {
    let body: Option<unit::Size> = parse(&given.body, &format!("{path}.body"), findings);
    let bytes_path = format!("{path}.queue_bytes");
    let queue_bytes: Option<unit::Size> = parse(&given.queue_bytes, &bytes_path, findings);
    if let (Some(body), Some(queue)) = (body, queue_bytes)
        && queue < body
    {
        findings.add(
            &bytes_path,
            format!("{queue} cannot hold one body of {body}"),
            "raise it, or lower \"body\"",
        );
    }
    Some(table::Limits {
        body: body?,
        queue_requests: given.queue_requests.get(),
        queue_bytes: queue_bytes?,
        short_reserve: id::Slots(given.short_reserve),
    })
}

fn on_cut(
    given: Option<&ticket::OnCut>,
    path: &str,
    findings: &mut Findings<'_>,
) -> Option<table::Cut> {
    let Some(ticket::OnCut::MoveAfter(text)) = given else {
        return Some(table::Cut::Hold);
    };
    let path = format!("{path}.move_after");
    let span: unit::Span = parse(text, &path, findings)?;
    if span.0 < MIN_MOVE_AFTER {
        findings.add(
            &path,
            format!("{span} is shorter than the shortest lease"),
            format!("use {} or more", unit::Span(MIN_MOVE_AFTER)),
        );
        return None;
    }
    Some(table::Cut::MoveAfter(span))
}

fn objectives(
    given: &IndexMap<String, ticket::Objective>,
    path: &str,
    findings: &mut Findings<'_>,
) -> IndexMap<table::Class, table::Objective> {
    let mut objectives = IndexMap::new();
    for (name, objective) in given {
        let path = findings::join(path, name);
        let class = match name.as_str() {
            "short" => table::Class::Short,
            "long" => table::Class::Long,
            other => {
                findings.add(
                    &path,
                    format!("{other:?} is not a work class"),
                    findings::suggest(other, ["short", "long"]),
                );
                continue;
            }
        };
        let availability = objective.availability.unwrap_or(DEFAULT_AVAILABILITY);
        let latency = deadline(&objective.latency, &format!("{path}.latency"), findings);
        if let Some(latency) = latency {
            let objective = table::Objective {
                availability,
                latency,
            };
            objectives.insert(class, objective);
        }
    }
    objectives
}

fn deadline(text: &str, path: &str, findings: &mut Findings<'_>) -> Option<unit::Span> {
    let span: unit::Span = parse(text, path, findings)?;
    if span.0.is_zero() || span.0 > MAX_DEADLINE {
        findings.add(
            path,
            format!("{span} is not a usable duration"),
            format!("use more than 0 and at most {}", unit::Span(MAX_DEADLINE)),
        );
    }
    Some(span)
}
