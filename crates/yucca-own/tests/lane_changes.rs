//! Lanes change hands by the word of the old host, or when its lease lapsed.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::{BASE, Host, World, name};
use indexmap::IndexMap;
use yucca_own::domain;
use yucca_wire::{id, table};

fn world() -> World {
    let mut world = World::new(BASE);
    world.add_targets("a", "desk", 12);
    world.run(Duration::from_secs(3));
    world
}

fn lanes(table: &table::Local) -> IndexMap<id::Host, usize> {
    let mut counts = IndexMap::new();
    for target in table.targets.values() {
        if let Some(lane) = &target.lane {
            *counts.entry(lane.clone()).or_insert(0) += 1;
        }
    }
    counts
}

fn table(world: &mut World) -> std::sync::Arc<table::Local> {
    world.zone("a").state.table()
}

#[test]
fn a_lost_host_leaves_its_lanes_to_standbys() {
    let mut world = world();
    let before = table(&mut world);
    assert!(lanes(&before).values().all(|count| *count == 4));
    world.zone("a").host("a1").up = false;
    world.run(Duration::from_millis(1000));
    let after = table(&mut world);
    for (name, old) in &before.targets {
        let new = &after.targets[name];
        if old.lane == Some(common::name("a1")) {
            assert_eq!(new.lane, old.standby, "the standby takes over");
            assert!(new.token > old.token);
        } else {
            assert_eq!(
                (&new.lane, new.token),
                (&old.lane, old.token),
                "others stay"
            );
        }
        assert!(new.standby.is_some() && new.standby != new.lane);
        assert_ne!(new.standby, Some(common::name("a1")));
    }
    assert_eq!(before.owners, after.owners, "no shard moves with its lane");
}

#[test]
fn no_lane_changes_before_the_lease_lapsed() {
    let mut world = world();
    let before = table(&mut world);
    world.zone("a").host("a1").up = false;
    world.run(Duration::from_millis(600));
    assert_eq!(table(&mut world).targets, before.targets);
}

#[test]
fn a_new_leader_waits_out_leases_it_did_not_grant() {
    let mut world = world();
    let before = table(&mut world);
    world.zone("a").host("a1").up = false;
    let now = world.now;
    world.zone("a").evidence = domain::Evidence::new(now);
    world.run(Duration::from_millis(600));
    assert_eq!(table(&mut world).targets, before.targets);
    world.run(Duration::from_millis(400));
    assert!(!lanes(&table(&mut world)).contains_key(&name::<id::Host>("a1")));
}

#[test]
fn a_stopping_host_hands_over_and_gets_no_lane() {
    let mut world = world();
    world.zone("a").host("a2").stopping = true;
    world.run(Duration::from_millis(500));
    let after = table(&mut world);
    let counts = lanes(&after);
    assert_eq!(counts.values().sum::<usize>(), 12);
    assert!(!counts.contains_key(&name::<id::Host>("a2")), "{counts:?}");
    let a2 = Some(name("a2"));
    assert!(after.targets.values().all(|target| target.standby != a2));
}

#[test]
fn a_stopping_host_does_not_wait_for_copies_for_ever() {
    let mut world = world();
    world.zone("a").no_copies = true;
    world.zone("a").host("a1").up = false;
    world.run(Duration::from_secs(2));
    // Standbys changed, and none of the new ones has a copy.
    world.zone("a").host("a2").stopping = true;
    world.run(Duration::from_millis(1500));
    let a2: id::Host = name("a2");
    assert!(
        lanes(&table(&mut world)).contains_key(&a2),
        "it waits for copies"
    );
    *world.zone("a").host("a1") = Host::new(2);
    world.run(Duration::from_millis(2500));
    assert!(!lanes(&table(&mut world)).contains_key(&a2));
}

#[test]
fn a_host_with_the_table_and_without_the_lane_has_ended_it() {
    let mut world = world();
    let zone = world.zone("a");
    let before = zone.state.table();
    let (target, old) = before.targets.first().unwrap();
    let command = domain::Command::Yield {
        target: target.clone(),
        token: old.token,
    };
    let now = Duration::from_secs(20);
    assert_eq!(zone.propose(command, now), domain::Reply::Done);
    let table = zone.state.table();
    let mut report = yucca_wire::report::Report {
        host: old.lane.clone().unwrap(),
        incarnation: 1,
        global: id::Version(1),
        locals: [(name("a"), before.version)].into(),
        announced: Vec::new(),
        lanes: IndexMap::new(),
        stopping: false,
    };
    let left = domain::Command::Left {
        target: target.clone(),
        token: old.token,
    };
    zone.evidence.record_report(&report, now);
    assert!(
        !zone.state.plan(&zone.evidence, now).contains(&left),
        "it has an older table"
    );
    report.locals = [(name("a"), table.version)].into();
    report.lanes = [(target.clone(), Default::default())].into();
    zone.evidence.record_report(&report, now);
    assert!(
        !zone.state.plan(&zone.evidence, now).contains(&left),
        "it still has the lane"
    );
    report.lanes.clear();
    zone.evidence.record_report(&report, now);
    assert!(zone.state.plan(&zone.evidence, now).contains(&left));
}

#[test]
fn a_returning_host_gets_its_share_one_lane_at_a_time() {
    let mut world = world();
    world.zone("a").host("a3").up = false;
    world.run(Duration::from_secs(3));
    assert_eq!(lanes(&table(&mut world)).len(), 2);
    *world.zone("a").host("a3") = Host::new(2);
    let mut most = 0;
    for _ in 0..200 {
        let before = lanes(&table(&mut world));
        world.tick();
        let after = lanes(&table(&mut world));
        let lost = before
            .iter()
            .map(|(host, n)| n.saturating_sub(*after.get(host).unwrap_or(&0)));
        most = most.max(lost.sum());
    }
    assert_eq!(most, 1, "one lane at a time");
    let counts = lanes(&table(&mut world));
    assert!(
        counts.values().all(|count| (3..=5).contains(count)),
        "{counts:?}"
    );
    assert_eq!(counts.values().sum::<usize>(), 12);
}

#[test]
fn a_restarted_process_lost_its_lanes_at_once() {
    let mut world = world();
    let before = table(&mut world);
    *world.zone("a").host("a1") = Host::new(2);
    world.run(Duration::from_millis(300));
    let after = table(&mut world);
    for (name, old) in &before.targets {
        if old.lane == Some(common::name("a1")) {
            assert!(after.targets[name].token > old.token);
        }
    }
}

#[test]
fn a_thawed_host_gets_no_lease_before_its_lanes_are_gone() {
    let mut world = world();
    let host: id::Host = name("a1");
    world.zone("a").host("a1").up = false;
    world.run(Duration::from_millis(500));
    let now = world.now + Duration::from_millis(800);
    let zone = world.zone("a");
    let report = yucca_wire::report::Report {
        host: host.clone(),
        incarnation: 1,
        global: id::Version(1),
        locals: IndexMap::new(),
        announced: Vec::new(),
        lanes: IndexMap::new(),
        stopping: false,
    };
    assert!(zone.evidence.may_lease(&zone.state, &host));
    zone.evidence.record_report(&report, now);
    assert!(
        !zone.evidence.may_lease(&zone.state, &host),
        "its lease has lapsed"
    );
    let lost = domain::Command::HostLost {
        host: host.clone(),
        incarnation: 1,
    };
    let commands = zone.state.plan(&zone.evidence, now);
    assert!(commands.contains(&lost));
    for command in commands {
        zone.propose(command, now);
    }
    zone.evidence.record_report(&report, now);
    assert!(!zone.evidence.may_lease(&zone.state, &host), "it is not up");
    for command in zone.state.plan(&zone.evidence, now) {
        zone.propose(command, now);
    }
    assert!(
        zone.evidence.may_lease(&zone.state, &host),
        "it is up again, without lanes"
    );
    assert!(!lanes(&zone.state.table()).contains_key(&host));
}

#[test]
fn a_report_read_before_the_lapse_and_heard_after_it_renews_nothing() {
    let mut world = world();
    let host: id::Host = name("a1");
    let report = yucca_wire::report::Report {
        host: host.clone(),
        incarnation: 1,
        global: id::Version(1),
        locals: IndexMap::new(),
        announced: Vec::new(),
        lanes: IndexMap::new(),
        stopping: false,
    };
    let now = world.now;
    let zone = world.zone("a");
    zone.evidence.record_report(&report, now);
    let judged = now + Duration::from_millis(720);
    zone.evidence.observe(&zone.state, judged);
    let lost = domain::Command::HostLost {
        host: host.clone(),
        incarnation: 1,
    };
    assert!(zone.state.plan(&zone.evidence, judged).contains(&lost));
    zone.evidence
        .record_report(&report, now + Duration::from_millis(710));
    assert!(
        !zone.evidence.may_lease(&zone.state, &host),
        "its lanes are being taken away"
    );
}

#[test]
fn a_lane_that_alone_cannot_reach_its_target_moves() {
    let mut world = world();
    let before = table(&mut world);
    let (target, old) = before.targets.first().unwrap();
    let lane = old.lane.clone().unwrap();
    let zone = world.zone("a");
    zone.unreachable = Some((lane.clone(), target.clone()));
    world.run(Duration::from_millis(1200));
    let new = &table(&mut world).targets[target];
    assert_eq!(
        new.state,
        table::State::Serving,
        "it is heard, so it is not lost"
    );
    assert_ne!(new.lane, Some(lane));
    assert!(new.lane.is_some());
}

#[test]
fn a_domain_without_hosts_left_keeps_its_owners() {
    let mut world = world();
    let before = table(&mut world);
    for host in ["a1", "a2", "a3"] {
        world.zone("a").host(host).up = false;
    }
    world.run(Duration::from_secs(2));
    let after = table(&mut world);
    assert!(after.targets.values().all(|target| target.lane.is_none()));
    for host in ["a1", "a2", "a3"] {
        *world.zone("a").host(host) = Host::new(2);
    }
    world.run(Duration::from_secs(2));
    let after = table(&mut world);
    assert_eq!(after.owners, before.owners);
    assert!(after.targets.values().all(|target| target.lane.is_some()));
}
