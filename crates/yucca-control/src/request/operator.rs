//! Requests of operators.

use std::sync;

use serde_json::json;
use yucca_wire::{id, key, table};

use crate::connection::listener;
use crate::process::core;
use crate::request;
use crate::request::{body, status, ticket, view};

/// Answers a request of an operator.
pub async fn answer(core: sync::Arc<core::Core>, request: listener::Request) -> listener::Response {
    if !request::is_authorized(&core.settings.secrets.operator, &request, "operator") {
        return body::problem(
            http::StatusCode::UNAUTHORIZED,
            "unauthorized",
            "the request does not carry the secret of operators",
            "send `authorization: Bearer ...` with `secrets.operator` of the settings",
        );
    }
    let path = request.uri().path().to_string();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (request.method().as_str(), segments.as_slice()) {
        ("POST", ["tickets"]) => ticket::submit(&core, request).await,
        ("GET", ["tickets"]) => ticket::list(&core).await,
        ("GET", ["tickets", number]) => ticket::show(&core, number).await,
        ("GET", ["status"]) => status::show(&core).await,
        ("GET", ["table"]) => body::json(http::StatusCode::OK, &view::table(&core.feed.table())),
        ("GET", ["key"]) => explain(&core, request.uri().query().unwrap_or_default()),
        _ => body::problem(
            http::StatusCode::NOT_FOUND,
            "no-such-path",
            &format!("no endpoint {} {path}", request.method()),
            "see POST /tickets, GET /tickets, /tickets/N, /status, /table and /key?service=&key=",
        ),
    }
}

/// Shows how a key is routed: its shard, home domain and owner.
fn explain(core: &core::Core, query: &str) -> listener::Response {
    let (Some(service), Some(key)) = (parameter(query, "service"), parameter(query, "key")) else {
        return bad_key("the query has no `service` or no `key`");
    };
    let Ok(service) = service.parse::<id::Service>() else {
        return bad_key("`service` is not a valid name of a service");
    };
    let table = core.feed.table();
    let Some(found) = table.global.services.get(&service) else {
        return body::problem(
            http::StatusCode::NOT_FOUND,
            "no-such-service",
            &format!("no ticket created service `{service}`"),
            "see GET /table for the services",
        );
    };
    let table::Kind::Keyed { shards, .. } = found.kind else {
        return bad_key("the service is not keyed: any of its targets serves any request");
    };
    let shard = key::shard(key.as_bytes(), shards);
    let homes = table.global.homes.get(&service);
    let home = homes.and_then(|homes| homes.get(shard.0 as usize));
    let local = home.and_then(|home| table.locals.get(home));
    let pinned = local
        .and_then(|local| local.pins.get(&service))
        .is_some_and(|pins| pins.contains_key(key.as_bytes()));
    let owner = local.and_then(|local| local.owner(&service, shard, key.as_bytes()));
    let target = owner.and_then(|owner| local?.targets.get(&owner.target));
    let leaving = table.global.leaving.get(&service);
    body::json(
        http::StatusCode::OK,
        &json!({
            "service": service,
            "key": key,
            "shard": shard,
            "pinned": pinned,
            "home": home,
            "leaving_to": leaving.and_then(|leaving| leaving.get(&shard)),
            "owner": owner,
            "target": target,
            "versions": {
                "global": table.global.version,
                "local": local.map(|local| local.version),
            },
        }),
    )
}

fn bad_key(detail: &str) -> listener::Response {
    body::problem(
        http::StatusCode::BAD_REQUEST,
        "bad-query",
        detail,
        "use /key?service=NAME&key=KEY with a keyed service",
    )
}

/// Returns the decoded value of a query parameter.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(decode(value))
}

/// Decodes percent escapes and `+`; invalid escapes stay as they are.
fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| tail.get(..2)).flatten();
        let value =
            escaped.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match value {
            Some(value) => {
                bytes.push(value);
                rest = &tail[2..];
            }
            None => {
                bytes.push(if *first == b'+' { b' ' } else { *first });
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
