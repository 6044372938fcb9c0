//! After a ticket and announcements, shards get owners, and targets get lanes and standbys.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::{BASE, World, name};
use yucca_wire::{id, table};

fn world() -> World {
    let mut world = World::new(BASE);
    for domain in ["a", "b", "c"] {
        world.add_targets(domain, "desk", 4);
    }
    world.run(Duration::from_secs(2));
    world
}

#[test]
fn every_shard_has_one_owner() {
    let mut world = world();
    assert_eq!(world.served("desk"), 64);
    for domain in ["a", "b", "c"] {
        let owners = world.domain(domain).owners("desk");
        assert_eq!(owners.len(), 4);
        assert!(
            owners.values().all(|count| (5..=6).contains(count)),
            "{owners:?}"
        );
    }
}

#[test]
fn every_target_has_lane_and_standby() {
    let mut world = world();
    let table = world.domain("a").state.table();
    assert_eq!(table.targets.len(), 4);
    let mut lanes: Vec<&id::Host> = Vec::new();
    for target in table.targets.values() {
        assert_eq!(target.state, table::State::Serving);
        let lane = target.lane.as_ref().unwrap();
        assert_ne!(Some(lane), target.standby.as_ref());
        assert!(target.standby.is_some());
        lanes.push(lane);
    }
    lanes.sort();
    lanes.dedup();
    assert_eq!(lanes.len(), 3);
}

#[test]
fn restored_state_is_the_same() {
    let mut world = world();
    let bytes = rmp_serde::to_vec(&world.domain("a").state).unwrap();
    let restored: yucca_own::domain::State = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(restored, world.domain("a").state);
    let bytes = rmp_serde::to_vec(&world.global).unwrap();
    let restored: yucca_own::global::State = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(restored, world.global);
}

#[test]
fn nothing_changes_at_rest() {
    let mut world = world();
    world.run(Duration::from_secs(10));
    let version = world.domain("a").version;
    let global = world.global.table().version;
    world.run(Duration::from_secs(20));
    assert_eq!(world.domain("a").version, version);
    assert_eq!(world.global.table().version, global);
    let service: id::Service = name("desk");
    assert!(!world.global.table().leaving.contains_key(&service));
}
