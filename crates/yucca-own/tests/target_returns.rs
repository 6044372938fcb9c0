//! Targets that return: started anew with an empty memory, or thawed with an old one.

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
    let table = world.zone("a").state.table();
    let owners = &table.owners[&name::<id::Service>("desk")];
    let target: id::Target = name(target);
    let owned = owners.iter().filter(|(_, owner)| owner.target == target);
    owned.map(|(shard, owner)| (*shard, owner.token)).collect()
}

fn state(world: &mut World, target: &str) -> table::State {
    world.zone("a").state.table().targets[&name::<id::Target>(target)].state
}

#[test]
fn a_target_started_anew_is_granted_its_shards_anew() {
    let mut world = world();
    let before = tokens(&mut world, "a-desk-0");
    let target = world.zone("a").target("a-desk-0");
    target.announce.incarnation = 2;
    target.announce.address = "127.1.9.9:80".into();
    world.run(Duration::from_millis(200));
    let after = tokens(&mut world, "a-desk-0");
    assert!(!before.is_empty());
    assert_eq!(before.len(), after.len(), "it keeps its shards");
    for (shard, token) in &before {
        assert!(
            after[shard] > *token,
            "{shard} has the token of the grant that is forgotten"
        );
    }
    let table = world.zone("a").state.table();
    let known = &table.targets[&name::<id::Target>("a-desk-0")];
    assert_eq!(known.address.to_string(), "127.1.9.9:80");
}

#[test]
fn an_older_start_or_a_second_target_of_the_name_is_passed_over() {
    let mut world = world();
    world.zone("a").target("a-desk-0").announce.incarnation = 5;
    world.run(Duration::from_millis(200));
    let before = world.zone("a").state.table();
    world.zone("a").target("a-desk-0").announce.incarnation = 4;
    world.run(Duration::from_millis(500));
    let target = world.zone("a").target("a-desk-0");
    target.announce.incarnation = 5;
    target.announce.address = "127.1.9.9:80".into();
    world.run(Duration::from_millis(500));
    assert_eq!(world.zone("a").state.table().targets, before.targets);
}

#[test]
fn a_frozen_target_loses_its_shards_and_thaws_without_them() {
    let mut world = world();
    let before = tokens(&mut world, "a-desk-0");
    world.zone("a").target("a-desk-0").silent = true;
    world.run(Duration::from_millis(1000));
    assert_eq!(state(&mut world, "a-desk-0"), table::State::Lost);
    assert_eq!(world.served("desk"), 64);
    world.zone("a").target("a-desk-0").silent = false;
    world.run(Duration::from_secs(1));
    assert_eq!(state(&mut world, "a-desk-0"), table::State::Serving);
    let table = world.zone("a").state.table();
    let owners = &table.owners[&name::<id::Service>("desk")];
    for (shard, token) in &before {
        let owner = owners.get(shard).unwrap();
        assert!(owner.token > *token && owner.target != name("a-desk-0"));
    }
}

#[test]
fn a_lost_target_started_anew_serves_at_once() {
    let mut world = world();
    world.zone("a").target("a-desk-0").silent = true;
    world.run(Duration::from_secs(2));
    let target = world.zone("a").target("a-desk-0");
    target.silent = false;
    target.announce.incarnation = 2;
    world.run(Duration::from_millis(200));
    assert_eq!(state(&mut world, "a-desk-0"), table::State::Serving);
}

#[test]
fn an_announcement_that_says_nothing_new_has_no_effect() {
    let mut world = world();
    let now = world.now;
    let zone = world.zone("a");
    let is_announce = |c: &&domain::Command| matches!(c, domain::Command::Announce(_));
    let announce = zone.applied.iter().find(is_announce).cloned();
    let before = zone.state.clone();
    assert_eq!(zone.propose(announce.unwrap(), now), domain::Reply::Stale);
    assert_eq!(zone.state, before);
}

#[test]
fn a_new_target_takes_no_reshuffle() {
    let mut world = world();
    let moved = world.zone("a").moved;
    world.zone("a").add_target("a-desk-9", "desk");
    world.run(Duration::from_secs(30));
    assert_eq!(
        world.zone("a").moved,
        moved,
        "idle shards stay where they are"
    );
}

#[test]
fn all_targets_lost_and_back() {
    let mut world = world();
    for index in 0..4 {
        world.zone("a").target(&format!("a-desk-{index}")).silent = true;
    }
    world.run(Duration::from_secs(2));
    assert!(world.zone("a").owners("desk").is_empty());
    for index in 0..4 {
        world.zone("a").target(&format!("a-desk-{index}")).silent = false;
    }
    world.run(Duration::from_secs(30));
    assert_eq!(world.served("desk"), 64);
}
