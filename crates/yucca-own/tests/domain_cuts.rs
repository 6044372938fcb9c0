//! Domains that are cut off from each other: which of them serves a shard, and for how long.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::{BASE, World, name};
use yucca_own::{global, lease};
use yucca_wire::{id, table};

const AFTER: Duration = Duration::from_secs(10);

fn world(on_cut: &str) -> World {
    let text = BASE.replace("deadline = \"1s\"", &format!("deadline = \"1s\"\n{on_cut}"));
    let mut world = World::new(&text);
    for domain in ["a", "b", "c"] {
        world.add_targets(domain, "desk", 4);
    }
    world.run(Duration::from_secs(5));
    assert_eq!(world.served("desk"), 64);
    world
}

fn owned(world: &mut World, domain: &str) -> usize {
    world.domain(domain).owners("desk").values().sum()
}

fn generation(world: &World, domain: &str) -> u32 {
    world.global.table().domains[&name::<id::Domain>(domain)].generation
}

/// Returns the time for which a domain may still serve the service.
fn remaining_lease(world: &mut World, domain: &str) -> Duration {
    let now = world.now;
    let domain = world.domain(domain);
    let leases = domain.state.home_leases(&domain.evidence, now);
    leases
        .get(&name::<id::Service>("desk"))
        .copied()
        .unwrap_or(Duration::MAX)
}

#[test]
fn a_silent_domain_keeps_its_shards() {
    let mut world = world("");
    let before = owned(&mut world, "b");
    world.domain("b").connected = false;
    world.run(Duration::from_secs(120));
    assert_eq!(owned(&mut world, "b"), before);
    assert_eq!(
        remaining_lease(&mut world, "b"),
        Duration::MAX,
        "no time limit"
    );
    assert_eq!(world.served("desk"), 64);
}

#[test]
fn a_cut_domain_still_reassigns_its_shards() {
    let mut world = world("");
    let before = owned(&mut world, "b");
    world.domain("b").connected = false;
    world.run(Duration::from_secs(5));
    world.domain("b").target("b-desk-0").silent = true;
    world.domain("b").host("b1").up = false;
    world.run(Duration::from_secs(2));
    assert_eq!(owned(&mut world, "b"), before);
    assert_eq!(world.domain("b").owners("desk").len(), 3);
    assert_eq!(world.served("desk"), 64);
}

#[test]
fn isolated_domains_keep_their_shards() {
    let mut world = world("on_cut = { move_after = \"10s\" }");
    let before: Vec<usize> = ["a", "b", "c"].map(|d| owned(&mut world, d)).into();
    for domain in ["a", "b", "c"] {
        world.domain(domain).connected = false;
    }
    // The global log has no leader; the logs of the domains continue.
    for _ in 0..300 {
        world.now += common::TICK;
        let now = world.now;
        for domain in world.domains.values_mut() {
            domain.tick(now);
        }
    }
    let after: Vec<usize> = ["a", "b", "c"].map(|d| owned(&mut world, d)).into();
    assert_eq!(before, after);
}

#[test]
fn shards_move_after_the_holder_stopped() {
    let mut world = world("on_cut = { move_after = \"10s\" }");
    world.domain("b").connected = false;
    let mut stopped_at = None;
    let mut moved_at = None;
    for _ in 0..200 {
        world.tick();
        if remaining_lease(&mut world, "b").is_zero() {
            stopped_at.get_or_insert(world.now);
        }
        let homes = world.global.table().homes[&name::<id::Service>("desk")].clone();
        if homes.iter().all(|domain| *domain != name("b")) {
            moved_at.get_or_insert(world.now);
        }
    }
    let (stopped, moved) = (stopped_at.unwrap(), moved_at.unwrap());
    assert!(stopped < moved, "{stopped:?} {moved:?}");
    assert!(moved < stopped + AFTER / 5, "moved too late");
    assert_eq!(owned(&mut world, "a") + owned(&mut world, "c"), 64);
}

#[test]
fn a_returning_domain_owns_no_moved_shards() {
    let mut world = world("on_cut = { move_after = \"10s\" }");
    let before = generation(&world, "b");
    world.domain("b").connected = false;
    world.run(Duration::from_secs(15));
    assert!(generation(&world, "b") > before);
    let domain = world.domain("b");
    let old = domain.state.renewal(&domain.evidence);
    assert_eq!(
        world.propose(old),
        global::Reply::Stale,
        "the domain does not know yet which shards it lost"
    );
    world.domain("b").connected = true;
    world.tick();
    assert_eq!(owned(&mut world, "b"), 0);
    assert_eq!(world.served("desk"), 64);
    world.run(Duration::from_secs(60));
    assert!(
        owned(&mut world, "b") > 10,
        "shards come back, a few at a time"
    );
    assert_eq!(world.served("desk"), 64);
}

#[test]
fn a_late_renewal_keeps_the_shards() {
    let mut world = world("on_cut = { move_after = \"10s\" }");
    world.domain("b").connected = false;
    let domain = world.domain("b");
    let renewal = domain.state.renewal(&domain.evidence);
    let mut lapse = None;
    while lapse.is_none() {
        world.now += common::TICK;
        let now = world.now;
        for domain in ["a", "c"] {
            world.evidence.record_contact(&name(domain), now);
            let domain = world.domains.get(&name::<id::Domain>(domain)).unwrap();
            let renewal = domain.state.renewal(&domain.evidence);
            world.propose(renewal);
        }
        lapse = world.global.plan(&world.evidence, now).pop();
    }
    let lapse = lapse.unwrap();
    assert!(matches!(
        &lapse,
        global::Command::Assign {
            cause: global::Cause::Lapsed { .. },
            ..
        }
    ));
    assert_eq!(world.propose(renewal), global::Reply::Done);
    assert_eq!(
        world.propose(lapse),
        global::Reply::Stale,
        "the renewal came first"
    );
}

#[test]
fn a_new_global_leader_restarts_the_lease_timeout() {
    let mut world = world("on_cut = { move_after = \"10s\" }");
    world.domain("b").connected = false;
    world.run(Duration::from_secs(8));
    world.evidence = global::Evidence::new(world.now);
    let before = world.global.table().homes.clone();
    world.run(AFTER);
    assert_eq!(world.global.table().homes, before);
    world.run(AFTER);
    assert_ne!(world.global.table().homes, before);
}

#[test]
fn a_rule_unknown_to_the_domain_moves_nothing() {
    let mut world = world("");
    let before = world.global.table().homes.clone();
    world.domain("b").connected = false;
    world.run(Duration::from_secs(1));
    let text = BASE.replace("number = 1", "number = 2");
    let text = text.replace(
        "deadline = \"1s\"",
        "deadline = \"1s\"\non_cut = { move_after = \"5s\" }",
    );
    let reply = world.submit(&text);
    assert!(matches!(reply, global::Reply::Accepted { .. }));
    world.run(Duration::from_secs(60));
    assert_eq!(
        world.global.table().homes,
        before,
        "the hosts do not know the new rule"
    );
}

#[test]
fn shards_of_a_lost_domain_move_at_once() {
    let mut world = world("");
    let before = generation(&world, "b");
    let hosts: Vec<String> = (1..4)
        .map(|n| {
            format!("hosts.b{n} = {{ peer = \"127.0.2.{n}:1\", control = \"127.0.2.{n}:2\" }}")
        })
        .collect();
    let hosts = hosts.join("\n");
    world.domain("b").connected = false;
    world.submit(&format!(
        "number = 2\n[domains.b]\nregion = \"west\"\nlost = true\n{hosts}"
    ));
    world.run(Duration::from_secs(1));
    assert_eq!(owned(&mut world, "a") + owned(&mut world, "c"), 64);
    assert!(generation(&world, "b") > before);
    world.domain("b").connected = true;
    world.run(Duration::from_secs(1));
    assert_eq!(
        owned(&mut world, "b"),
        0,
        "a lost domain owns no shards until a ticket restores it"
    );
    let lost = generation(&world, "b");
    world.submit(&format!(
        "number = 3\n[domains.b]\nregion = \"west\"\n{hosts}"
    ));
    world.run(Duration::from_secs(60));
    assert!(generation(&world, "b") > lost);
    assert!(owned(&mut world, "b") > 10);
    assert_eq!(world.served("desk"), 64);
}

#[test]
fn a_domain_without_targets_releases_its_shards() {
    let mut world = world("");
    for index in 0..4 {
        world
            .domain("c")
            .target(&format!("c-desk-{index}"))
            .announce
            .state = Some(yucca_wire::announce::State::Draining);
    }
    let mut least = 64;
    for _ in 0..600 {
        world.tick();
        least = least.min(world.served("desk"));
    }
    assert_eq!(world.served("desk"), 64);
    assert_eq!(owned(&mut world, "c"), 0);
    let homes = world.global.table().homes[&name::<id::Service>("desk")].clone();
    assert!(homes.iter().all(|domain| *domain != name("c")));
    assert!(least >= 60, "too many at a time: {least}");
}

#[test]
fn restart_of_all_targets_keeps_homes() {
    let mut world = world("");
    let homes = world.global.table().homes.clone();
    for index in 0..4 {
        world.domain("c").target(&format!("c-desk-{index}")).silent = true;
    }
    world.run(Duration::from_secs(4));
    assert_eq!(owned(&mut world, "c"), 0);
    for index in 0..4 {
        let target = world.domain("c").target(&format!("c-desk-{index}"));
        target.silent = false;
        target.announce.incarnation += 1;
    }
    world.run(Duration::from_secs(20));
    assert_eq!(world.global.table().homes, homes);
    assert_eq!(world.served("desk"), 64);
}

#[test]
fn homes_follow_capacity_with_few_moves() {
    let mut world = world("");
    let homes = world.global.table().homes[&name::<id::Service>("desk")].clone();
    world.add_targets("a", "desk", 5);
    world.run(Duration::from_secs(30));
    let after = world.global.table().homes[&name::<id::Service>("desk")].clone();
    let moved = homes
        .iter()
        .zip(after.iter())
        .filter(|(a, b)| a != b)
        .count();
    assert!(moved <= 14, "{moved}");
}

#[test]
fn tokens_rise_when_shards_change_homes() {
    let mut world = world("on_cut = { move_after = \"10s\" }");
    let highest = |world: &World| {
        let tables = world.domains.values().map(|domain| domain.state.table());
        let tokens = tables.flat_map(|table: std::sync::Arc<table::Local>| {
            let owners = table.owners[&name::<id::Service>("desk")].clone();
            let tokens: Vec<(id::Shard, id::Token)> = owners
                .iter()
                .map(|(shard, owner)| (*shard, owner.token))
                .collect();
            tokens
        });
        tokens.collect::<indexmap::IndexMap<id::Shard, id::Token>>()
    };
    let before = highest(&world);
    world.domain("b").connected = false;
    world.run(Duration::from_secs(15));
    world.domain("b").connected = true;
    world.run(Duration::from_secs(1));
    let after = highest(&world);
    assert!(after.len() >= 63, "at most one shard is between two homes");
    for (shard, new) in &after {
        let old = before[shard];
        assert!(*new >= old, "shard {shard}: {old} then {new}");
    }
}

#[test]
fn a_lease_ends_for_its_holder_first() {
    for millis in [1u64, 700, 30_000, 3_600_000] {
        let lease = Duration::from_millis(millis);
        // Clocks that differ in rate by one part in a hundred each way.
        let fast = lease::grantor(lease).mul_f64(0.99);
        let slow = lease::holder(lease).mul_f64(1.01);
        assert!(slow < fast);
    }
}
