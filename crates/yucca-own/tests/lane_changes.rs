//! A lane passes to another host after its host confirms that it ended, or its lease lapsed.

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
    world.domain("a").state.table()
}

#[test]
fn standbys_take_over_lanes_of_lost_hosts() {
    let mut world = world();
    let before = table(&mut world);
    assert!(lanes(&before).values().all(|count| *count == 4));
    world.domain("a").host("a1").up = false;
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
                "other lanes do not change"
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
    world.domain("a").host("a1").up = false;
    world.run(Duration::from_millis(600));
    assert_eq!(table(&mut world).targets, before.targets);
}

#[test]
fn a_new_leader_waits_for_earlier_leases() {
    let mut world = world();
    let before = table(&mut world);
    world.domain("a").host("a1").up = false;
    let now = world.now;
    world.domain("a").evidence = domain::Evidence::new(now);
    world.run(Duration::from_millis(600));
    assert_eq!(table(&mut world).targets, before.targets);
    world.run(Duration::from_millis(400));
    assert!(!lanes(&table(&mut world)).contains_key(&name::<id::Host>("a1")));
}

#[test]
fn a_stopping_host_hands_over_and_gets_no_lane() {
    let mut world = world();
    world.domain("a").host("a2").stopping = true;
    world.run(Duration::from_millis(500));
    let after = table(&mut world);
    let counts = lanes(&after);
    assert_eq!(counts.values().sum::<usize>(), 12);
    assert!(!counts.contains_key(&name::<id::Host>("a2")), "{counts:?}");
    let a2 = Some(name("a2"));
    assert!(after.targets.values().all(|target| target.standby != a2));
}

#[test]
fn a_stopping_host_limits_its_wait_for_copies() {
    let mut world = world();
    world.domain("a").no_copies = true;
    world.domain("a").host("a1").up = false;
    world.run(Duration::from_secs(2));
    // The standbys have changed, and none of the new ones has a copy.
    world.domain("a").host("a2").stopping = true;
    world.run(Duration::from_millis(1500));
    let a2: id::Host = name("a2");
    assert!(
        lanes(&table(&mut world)).contains_key(&a2),
        "the host still waits for copies"
    );
    *world.domain("a").host("a1") = Host::new(2);
    world.run(Duration::from_millis(2500));
    assert!(!lanes(&table(&mut world)).contains_key(&a2));
}

#[test]
fn a_report_without_the_lane_confirms_its_end() {
    let mut world = world();
    let domain = world.domain("a");
    let before = domain.state.table();
    let (target, old) = before.targets.first().unwrap();
    let command = domain::Command::Yield {
        target: target.clone(),
        token: old.token,
    };
    let now = Duration::from_secs(20);
    assert_eq!(domain.propose(command, now), domain::Reply::Done);
    let table = domain.state.table();
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
    domain.evidence.record_report(&report, now);
    assert!(
        !domain.state.plan(&domain.evidence, now).contains(&left),
        "the host has an older table"
    );
    report.locals = [(name("a"), table.version)].into();
    report.lanes = [(target.clone(), Default::default())].into();
    domain.evidence.record_report(&report, now);
    assert!(
        !domain.state.plan(&domain.evidence, now).contains(&left),
        "the host still has the lane"
    );
    report.lanes.clear();
    domain.evidence.record_report(&report, now);
    assert!(domain.state.plan(&domain.evidence, now).contains(&left));
}

#[test]
fn a_returning_host_gets_lanes_one_by_one() {
    let mut world = world();
    world.domain("a").host("a3").up = false;
    world.run(Duration::from_secs(3));
    assert_eq!(lanes(&table(&mut world)).len(), 2);
    *world.domain("a").host("a3") = Host::new(2);
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
fn a_restarted_host_loses_its_lanes_at_once() {
    let mut world = world();
    let before = table(&mut world);
    *world.domain("a").host("a1") = Host::new(2);
    world.run(Duration::from_millis(300));
    let after = table(&mut world);
    for (name, old) in &before.targets {
        if old.lane == Some(common::name("a1")) {
            assert!(after.targets[name].token > old.token);
        }
    }
}

#[test]
fn a_thawed_host_with_lanes_gets_no_lease() {
    let mut world = world();
    let host: id::Host = name("a1");
    world.domain("a").host("a1").up = false;
    world.run(Duration::from_millis(500));
    let now = world.now + Duration::from_millis(800);
    let domain = world.domain("a");
    let report = yucca_wire::report::Report {
        host: host.clone(),
        incarnation: 1,
        global: id::Version(1),
        locals: IndexMap::new(),
        announced: Vec::new(),
        lanes: IndexMap::new(),
        stopping: false,
    };
    assert!(domain.evidence.may_lease(&domain.state, &host));
    domain.evidence.record_report(&report, now);
    assert!(
        !domain.evidence.may_lease(&domain.state, &host),
        "its lease has lapsed"
    );
    let lost = domain::Command::HostLost {
        host: host.clone(),
        incarnation: 1,
    };
    let commands = domain.state.plan(&domain.evidence, now);
    assert!(commands.contains(&lost));
    for command in commands {
        domain.propose(command, now);
    }
    domain.evidence.record_report(&report, now);
    assert!(
        !domain.evidence.may_lease(&domain.state, &host),
        "the host is not up"
    );
    for command in domain.state.plan(&domain.evidence, now) {
        domain.propose(command, now);
    }
    assert!(
        domain.evidence.may_lease(&domain.state, &host),
        "the host is up again, without lanes"
    );
    assert!(!lanes(&domain.state.table()).contains_key(&host));
}

#[test]
fn a_late_report_renews_no_lapsed_lease() {
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
    let domain = world.domain("a");
    domain.evidence.record_report(&report, now);
    let lapsed_at = now + Duration::from_millis(720);
    domain.evidence.observe(&domain.state, lapsed_at);
    let lost = domain::Command::HostLost {
        host: host.clone(),
        incarnation: 1,
    };
    assert!(
        domain
            .state
            .plan(&domain.evidence, lapsed_at)
            .contains(&lost)
    );
    domain
        .evidence
        .record_report(&report, now + Duration::from_millis(710));
    assert!(
        !domain.evidence.may_lease(&domain.state, &host),
        "its lanes are being taken away"
    );
}

#[test]
fn a_lane_that_cannot_reach_its_target_moves() {
    let mut world = world();
    let before = table(&mut world);
    let (target, old) = before.targets.first().unwrap();
    let lane = old.lane.clone().unwrap();
    let domain = world.domain("a");
    domain.unreachable = Some((lane.clone(), target.clone()));
    world.run(Duration::from_millis(1200));
    let new = &table(&mut world).targets[target];
    assert_eq!(
        new.state,
        table::State::Serving,
        "it announces itself, so it is not lost"
    );
    assert_ne!(new.lane, Some(lane));
    assert!(new.lane.is_some());
}

#[test]
fn owners_stay_when_all_hosts_are_lost() {
    let mut world = world();
    let before = table(&mut world);
    for host in ["a1", "a2", "a3"] {
        world.domain("a").host(host).up = false;
    }
    world.run(Duration::from_secs(2));
    let after = table(&mut world);
    assert!(after.targets.values().all(|target| target.lane.is_none()));
    for host in ["a1", "a2", "a3"] {
        *world.domain("a").host(host) = Host::new(2);
    }
    world.run(Duration::from_secs(2));
    let after = table(&mut world);
    assert_eq!(after.owners, before.owners);
    assert!(after.targets.values().all(|target| target.lane.is_some()));
}
