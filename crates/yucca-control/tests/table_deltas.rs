//! Versions of the table: deltas from retained versions, and no return to an older version.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync;
use std::time;

use yucca_control::version::feed;
use yucca_wire::{id, report, table};

const SEED: u64 = 91;

fn global(version: u64, drained: &str) -> sync::Arc<table::Global> {
    let service: id::Service = "ticket-desk".parse().unwrap();
    let mut part = table::Global {
        version: id::Version(version),
        ..table::Global::default()
    };
    part.drains.insert(service, vec![common::target(drained)]);
    sync::Arc::new(part)
}

fn known(version: u64) -> feed::Known {
    feed::Known {
        global: id::Version(version),
        ..feed::Known::default()
    }
}

#[test]
fn older_part_is_ignored() {
    let feed = feed::Feed::default();
    assert!(feed.offer_global(global(5, "desk-5")));
    assert!(!feed.offer_global(global(4, "desk-4")));
    assert!(!feed.offer_global(global(5, "desk-x")));
    assert_eq!(*feed.global(), *global(5, "desk-5"));
    let update = report::Update {
        global: Some(report::Change::Snapshot((*global(3, "desk-3")).clone())),
        ..report::Update::default()
    };
    assert!(!feed.merge(update));
    assert_eq!(feed.known().global, id::Version(5));
}

#[test]
fn delta_is_sent_from_retained_versions_only() {
    let feed = feed::Feed::default();
    for version in 1..=40 {
        feed.offer_global(global(version, &format!("desk-{version}")));
    }
    let near = feed.since(&known(39)).global.unwrap();
    assert!(matches!(near, report::Change::Delta { from, .. } if from == id::Version(39)));
    let far = feed.since(&known(1)).global.unwrap();
    assert!(matches!(far, report::Change::Snapshot(_)));
    let none = feed.since(&known(0)).global.unwrap();
    assert!(matches!(none, report::Change::Snapshot(_)));
    assert!(feed.since(&known(40)).global.is_none());
    assert!(feed.since(&known(41)).global.is_none());
}

#[test]
fn delta_from_another_version_changes_nothing() {
    let sender = feed::Feed::default();
    for version in 1..=3 {
        sender.offer_global(global(version, &format!("desk-{version}")));
    }
    let receiver = feed::Feed::default();
    receiver.offer_global(global(1, "desk-1"));
    assert!(!receiver.merge(sender.since(&known(2))));
    assert_eq!(receiver.known().global, id::Version(1));
    assert!(receiver.merge(sender.since(&receiver.known())));
    assert_eq!(*receiver.global(), *global(3, "desk-3"));
}

#[tokio::test(start_paused = true)]
async fn entry_process_is_updated_by_deltas() {
    let deployment = common::Deployment::start(&common::KELANI, None, SEED);
    deployment.wait_ready().await;
    let text = common::first_ticket(&deployment, 1);
    deployment.submit("colombo-1", &text).await;
    let mut entry = common::Entry::new(&deployment, "maradana-4");
    entry.announced = vec![common::announce("desk-1", "ticket-desk", 9001)];
    for number in 2..30 {
        let text = common::small_ticket(number, "one of many");
        let version = deployment.submit("colombo-2", &text).await;
        let accepted = tokio::time::Instant::now();
        while entry.table.known().global.0 < version {
            entry.report().await;
        }
        assert!(accepted.elapsed() < time::Duration::from_secs(1));
    }
    let core = deployment.core("maradana-4");
    assert_eq!(entry.table.global(), core.feed.global());
    assert!(entry.deltas > 20, "{} deltas", entry.deltas);
}
