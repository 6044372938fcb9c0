//! Findings in invalid settings: all are reported at once, each with its place and remedy.

#![allow(clippy::unwrap_used)]

use std::net;

use test_case::test_case;
use yucca_settings::reader;
use yucca_wire::{auth, finding, id, unit};

yucca_settings::section! {
    /// Settings as a process would declare them.
    #[derive(Debug)]
    struct Settings {
        /// Name of the host.
        host: id::Host,
        /// How often the process reports.
        heartbeat: unit::Span = "200ms",
        /// Maximum size of a body.
        body: unit::Size = "1MiB",
        /// Number of workers.
        workers: u16 = 4,
        /// Secret of the operators.
        secret: Option<auth::Secret>,
        /// Listen addresses of the process.
        addresses: Addresses,
        /// Other hosts.
        peers: Vec<Peer>,
    }
}

yucca_settings::section! {
    /// Listen addresses of the process.
    #[derive(Debug)]
    struct Addresses {
        /// Listen address for peers.
        peer: net::SocketAddr,
    }
}

yucca_settings::section! {
    /// Another host.
    #[derive(Debug)]
    struct Peer {
        /// Name of the host.
        host: id::Host,
        /// Whether the host has a disk.
        disk: bool = false,
    }
}

const VALID: &str = r#"
host = "colombo-1"
heartbeat = "1s"
[addresses]
peer = "127.0.0.1:0"
[[peers]]
host = "colombo-2"
disk = true
[[peers]]
host = "colombo-3"
"#;

fn findings(text: &str) -> Vec<finding::Finding> {
    yucca_settings::read::<Settings>(text, "a.toml").unwrap_err()
}

#[test]
fn valid_file_is_read_with_defaults() {
    let settings: Settings = yucca_settings::read(VALID, "a.toml").unwrap();
    assert_eq!(settings.host.as_str(), "colombo-1");
    assert_eq!(settings.heartbeat, unit::Span::from_millis(1000));
    assert_eq!(settings.body, unit::Size(1 << 20));
    assert_eq!(settings.workers, 4);
    assert!(settings.secret.is_none());
    assert_eq!(settings.addresses.peer.port(), 0);
    let disks: Vec<bool> = settings.peers.iter().map(|peer| peer.disk).collect();
    assert_eq!(disks, [true, false]);
    assert_eq!(settings.peers[1].host.as_str(), "colombo-3");
}

#[test]
fn all_findings_are_reported_in_order() {
    let text = "heartbeet = \"1s\"\nworkers = 70000\nbody = \"12\"\n[addresses]\npeer = 7\n[[peers]]\nhost = \"UP\"\n";
    let found = findings(text);
    let places: Vec<_> = found
        .iter()
        .map(|f| (f.place.path.as_str(), f.place.line, f.place.column))
        .collect();
    let expected = [
        ("heartbeet", Some(1), Some(1)),
        ("host", Some(1), Some(1)),
        ("workers", Some(2), Some(11)),
        ("body", Some(3), Some(8)),
        ("addresses.peer", Some(5), Some(8)),
        ("peers[0].host", Some(7), Some(8)),
    ];
    assert_eq!(places, expected);
    assert!(found[0].remedy.contains("`heartbeat`"), "{}", found[0]);
    assert!(
        found
            .iter()
            .all(|f| f.place.file.as_deref() == Some("a.toml"))
    );
}

#[test_case("host = \"a\"\n[addresses]\n", "required setting `peer` is missing", 2; "a missing setting of a table")]
#[test_case("host = \"a\"\naddresses = 3\n", "found the number 3", 2; "a number for a table")]
#[test_case("host = \"a\"\nhost = \"b\"\n[addresses]\npeer = \"127.0.0.1:1\"\n", "malformed TOML: duplicate key", 2; "a duplicate key")]
#[test_case("host = \"a\"\n\nnothing\n", "malformed TOML", 3; "a syntax error")]
#[test_case("host = \"a\"\nsecret = \"short\"\n[addresses]\npeer = \"127.0.0.1:1\"\n", "the secret has only 5 bytes", 2; "a short secret")]
#[test_case("host = \"a\"\nquux = 1\n[addresses]\npeer = \"127.0.0.1:1\"\n", "unknown setting `quux`", 2; "an unknown name without a similar one")]
fn finding_states_the_faulty_line(text: &str, problem: &str, line: usize) {
    let found = findings(text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].problem.starts_with(problem), "{}", found[0]);
    assert_eq!(found[0].place.line, Some(line));
    assert!(!found[0].remedy.is_empty());
}

#[test]
fn findings_never_show_a_secret() {
    let found = findings("host = \"a\"\nsecret = 123456789\n[addresses]\npeer = \"127.0.0.1:1\"\n");
    assert!(!format!("{found:?}").contains("123456789"));
}

#[test]
fn violation_states_the_line_of_its_setting() {
    let check = |_: &Settings| {
        vec![reader::Violation {
            path: "addresses.peer".into(),
            problem: "port 0".into(),
            remedy: "name a port".into(),
        }]
    };
    let found = yucca_settings::read_checked(VALID, "a.toml", check).unwrap_err();
    assert_eq!(found[0].place.line, Some(5));
    assert_eq!(found[0].problem, "port 0");
}

#[test]
fn printed_defaults_can_be_read() {
    let printed = yucca_settings::defaults::print::<Settings>();
    for part in [
        "# How often the process reports.\n",
        "heartbeat = \"200ms\"\n",
        "# host =\n",
        "[addresses]\n",
        "# [[peers]]\n",
        "Required.",
        "a span of time with its unit",
    ] {
        assert!(printed.contains(part), "{part} is not in\n{printed}");
    }
    let filled = printed
        .replacen("# host =", "host = \"colombo-1\"", 1)
        .replace("# peer =", "peer = \"127.0.0.1:0\"");
    let settings: Settings = yucca_settings::read(&filled, "defaults").unwrap();
    assert_eq!(settings.heartbeat, unit::Span::from_millis(200));
}
