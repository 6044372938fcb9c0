//! Targets that return: restarted without memory of their grants, or thawed with old grants.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::{BASE, World, name};
use indexmap::IndexMap;
use yucca_own::domain;
use yucca_wire::{id, table};

fn world() -> World {
    let mut world = World::new(BASE);
    for domain in ["a", "b", "c"] {
        world.add_targets(domain, "desk", 4);
    }
    world.run(Duration::from_secs(2));
    world
}

fn tokens(world: &mut World, target: &str) -> IndexMap<id::Shard, id::Token> {
    let table = world.domain("a").state.table();
    let owners = &table.owners[&name::<id::Service>("desk")];
    let target: id::Target = name(target);
    let owned = owners.iter().filter(|(_, owner)| owner.target == target);
    owned.map(|(shard, owner)| (*shard, owner.token)).collect()
}

fn state(world: &mut World, target: &str) -> table::State {
    world.domain("a").state.table().targets[&name::<id::Target>(target)].state
}

#[test]
fn a_restarted_target_gets_new_grants() {
    let mut world = world();
    let before = tokens(&mut world, "a-desk-0");
    let target = world.domain("a").target("a-desk-0");
    target.announce.incarnation = 2;
    target.announce.address = "127.1.9.9:80".into();
    world.run(Duration::from_millis(200));
    let after = tokens(&mut world, "a-desk-0");
    assert!(!before.is_empty());
    assert_eq!(before.len(), after.len(), "it keeps its shards");
    for (shard, token) in &before {
        assert!(after[shard] > *token, "{shard} still has the old token");
    }
    let table = world.domain("a").state.table();
    let known = &table.targets[&name::<id::Target>("a-desk-0")];
    assert_eq!(known.address.to_string(), "127.1.9.9:80");
}

#[test]
fn older_and_duplicate_targets_are_ignored() {
    let mut world = world();
    world.domain("a").target("a-desk-0").announce.incarnation = 5;
    world.run(Duration::from_millis(200));
    let before = world.domain("a").state.table();
    world.domain("a").target("a-desk-0").announce.incarnation = 4;
    world.run(Duration::from_millis(500));
    let target = world.domain("a").target("a-desk-0");
    target.announce.incarnation = 5;
    target.announce.address = "127.1.9.9:80".into();
    world.run(Duration::from_millis(500));
    assert_eq!(world.domain("a").state.table().targets, before.targets);
}

#[test]
fn a_thawed_target_owns_no_shards() {
    let mut world = world();
    let before = tokens(&mut world, "a-desk-0");
    world.domain("a").target("a-desk-0").silent = true;
    world.run(Duration::from_millis(1000));
    assert_eq!(state(&mut world, "a-desk-0"), table::State::Lost);
    assert_eq!(world.served("desk"), 64);
    world.domain("a").target("a-desk-0").silent = false;
    world.run(Duration::from_secs(1));
    assert_eq!(state(&mut world, "a-desk-0"), table::State::Serving);
    let table = world.domain("a").state.table();
    let owners = &table.owners[&name::<id::Service>("desk")];
    for (shard, token) in &before {
        let owner = owners.get(shard).unwrap();
        assert!(owner.token > *token && owner.target != name("a-desk-0"));
    }
}

#[test]
fn a_restarted_lost_target_serves_at_once() {
    let mut world = world();
    world.domain("a").target("a-desk-0").silent = true;
    world.run(Duration::from_secs(2));
    let target = world.domain("a").target("a-desk-0");
    target.silent = false;
    target.announce.incarnation = 2;
    world.run(Duration::from_millis(200));
    assert_eq!(state(&mut world, "a-desk-0"), table::State::Serving);
}

#[test]
fn an_unchanged_announcement_has_no_effect() {
    let mut world = world();
    let now = world.now;
    let domain = world.domain("a");
    let is_announce = |c: &&domain::Command| matches!(c, domain::Command::Announce(_));
    let announce = domain.applied.iter().find(is_announce).cloned();
    let before = domain.state.clone();
    assert_eq!(domain.propose(announce.unwrap(), now), domain::Reply::Stale);
    assert_eq!(domain.state, before);
}

#[test]
fn a_new_target_moves_no_idle_shards() {
    let mut world = world();
    let moved = world.domain("a").moved;
    world.domain("a").add_target("a-desk-9", "desk");
    world.run(Duration::from_secs(30));
    assert_eq!(
        world.domain("a").moved,
        moved,
        "idle shards stay where they are"
    );
}

#[test]
fn shards_are_served_when_lost_targets_return() {
    let mut world = world();
    for index in 0..4 {
        world.domain("a").target(&format!("a-desk-{index}")).silent = true;
    }
    world.run(Duration::from_secs(2));
    assert!(world.domain("a").owners("desk").is_empty());
    for index in 0..4 {
        world.domain("a").target(&format!("a-desk-{index}")).silent = false;
    }
    world.run(Duration::from_secs(30));
    assert_eq!(world.served("desk"), 64);
}
