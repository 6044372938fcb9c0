//! Time for which keys are not served after a loss inside a connected domain: 200 seeded losses of
//! a target, a host, the leader, or several at once, in ticks of 100 ms.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::{BASE, TICK, World, name};
use rand::prelude::*;
use yucca_own::domain;
use yucca_wire::id;

const LOSSES: u64 = 200;
const LIMIT: Duration = Duration::from_millis(2000);
/// Time for which a domain's log has no leader after it lost one.
const ELECTION: Duration = Duration::from_millis(500);

fn world() -> World {
    let mut world = World::new(BASE);
    world.add_targets("a", "desk", 12);
    world.run(Duration::from_secs(3));
    world
}

/// Returns whether every shard has an owner that answers and has a lane on a host that is up.
fn all_served(world: &mut World) -> bool {
    let domain = world.domain("a");
    let table = domain.state.table();
    let owners = &table.owners[&name::<id::Service>("desk")];
    let served = |target: &id::Target| {
        let lane = table.targets[target].lane.as_ref();
        !domain.targets[target].silent && lane.is_some_and(|host| domain.hosts[host].up)
    };
    let mut values = owners.values();
    owners.len() == 64 && values.all(|owner| !owner.moving && served(&owner.target))
}

fn recovery(seed: u64) -> Duration {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut world = world();
    world.run(TICK * rng.random_range(0..20));
    let kind = rng.random_range(0..5);
    let start = world.now;
    if kind != 1 {
        let target = format!("a-desk-{}", rng.random_range(0..12));
        world.domain("a").target(&target).silent = true;
    }
    if kind == 1 || kind == 2 {
        let host = format!("a{}", rng.random_range(1..4));
        world.domain("a").host(&host).up = false;
    }
    if kind == 3 {
        world.now += ELECTION;
        let now = world.now;
        world.domain("a").evidence = domain::Evidence::new(now);
    }
    if kind == 4 {
        let target = format!("a-desk-{}", rng.random_range(0..12));
        world.domain("a").target(&target).silent = true;
    }
    while !all_served(&mut world) {
        world.tick();
        assert!(
            world.now < start + LIMIT * 5,
            "seed {seed}: never served again"
        );
    }
    world.now - start
}

#[test]
fn keys_are_served_again_within_two_seconds() {
    let mut times: Vec<Duration> = (0..LOSSES).map(recovery).collect();
    times.sort();
    let at = |share: usize| times[times.len() * share / 100];
    println!(
        "median {:?}, p99 {:?}, most {:?}",
        at(50),
        at(99),
        times.last()
    );
    assert!(at(99) <= LIMIT, "{:?}", at(99));
    assert!(at(50) > Duration::ZERO);
}
