//! The sample settings in the repository and their tickets.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path;

use test_case::test_case;
use yucca_control::process::hosted;
use yucca_control::{directory, message, settings};
use yucca_own::ticket;
use yucca_wire::table;

fn folder(deployment: &str) -> path::PathBuf {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings");
    root.join(deployment)
}

fn read(deployment: &str) -> Vec<settings::Settings> {
    let mut files: Vec<path::PathBuf> = fs::read_dir(folder(deployment))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.to_string_lossy().ends_with(".control.toml"))
        .collect();
    files.sort();
    let texts = files.iter().map(|file| fs::read_to_string(file).unwrap());
    texts
        .map(|text| settings::read(&text, "sample").unwrap())
        .collect()
}

#[test_case("kelani")]
#[test_case("brightwater")]
fn settings_of_eleven_hosts_agree(deployment: &str) {
    let all = read(deployment);
    assert_eq!(all.len(), 11);
    for one in &all {
        assert_eq!(one.peers, all[0].peers);
        let own = one.peers.iter().find(|peer| peer.host == one.host).unwrap();
        assert_eq!(own.address, one.addresses.peer);
        assert_eq!(own.disk, one.data.is_some());
    }
}

#[test_case("kelani")]
#[test_case("brightwater")]
fn ticket_names_the_same_hosts(deployment: &str) {
    let all = read(deployment);
    let text = fs::read(folder(deployment).join("ticket.toml")).unwrap();
    let checked = ticket::check(&text, ticket::Format::Toml).unwrap();
    let named = table::Global {
        domains: checked.domains.clone(),
        ..table::Global::default()
    };
    let before = directory::Directory::new(&all[0].peers, &table::Global::default());
    let after = directory::Directory::new(&all[0].peers, &named);
    assert_eq!(before, after);
    for domain in checked.domains.values() {
        for (name, host) in &domain.hosts {
            assert_eq!(Some(host.control), before.address(name));
        }
    }
}

#[test]
fn voters_are_spread_and_locals_outnumber_witnesses() {
    let all = read("kelani");
    let directory = directory::Directory::new(&all[0].peers, &table::Global::default());
    let global = hosted::placement(&directory, &message::Log::Global).bootstrap_members;
    assert_eq!(global.len(), 5);
    for domain in directory.domains() {
        let own = directory.of_domain(&domain);
        assert!(global.iter().filter(|host| own.contains(host)).count() <= 2);
        let bootstrap_members =
            hosted::placement(&directory, &message::Log::Domain(domain)).bootstrap_members;
        assert_eq!(
            bootstrap_members
                .iter()
                .filter(|host| own.contains(host))
                .count(),
            3
        );
        assert_eq!(bootstrap_members.len(), 5);
    }
}

#[test]
fn ticket_never_replaces_an_address_of_the_settings() {
    let all = read("kelani");
    let mut domains = indexmap::IndexMap::new();
    let host = table::Host {
        peer: "127.9.9.9:1".parse().unwrap(),
        control: "127.9.9.9:2".parse().unwrap(),
        disk: false,
    };
    let hosts = ["colombo-1", "colombo-9"].map(|name| (name.parse().unwrap(), host.clone()));
    let domain = table::Domain {
        region: "western".parse().unwrap(),
        generation: 0,
        lost: false,
        hosts: hosts.into_iter().collect(),
    };
    domains.insert("colombo".parse().unwrap(), domain);
    let named = table::Global {
        domains,
        ..table::Global::default()
    };
    let directory = directory::Directory::new(&all[0].peers, &named);
    let address = |name: &str| directory.address(&name.parse().unwrap());
    assert_eq!(
        address("colombo-1"),
        Some("127.1.1.1:7001".parse().unwrap())
    );
    assert_eq!(address("colombo-9"), Some(host.control));
    assert_eq!(address("colombo-2"), None);
}

#[test]
fn contradictory_settings_are_reported_with_their_place() {
    let text = fs::read_to_string(folder("kelani").join("colombo-1.control.toml")).unwrap();
    let invalid = text
        .replace("domain = \"colombo\"\ndata", "domain = \"maradana\"\ndata")
        .replace("heartbeat = \"200ms\"", "heartbeat = \"0ms\"")
        .replace("host = \"colombo-3\"", "host = \"colombo-2\"");
    let findings = settings::read(&invalid, "a.toml").unwrap_err();
    let paths: Vec<&str> = findings.iter().map(|f| f.place.path.as_str()).collect();
    assert_eq!(paths, ["domain", "timing.heartbeat", "peers[2].host"]);
    assert!(
        findings.iter().all(|f| f.place.line.is_some()),
        "{findings:?}"
    );
}
