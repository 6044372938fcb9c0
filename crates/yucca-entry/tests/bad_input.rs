//! Parsing of request heads: refusals of malformed heads, and the fields of valid ones.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync;
use std::time::Duration;

use test_case::test_case;
use yucca_entry::request::parse;
use yucca_entry::version::view;
use yucca_wire::problem;
use yucca_wire::table;

fn view(rule: table::Rule) -> view::View {
    let kind = table::Kind::Keyed {
        key: rule,
        shards: 64,
    };
    let mut global = table::Global::default();
    let services = &mut global.services;
    services.insert("desk".parse().unwrap(), support::service("desk", kind));
    services.insert(
        "desk-pool".parse().unwrap(),
        support::service("desk/pool", table::Kind::Pool),
    );
    view::View::new(table::Table {
        global: sync::Arc::new(global),
        ..table::Table::default()
    })
}

fn read(
    view: &view::View,
    method: &str,
    uri: &str,
    headers: &[(&str, &str)],
) -> Result<parse::Request, problem::Kind> {
    let mut builder = http::Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let (parts, ()) = builder.body(()).unwrap().into_parts();
    parse::read(view, &parts).map_err(|problem| {
        assert_eq!(problem.outcome, problem::Outcome::NotRun);
        problem.kind
    })
}

#[test_case("GET", "/nowhere/1", &[], problem::Kind::NoService; "no service")]
#[test_case("GET", "/deskless/1", &[], problem::Kind::NoService; "prefix ends within a segment")]
#[test_case("GET", "/desk", &[], problem::Kind::NoKey; "no segment")]
#[test_case("GET", "/desk//x", &[], problem::Kind::NoKey; "empty segment")]
#[test_case("CONNECT", "/desk/1", &[], problem::Kind::BadRequest; "method not supported")]
#[test_case("GET", "/desk/1", &[("yucca-deadline-ms", "soon")], problem::Kind::BadHeader; "malformed deadline")]
#[test_case("GET", "/desk/1", &[("yucca-deadline-ms", "0")], problem::Kind::BadHeader; "zero deadline")]
#[test_case("GET", "/desk/1", &[("yucca-deadline-ms", "5"), ("yucca-deadline-ms", "6")], problem::Kind::BadHeader; "two deadlines")]
#[test_case("POST", "/desk/1", &[("content-length", "1025")], problem::Kind::BodyTooLarge; "body over the limit")]
#[test_case("POST", "/desk/1", &[("content-length", "3"), ("transfer-encoding", "chunked")], problem::Kind::BadRequest; "two framings")]
#[test_case("POST", "/desk/1", &[("idempotency-key", "a"), ("idempotency-key", "b")], problem::Kind::BadHeader; "two ids")]
#[test_case("POST", "/desk/1", &[("idempotency-key", "")], problem::Kind::BadHeader; "empty id")]
fn malformed_heads_are_refused(
    method: &str,
    uri: &str,
    headers: &[(&str, &str)],
    kind: problem::Kind,
) {
    let view = view(table::Rule::Segment(0));
    assert_eq!(read(&view, method, uri, headers).unwrap_err(), kind);
}

#[test_case("/desk/x?k=1&k=2", problem::Kind::TwoKeys; "twice")]
#[test_case("/desk/x?k=1&%6b=2", problem::Kind::TwoKeys; "twice in another encoding")]
#[test_case("/desk/x?kk=1", problem::Kind::NoKey; "another name")]
fn missing_or_repeated_query_keys_are_refused(uri: &str, kind: problem::Kind) {
    let view = view(table::Rule::Query("k".into()));
    assert_eq!(read(&view, "GET", uri, &[]).unwrap_err(), kind);
}

#[test]
fn two_header_keys_are_refused() {
    let view = view(table::Rule::Header("x-key".into()));
    let two = [("x-key", "1"), ("x-key", "2")];
    let kind = read(&view, "GET", "/desk/x", &two).unwrap_err();
    assert_eq!(kind, problem::Kind::TwoKeys);
    let one = read(&view, "GET", "/desk/x", &two[..1]).unwrap();
    assert_eq!(one.key.unwrap(), "1");
}

#[test]
fn encoded_key_equals_plain_key() {
    let view = view(table::Rule::Segment(0));
    let plain = read(&view, "GET", "/desk/a~b", &[]).unwrap();
    let encoded = read(&view, "GET", "/desk/%61%7Eb", &[]).unwrap();
    assert_eq!(plain.key, encoded.key);
}

#[test]
fn longest_prefix_wins() {
    let view = view(table::Rule::Segment(0));
    let found = read(&view, "GET", "/desk/pool/x", &[]).unwrap();
    assert_eq!(found.service.as_str(), "desk-pool");
    assert_eq!(found.key, None);
}

#[test]
fn route_sets_class_and_deadline() {
    let view = view(table::Rule::Segment(0));
    let short = read(&view, "GET", "/desk/1", &[]).unwrap();
    assert!(short.idempotent);
    assert_eq!(short.remaining, Duration::from_millis(500));
    let long = read(&view, "POST", "/desk/search/a/b", &[]).unwrap();
    assert_eq!(long.class, table::Class::Long);
    assert_eq!(long.remaining, Duration::from_millis(2000));
    let other = read(&view, "POST", "/desk/1", &[("yucca-deadline-ms", "70")]).unwrap();
    assert!(!other.idempotent);
    assert_eq!(other.remaining, Duration::from_millis(70));
}

#[test]
fn caller_ids_depend_on_service_and_key() {
    let view = view(table::Rule::Segment(0));
    let id = |uri: &str, key: &str| {
        let read = read(&view, "POST", uri, &[("idempotency-key", key)]).unwrap();
        assert!(read.id_from_caller);
        read.id
    };
    assert_eq!(id("/desk/1", "a"), id("/desk/1", "a"));
    assert_ne!(id("/desk/1", "a"), id("/desk/2", "a"));
    assert_ne!(id("/desk/1", "a"), id("/desk/1", "b"));
    assert_ne!(id("/desk/pool/1", "a"), id("/desk/1", "a"));
}
