//! A shard changes its owner only after the lane of the old owner released it.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::{BASE, Domain, World, name};
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

fn first(domain: &Domain) -> (id::Shard, table::Owner) {
    let table = domain.state.table();
    let owners = &table.owners[&name::<id::Service>("desk")];
    let (shard, owner) = owners.iter().next().unwrap();
    (*shard, owner.clone())
}

fn owner(domain: &Domain, shard: id::Shard) -> Option<table::Owner> {
    let table = domain.state.table();
    table.owners[&name::<id::Service>("desk")]
        .get(&shard)
        .cloned()
}

fn other(domain: &Domain, than: &id::Target) -> id::Target {
    domain
        .targets
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
    domain: &Domain,
    target: &id::Target,
    shard: id::Shard,
    token: id::Token,
) -> domain::Command {
    domain::Command::Released {
        target: target.clone(),
        token: domain.state.table().targets[target].token,
        releases: vec![report::Release {
            shard,
            key: None,
            token,
        }],
    }
}

#[test]
fn no_new_owner_before_the_release() {
    let mut world = world();
    let domain = world.domain("a");
    let (shard, old) = first(domain);
    let to = other(domain, &old.target);
    assert_eq!(
        domain.propose(shift(shard, old.token, &to), NOW),
        domain::Reply::Done
    );
    let moving = owner(domain, shard).unwrap();
    assert!(moving.moving && moving.target == old.target && moving.token == old.token);
    let release = release(domain, &old.target, shard, old.token);
    assert_eq!(domain.propose(release.clone(), NOW), domain::Reply::Done);
    let new = owner(domain, shard).unwrap();
    assert!(new.target == to && new.token > old.token && !new.moving);
    assert_eq!(
        domain.propose(release, NOW),
        domain::Reply::Stale,
        "sent twice"
    );
    assert_eq!(owner(domain, shard), Some(new));
}

#[test]
fn late_and_wrong_commands_have_no_effect() {
    let mut world = world();
    let domain = world.domain("a");
    let (shard, old) = first(domain);
    let to = other(domain, &old.target);
    let before = domain.state.clone();
    let wrong = id::Token::default();
    let foreign = id::Shard(63);
    for command in [
        shift(shard, wrong, &to),
        shift(shard, old.token, &old.target),
        shift(shard, old.token, &name("nobody")),
        shift(foreign, old.token, &to),
        release(domain, &old.target, shard, old.token),
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
            domain.propose(command.clone(), NOW),
            domain::Reply::Stale,
            "{command:?}"
        );
        assert_eq!(domain.state, before);
    }
}

#[test]
fn a_release_of_an_old_lane_has_no_effect() {
    let mut world = world();
    let domain = world.domain("a");
    let (shard, old) = first(domain);
    let to = other(domain, &old.target);
    domain.propose(shift(shard, old.token, &to), NOW);
    let late = release(domain, &old.target, shard, old.token);
    let lane = domain.state.table().targets[&old.target]
        .lane
        .clone()
        .unwrap();
    let incarnation = domain.hosts[&lane].incarnation;
    let lost = domain::Command::HostLost {
        host: lane,
        incarnation,
    };
    assert_eq!(domain.propose(lost, NOW), domain::Reply::Done);
    assert_eq!(domain.propose(late, NOW), domain::Reply::Stale);
    assert!(owner(domain, shard).unwrap().moving);
    let release = release(domain, &old.target, shard, old.token);
    assert_eq!(domain.propose(release, NOW), domain::Reply::Done);
    assert_eq!(owner(domain, shard).unwrap().target, to);
}

#[test]
fn a_lost_next_owner_is_replaced() {
    let mut world = world();
    let domain = world.domain("a");
    let (shard, old) = first(domain);
    let to = other(domain, &old.target);
    domain.propose(shift(shard, old.token, &to), NOW);
    let lost = domain::Command::TargetLost {
        target: to.clone(),
        incarnation: 1,
    };
    domain.propose(lost, NOW);
    let release = release(domain, &old.target, shard, old.token);
    assert_eq!(domain.propose(release, NOW), domain::Reply::Done);
    assert_eq!(owner(domain, shard), None);
    domain.targets.get_mut(&to).unwrap().silent = true;
    world.run(Duration::from_millis(300));
    let new = owner(world.domain("a"), shard).unwrap();
    assert!(new.target != to && new.token > old.token);
}

#[test]
fn a_draining_target_owns_nothing_within_a_second() {
    let mut world = world();
    assert!(
        world
            .domain("a")
            .owners("desk")
            .contains_key(&name::<id::Target>("a-desk-1"))
    );
    world.submit("number = 2\ndrains.desk = [\"a-desk-1\"]");
    world.run(Duration::from_millis(500));
    assert!(
        !world
            .domain("a")
            .owners("desk")
            .contains_key(&name::<id::Target>("a-desk-1"))
    );
    assert_eq!(world.served("desk"), 64);
    world.submit("number = 3\ndrains.desk = []");
    world.run(Duration::from_millis(200));
    let table = world.domain("a").state.table();
    let state = table.targets[&name::<id::Target>("a-desk-1")].state;
    assert_eq!(state, table::State::Serving);
}

#[test]
fn a_leaving_target_is_removed_when_silent() {
    let mut world = world();
    let leaving = yucca_wire::announce::State::Leaving;
    world.domain("b").target("b-desk-0").announce.state = Some(leaving);
    world.run(Duration::from_secs(2));
    let gone: id::Target = name("b-desk-0");
    assert!(!world.domain("b").owners("desk").contains_key(&gone));
    world.domain("b").target("b-desk-0").silent = true;
    world.run(Duration::from_secs(15));
    assert!(!world.domain("b").state.table().targets.contains_key(&gone));
    assert_eq!(world.served("desk"), 64);
}

#[test]
fn moves_continue_when_the_owner_is_silent() {
    let mut world = world();
    let before = world.domain("a").owners("desk").len();
    world.domain("a").target("a-desk-2").silent = true;
    world.run(Duration::from_millis(1000));
    let owners = world.domain("a").owners("desk");
    assert!(!owners.contains_key(&name::<id::Target>("a-desk-2")));
    assert_eq!((before, owners.len()), (4, 3));
    assert_eq!(world.served("desk"), 64);
}
