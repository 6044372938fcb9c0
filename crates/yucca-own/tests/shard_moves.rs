//! A shard changes its owner only by a release of the lane of the old one.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::{BASE, World, Zone, name};
use yucca_own::domain;
use yucca_wire::{id, report, table};

const NOW: Duration = Duration::from_secs(100);

fn world() -> World {
    let mut world = World::new(BASE);
    for domain in ["a", "b", "c"] {
        world.add_targets(domain, "desk", 4);
    }
    world.run(Duration::from_secs(2));
    world
}

fn first(zone: &Zone) -> (id::Shard, table::Owner) {
    let table = zone.state.table();
    let owners = &table.owners[&name::<id::Service>("desk")];
    let (shard, owner) = owners.iter().next().unwrap();
    (*shard, owner.clone())
}

fn owner(zone: &Zone, shard: id::Shard) -> Option<table::Owner> {
    let table = zone.state.table();
    table.owners[&name::<id::Service>("desk")]
        .get(&shard)
        .cloned()
}

fn other(zone: &Zone, than: &id::Target) -> id::Target {
    zone.targets
        .keys()
        .find(|target| *target != than)
        .unwrap()
        .clone()
}

fn shift(shard: id::Shard, token: id::Token, to: &id::Target) -> domain::Command {
    domain::Command::Move {
        service: name("desk"),
        shifts: vec![domain::Shift {
            shard,
            token,
            to: to.clone(),
        }],
    }
}

fn release(
    zone: &Zone,
    target: &id::Target,
    shard: id::Shard,
    token: id::Token,
) -> domain::Command {
    domain::Command::Released {
        target: target.clone(),
        token: zone.state.table().targets[target].token,
        releases: vec![report::Release {
            shard,
            key: None,
            token,
        }],
    }
}

#[test]
fn nobody_owns_it_anew_before_the_release() {
    let mut world = world();
    let zone = world.zone("a");
    let (shard, old) = first(zone);
    let to = other(zone, &old.target);
    assert_eq!(
        zone.propose(shift(shard, old.token, &to), NOW),
        domain::Reply::Done
    );
    let moving = owner(zone, shard).unwrap();
    assert!(moving.moving && moving.target == old.target && moving.token == old.token);
    let release = release(zone, &old.target, shard, old.token);
    assert_eq!(zone.propose(release.clone(), NOW), domain::Reply::Done);
    let new = owner(zone, shard).unwrap();
    assert!(new.target == to && new.token > old.token && !new.moving);
    assert_eq!(
        zone.propose(release, NOW),
        domain::Reply::Stale,
        "sent twice"
    );
    assert_eq!(owner(zone, shard), Some(new));
}

#[test]
fn late_and_wrong_commands_have_no_effect() {
    let mut world = world();
    let zone = world.zone("a");
    let (shard, old) = first(zone);
    let to = other(zone, &old.target);
    let before = zone.state.clone();
    let wrong = id::Token::default();
    let foreign = id::Shard(63);
    for command in [
        shift(shard, wrong, &to),
        shift(shard, old.token, &old.target),
        shift(shard, old.token, &name("nobody")),
        shift(foreign, old.token, &to),
        release(zone, &old.target, shard, old.token),
        domain::Command::Own {
            service: name("desk"),
            grants: vec![
                domain::Grant {
                    shard,
                    target: to.clone(),
                },
                domain::Grant {
                    shard: foreign,
                    target: to.clone(),
                },
            ],
        },
    ] {
        assert_eq!(
            zone.propose(command.clone(), NOW),
            domain::Reply::Stale,
            "{command:?}"
        );
        assert_eq!(zone.state, before);
    }
}

#[test]
fn a_release_of_an_old_lane_has_no_effect() {
    let mut world = world();
    let zone = world.zone("a");
    let (shard, old) = first(zone);
    let to = other(zone, &old.target);
    zone.propose(shift(shard, old.token, &to), NOW);
    let late = release(zone, &old.target, shard, old.token);
    let lane = zone.state.table().targets[&old.target]
        .lane
        .clone()
        .unwrap();
    let incarnation = zone.hosts[&lane].incarnation;
    let lost = domain::Command::HostLost {
        host: lane,
        incarnation,
    };
    assert_eq!(zone.propose(lost, NOW), domain::Reply::Done);
    assert_eq!(zone.propose(late, NOW), domain::Reply::Stale);
    assert!(owner(zone, shard).unwrap().moving);
    let release = release(zone, &old.target, shard, old.token);
    assert_eq!(zone.propose(release, NOW), domain::Reply::Done);
    assert_eq!(owner(zone, shard).unwrap().target, to);
}

#[test]
fn a_shard_whose_new_owner_went_goes_elsewhere() {
    let mut world = world();
    let zone = world.zone("a");
    let (shard, old) = first(zone);
    let to = other(zone, &old.target);
    zone.propose(shift(shard, old.token, &to), NOW);
    let lost = domain::Command::TargetLost {
        target: to.clone(),
        incarnation: 1,
    };
    zone.propose(lost, NOW);
    let release = release(zone, &old.target, shard, old.token);
    assert_eq!(zone.propose(release, NOW), domain::Reply::Done);
    assert_eq!(owner(zone, shard), None);
    zone.targets.get_mut(&to).unwrap().silent = true;
    world.run(Duration::from_millis(300));
    let new = owner(world.zone("a"), shard).unwrap();
    assert!(new.target != to && new.token > old.token);
}

#[test]
fn a_draining_target_owns_nothing_within_a_second() {
    let mut world = world();
    assert!(
        world
            .zone("a")
            .owners("desk")
            .contains_key(&name::<id::Target>("a-desk-1"))
    );
    world.submit("number = 2\ndrains.desk = [\"a-desk-1\"]");
    world.run(Duration::from_millis(500));
    assert!(
        !world
            .zone("a")
            .owners("desk")
            .contains_key(&name::<id::Target>("a-desk-1"))
    );
    assert_eq!(world.served("desk"), 64);
    world.submit("number = 3\ndrains.desk = []");
    world.run(Duration::from_millis(200));
    let table = world.zone("a").state.table();
    let state = table.targets[&name::<id::Target>("a-desk-1")].state;
    assert_eq!(state, table::State::Serving);
}

#[test]
fn a_leaving_target_is_forgotten_when_it_is_gone() {
    let mut world = world();
    let leaving = yucca_wire::announce::State::Leaving;
    world.zone("b").target("b-desk-0").announce.state = Some(leaving);
    world.run(Duration::from_secs(2));
    let gone: id::Target = name("b-desk-0");
    assert!(!world.zone("b").owners("desk").contains_key(&gone));
    world.zone("b").target("b-desk-0").silent = true;
    world.run(Duration::from_secs(15));
    assert!(!world.zone("b").state.table().targets.contains_key(&gone));
    assert_eq!(world.served("desk"), 64);
}

#[test]
fn moves_go_on_when_the_old_owner_is_silent() {
    let mut world = world();
    let before = world.zone("a").owners("desk").len();
    world.zone("a").target("a-desk-2").silent = true;
    world.run(Duration::from_millis(1000));
    let owners = world.zone("a").owners("desk");
    assert!(!owners.contains_key(&name::<id::Target>("a-desk-2")));
    assert_eq!((before, owners.len()), (4, 3));
    assert_eq!(world.served("desk"), 64);
}
