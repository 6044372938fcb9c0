//! Placement balances work with few moves, and moves nothing if the gain is below the cost.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{BASE, World, name};
use indexmap::IndexMap;
use test_case::test_case;
use yucca_wire::{id, key};

const SHARDS: u32 = 64;

fn world(targets: usize) -> World {
    let mut world = World::new(BASE);
    world.add_targets("a", "desk", targets);
    world.run(Duration::from_secs(4));
    world
}

/// Returns one key for each shard, so that work can be assigned to shards.
fn keys() -> Vec<Bytes> {
    let mut keys: IndexMap<id::Shard, Bytes> = IndexMap::new();
    let mut index = 0;
    while keys.len() < SHARDS as usize {
        let key = Bytes::from(format!("key-{index}"));
        keys.entry(key::shard(&key, SHARDS)).or_insert(key);
        index += 1;
    }
    keys.sort_unstable_keys();
    keys.into_values().collect()
}

/// Runs ticks with this work of each shard, and returns the work of each target in the last tick.
fn run(world: &mut World, work: &[u64], ticks: usize) -> IndexMap<id::Target, u64> {
    let service: id::Service = name("desk");
    let keys = keys();
    let mut shares = IndexMap::new();
    for _ in 0..ticks {
        shares.clear();
        let domain = world.domain("a");
        let table = domain.state.table();
        for target in domain.targets.keys() {
            shares.insert(target.clone(), 0);
        }
        for (shard, (key, work)) in keys.iter().zip(work).enumerate() {
            let owner = table.owner(&service, id::Shard(shard as u32), key).unwrap();
            *shares.get_mut(&owner.target).unwrap() += work;
            let target = domain.targets.get_mut(&owner.target).unwrap();
            *target.plain.entry(id::Shard(shard as u32)).or_insert(0) += work;
        }
        world.tick();
    }
    shares
}

fn most_over_mean(shares: &IndexMap<id::Target, u64>) -> f64 {
    let sum: u64 = shares.values().sum();
    let most = *shares.values().max().unwrap();
    most as f64 * shares.len() as f64 / sum as f64
}

#[test]
fn uneven_shards_even_out_with_few_moves() {
    let mut world = world(4);
    let before = world.domain("a").owners("desk");
    assert_eq!(before.len(), 4);
    // The shards of one target cost three times those of the others.
    let table = world.domain("a").state.table();
    let owners = table.owners[&name::<id::Service>("desk")].clone();
    let busy: id::Target = name("a-desk-0");
    let work: Vec<u64> = owners
        .values()
        .map(|o| if o.target == busy { 9000 } else { 3000 })
        .collect();
    let first = most_over_mean(&run(&mut world, &work, 1));
    let last = most_over_mean(&run(&mut world, &work, 600));
    assert!(first > 1.9 && last < 1.25, "{first} then {last}");
    let moved = world.domain("a").moved;
    assert!(moved <= 16, "{moved} moves");
}

#[test_case(3000; "even work")]
#[test_case(2; "hardly any work")]
fn even_or_little_work_moves_nothing(micros: u64) {
    let mut world = world(4);
    run(&mut world, &[micros; SHARDS as usize], 600);
    assert_eq!(world.domain("a").moved, 0);
}

#[test]
fn noise_moves_nothing() {
    let mut world = world(4);
    let mut seed = 7u64;
    for _ in 0..120 {
        let mut work = Vec::new();
        for _ in 0..SHARDS {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            work.push(2000 + (seed >> 33) % 2000);
        }
        run(&mut world, &work, 5);
    }
    assert_eq!(world.domain("a").moved, 0);
}

#[test]
fn moves_are_bounded_in_rate() {
    let mut world = world(4);
    let table = world.domain("a").state.table();
    let owners = table.owners[&name::<id::Service>("desk")].clone();
    let busy: id::Target = name("a-desk-0");
    let work: Vec<u64> = owners
        .values()
        .map(|o| if o.target == busy { 9000 } else { 300 })
        .collect();
    let mut most = 0;
    for _ in 0..60 {
        let before = world.domain("a").moved;
        run(&mut world, &work, 10);
        most = most.max(world.domain("a").moved - before);
    }
    assert!((1..=8).contains(&most), "{most} a second");
}

#[test]
fn a_cold_target_gets_few_shards_until_warm() {
    let mut world = world(4);
    world.domain("a").target("a-desk-3").silent = true;
    world.run(Duration::from_secs(2));
    let target = world.domain("a").target("a-desk-3");
    target.silent = false;
    target.announce.incarnation = 2;
    target.announce.warm = Some(0.1);
    let work = [6000; SHARDS as usize];
    run(&mut world, &work, 300);
    let cold: id::Target = name("a-desk-3");
    let owned = |world: &mut World| {
        world
            .domain("a")
            .owners("desk")
            .get(&cold)
            .copied()
            .unwrap_or(0)
    };
    let while_cold = owned(&mut world);
    world.domain("a").target("a-desk-3").announce.warm = Some(1.0);
    run(&mut world, &work, 600);
    let when_warm = owned(&mut world);
    assert!(
        while_cold <= 4 && when_warm >= 8,
        "{while_cold} then {when_warm}"
    );
}

#[test]
fn shards_of_a_lost_target_are_balanced() {
    let mut world = world(4);
    let table = world.domain("a").state.table();
    let owners = table.owners[&name::<id::Service>("desk")].clone();
    let busy: id::Target = name("a-desk-0");
    let work: Vec<u64> = owners
        .values()
        .map(|o| if o.target == busy { 3400 } else { 3000 })
        .collect();
    run(&mut world, &work, 100);
    world.domain("a").target("a-desk-3").silent = true;
    world.run(Duration::from_millis(600));
    world
        .domain("a")
        .targets
        .shift_remove(&name::<id::Target>("a-desk-3"));
    let shares = run(&mut world, &work, 50);
    let ratio = most_over_mean(&shares);
    assert!(ratio < 1.15, "{ratio}: {shares:?}");
}
