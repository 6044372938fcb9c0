//! Operators and placement pin keys to owners of their own.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{BASE, TICK, World, name};
use yucca_wire::{id, key, table};

fn world() -> World {
    let mut world = World::new(BASE);
    world.add_targets("a", "desk", 6);
    world.run(Duration::from_secs(4));
    world
}

fn pin(world: &mut World, key: &str) -> Option<table::Owner> {
    let table = world.domain("a").state.table();
    let pins = table.pins.get(&name::<id::Service>("desk"))?;
    pins.get(key.as_bytes()).cloned()
}

/// Runs one tick with this work of each key at the target that owns it.
fn work(world: &mut World, demand: &[(Bytes, u64)]) {
    let service: id::Service = name("desk");
    let domain = world.domain("a");
    let table = domain.state.table();
    for (key, work) in demand {
        let shard = key::shard(key, 64);
        let owner = table.owner(&service, shard, key).unwrap();
        let target = domain.targets.get_mut(&owner.target).unwrap();
        *target.work.entry(key.clone()).or_insert(0) += work;
    }
    world.tick();
}

/// Returns two keys of different shards that the same target owns.
fn neighbours(world: &mut World) -> [Bytes; 2] {
    let service: id::Service = name("desk");
    let table = world.domain("a").state.table();
    let place = |key: &Bytes| {
        let shard = key::shard(key, 64);
        (
            shard,
            table.owner(&service, shard, key).unwrap().target.clone(),
        )
    };
    let first = Bytes::from_static(b"hot-0");
    let (shard, target) = place(&first);
    let others = (1..).map(|n| Bytes::from(format!("hot-{n}")));
    let mut fitting = others.filter(|key| {
        let (other, owner) = place(key);
        other != shard && owner == target
    });
    [first, fitting.next().unwrap()]
}

fn is_pinned(world: &mut World, key: &Bytes) -> bool {
    let owner = pin(world, std::str::from_utf8(key).unwrap());
    owner.is_some_and(|owner| !owner.moving)
}

/// Runs 300 ticks in which many keys have equal work. Returns that work with two hot keys added, and
/// the hot keys, which one target owns.
fn two_hot(world: &mut World) -> (Vec<(Bytes, u64)>, [Bytes; 2]) {
    let hot = neighbours(world);
    let mut demand = even(400, 200);
    for _ in 0..300 {
        work(world, &demand);
    }
    demand.extend(hot.iter().map(|key| (key.clone(), 10_000)));
    (demand, hot)
}

fn even(count: usize, micros: u64) -> Vec<(Bytes, u64)> {
    (0..count)
        .map(|n| (Bytes::from(format!("key-{n}")), micros))
        .collect()
}

#[test]
fn operator_pins_apply_and_end() {
    let mut world = world();
    world.submit("number = 2\npins.desk.k1 = \"a-desk-1\"");
    world.run(Duration::from_millis(400));
    let owner = pin(&mut world, "k1").unwrap();
    assert!(owner.target == name("a-desk-1") && !owner.moving);
    world.submit("number = 3\npins.desk.k1 = \"a-desk-2\"");
    world.run(Duration::from_millis(400));
    let next = pin(&mut world, "k1").unwrap();
    assert!(next.target == name("a-desk-2") && next.token > owner.token);
    world.submit("number = 4\npins.desk = {}");
    world.run(Duration::from_millis(400));
    assert_eq!(pin(&mut world, "k1"), None);
}

#[test]
fn a_pin_waits_for_a_missing_target() {
    let mut world = world();
    world.submit("number = 2\npins.desk.k1 = \"a-desk-x\"");
    world.run(Duration::from_millis(400));
    assert_eq!(pin(&mut world, "k1"), None);
    world.domain("a").add_target("a-desk-x", "desk");
    world.run(Duration::from_millis(600));
    assert_eq!(pin(&mut world, "k1").unwrap().target, name("a-desk-x"));
}

#[test]
fn a_pin_returns_with_its_lost_target() {
    let mut world = world();
    world.submit("number = 2\npins.desk.k1 = \"a-desk-1\"");
    world.run(Duration::from_millis(400));
    world.domain("a").target("a-desk-1").silent = true;
    world.run(Duration::from_secs(1));
    assert_eq!(pin(&mut world, "k1"), None);
    world.domain("a").target("a-desk-1").silent = false;
    world.run(Duration::from_secs(1));
    assert_eq!(pin(&mut world, "k1").unwrap().target, name("a-desk-1"));
}

#[test]
fn one_of_two_hot_keys_is_pinned_within_seconds() {
    let mut world = world();
    let (demand, hot) = two_hot(&mut world);
    let moved = world.domain("a").moved;
    let mut ticks = 0;
    while !hot.iter().any(|key| is_pinned(&mut world, key)) {
        work(&mut world, &demand);
        ticks += 1;
        assert!(ticks < 30, "not pinned within 3 s");
    }
    assert_eq!(
        world.domain("a").moved,
        moved,
        "no shard moved before the pin"
    );
}

#[test]
fn other_shards_move_away_from_a_hot_key() {
    let mut world = world();
    let mut demand = even(400, 200);
    demand.push((Bytes::from_static(b"hot"), 15_000));
    let service: id::Service = name("desk");
    let shard = key::shard(b"hot", 64);
    let before = world.domain("a").state.table();
    for _ in 0..300 {
        work(&mut world, &demand);
    }
    let after = world.domain("a").state.table();
    let owner = |table: &table::Local| table.owner(&service, shard, b"hot").unwrap().target.clone();
    assert_eq!(owner(&before), owner(&after), "its move would gain nothing");
    assert!(world.domain("a").moved >= 5, "{}", world.domain("a").moved);
}

#[test]
fn pins_of_cold_keys_end() {
    let mut world = world();
    let (mut demand, hot) = two_hot(&mut world);
    for _ in 0..300 {
        work(&mut world, &demand);
    }
    let pinned = |world: &mut World| hot.iter().filter(|key| is_pinned(world, key)).count();
    assert_eq!(pinned(&mut world), 1);
    demand.truncate(400);
    for _ in 0..300 {
        work(&mut world, &demand);
    }
    assert_eq!(pinned(&mut world), 0);
}

#[test]
fn pins_of_operators_stay_when_cold() {
    let mut world = world();
    world.submit("number = 2\npins.desk.k1 = \"a-desk-1\"");
    for _ in 0..400 {
        work(&mut world, &even(400, 200));
    }
    assert!(pin(&mut world, "k1").is_some());
    let table = world.domain("a").state.table();
    assert!(table.targets.contains_key(&name::<id::Target>("a-desk-1")));
}

#[test]
fn a_new_leader_keeps_pins_without_history() {
    let mut world = world();
    let (demand, _) = two_hot(&mut world);
    for _ in 0..300 {
        work(&mut world, &demand);
    }
    let pins = |world: &mut World| world.domain("a").state.table().pins.clone();
    let before = pins(&mut world);
    assert!(!before.is_empty());
    let now = world.now;
    world.domain("a").evidence = yucca_own::domain::Evidence::new(now);
    for _ in 0..(Duration::from_secs(30).as_millis() / TICK.as_millis()) {
        work(&mut world, &demand);
    }
    assert_eq!(pins(&mut world), before);
}
