//! All faults of a ticket are reported together, each with its place in the text.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use common::{BASE, World};
use test_case::test_case;
use yucca_own::{global, ticket};

const TOML: &str = r#"number = 4
summry = "x"
[services.till]
prefix = "till/"
kind = { keyed = { key = { segment = 0 }, shards = 48 } }
deadline = "2 parsecs"
limits = { body = "4MiB", queue_bytes = "1MiB" }
[[services.till.routes]]
path = "orders"
class = "shrt"
[services.Desk]
prefix = "/desk"
kind = "pol"
deadline = "1s"
[services.shelf]
prefix = "/shelf"
kind = "pool"
deadline = "0s"
on_cut = { move_after = "10ms" }
objectives.quick = { availability = 1.5 }
[domains.west]
hosts.w1 = { peer = "here", control = "127.0.0.1:1" }
"#;

fn lines(text: &str, format: ticket::Format) -> Vec<String> {
    let findings = ticket::check(text.as_bytes(), format).unwrap_err();
    findings.iter().map(ToString::to_string).collect()
}

#[test]
fn all_findings_are_reported_together() {
    let found = lines(TOML, ticket::Format::Toml);
    let expected = [
        "2:1: summry: \"summry\" is not known here; did you mean \"summary\"?",
        "10:9: services.till.routes[0].class: \"shrt\" is not allowed here; did you mean \"short\"?",
        "11:1: services.Desk: name \"Desk\" contains 'D'",
        "13:8: services.Desk.kind: \"pol\" is not allowed here; did you mean \"pool\"?",
        "18:12: services.shelf.deadline: 0s is not a usable duration",
        "19:25: services.shelf.on_cut.move_after: 10ms is shorter than the shortest lease",
        "20:37: services.shelf.objectives.quick.availability: 1.5 is too large; use 1 or less",
        "21:1: domains.west: \"region\" is missing; add \"region\"",
    ];
    for line in expected {
        assert!(
            found.iter().any(|f| f.starts_with(line)),
            "{line}\nnot in {found:#?}"
        );
    }
}

#[test]
fn values_beyond_the_schema_are_checked() {
    let text = TOML.replace("shrt", "short").replace("summry", "summary");
    let text = text.replace("[domains.west]", "[domains.west]\nregion = \"r\"");
    let text = text.replace("1.5", "0.5");
    let found = lines(&text, ticket::Format::Toml);
    let expected = [
        "4:10: services.till.prefix: \"till/\" does not start with \"/\"",
        "5:52: services.till.kind.keyed.shards: 48 is not a power of two; use 64",
        "6:12: services.till.deadline: \"2 parsecs\" is not a span of time",
        "7:41: services.till.limits.queue_bytes: 1MiB cannot hold one body of 4MiB",
        "9:8: services.till.routes[0].path: \"orders\" is not a path pattern",
        "20:20: services.shelf.objectives.quick: \"quick\" is not a work class",
        "23:21: domains.west.hosts.w1.peer: \"here\" is not an address",
    ];
    for line in expected {
        assert!(
            found.iter().any(|f| f.starts_with(line)),
            "{line}\nnot in {found:#?}"
        );
    }
}

#[test]
fn json_findings_have_line_and_column() {
    let text =
        "{\n  \"number\": 0,\n  \"drains\": {\"desk\": [3]},\n  \"number\": 5,\n  \"pinz\": {}\n}";
    let found = lines(text, ticket::Format::Json);
    assert_eq!(
        found,
        [
            "2:13: number: 0 is too small; use 1 or more",
            "3:23: drains.desk[0]: expected a string, found number; write a string",
            "4:3: number: \"number\" is given twice; keep one of them",
            "5:3: pinz: \"pinz\" is not known here; did you mean \"pins\"?",
        ]
    );
}

#[test_case(b"number = = 1\nservices = [", ticket::Format::Toml, "1:10"; "toml")]
#[test_case(b"{\"number\": 1,\n]", ticket::Format::Json, "2:1"; "json")]
#[test_case(b"", ticket::Format::Json, "1:1"; "empty json")]
#[test_case(b"[]", ticket::Format::Json, "1:1"; "not an object")]
#[test_case(b"", ticket::Format::Toml, "1:1"; "no number")]
fn syntax_faults_have_line_and_column(text: &[u8], format: ticket::Format, place: &str) {
    let findings = ticket::check(text, format).unwrap_err();
    assert!(findings[0].to_string().starts_with(place), "{findings:?}");
}

#[test]
fn size_depth_and_findings_are_limited() {
    let long = vec![b' '; ticket::MAX_BYTES + 1];
    assert!(ticket::check(&long, ticket::Format::Json).is_err());
    let deep = format!(
        "{{\"number\": 1, \"summary\": {}{}}}",
        "[".repeat(60),
        "]".repeat(60)
    );
    assert!(lines(&deep, ticket::Format::Json)[0].contains("deeper"));
    let deepest = "[".repeat(100_000);
    assert!(ticket::check(deepest.as_bytes(), ticket::Format::Json).is_err());
    let deepest = format!("a = {}", "[".repeat(100_000));
    assert!(ticket::check(deepest.as_bytes(), ticket::Format::Toml).is_err());
    let many: String = (0..5000).map(|i| format!("x{i} = 1\n")).collect();
    assert_eq!(lines(&many, ticket::Format::Toml).len(), 100);
    assert!(ticket::check(b"number = 1 # \xff", ticket::Format::Toml).is_err());
}

#[test_case("services.desk = { prefix = \"/desk\", deadline = \"1s\", kind = { keyed = { key = { segment = 0 }, shards = 128 } } }", "services.desk.kind: service has 64 shards, which are fixed"; "shards")]
#[test_case("services.desk = { prefix = \"/desk\", deadline = \"1s\", kind = \"pool\" }", "services.desk.kind: a service does not change"; "kind")]
#[test_case("services.new = { prefix = \"/desk\", deadline = \"1s\", kind = \"pool\" }", "services.new.prefix: \"/desk\" is the prefix of desk already"; "prefix")]
#[test_case("pins.dsk.k = \"t\"", "pins.dsk: there is no service dsk; did you mean \"desk\"?"; "pins")]
#[test_case("drains.other = [\"t\"]", "drains.other: there is no service other"; "drains")]
#[test_case("domains.b = { region = \"west\", hosts = { a1 = { peer = \"127.9.0.1:1\", control = \"127.9.0.1:2\" } } }", "domains.b.hosts.a1: host a1 is in domain a too"; "host")]
#[test_case("domains.b = { region = \"west\", hosts = { b9 = { peer = \"127.0.1.1:1\", control = \"127.9.0.1:2\" } } }", "domains.b.hosts.b9: 127.0.1.1:1 is an address of host a1 too"; "address")]
fn conflicts_with_the_state_are_refused(line: &str, expected: &str) {
    let mut world = World::new(BASE);
    let before = world.global.clone();
    let text = format!("number = 5\ndrains.desk = [\"t9\"]\n{line}")
        .replace("drains.desk = [\"t9\"]\ndrains", "drains");
    let global::Reply::Refused { findings, .. } = world.submit(&text) else {
        panic!("accepted");
    };
    let found: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert!(found.iter().any(|f| f.starts_with(expected)), "{found:#?}");
    assert_eq!(world.global, before, "a refused ticket changes nothing");
}
