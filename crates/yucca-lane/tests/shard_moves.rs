//! Requests wait while their shard moves, and none is running when it is released.

mod support;

use support::*;
use yucca_lane::lane;
use yucca_lane::lane::Change;
use yucca_lane::ledger;
use yucca_lane::owners;
use yucca_lane::request;
use yucca_wire::id;
use yucca_wire::problem::{Kind, Outcome};

fn shard(number: u32) -> owners::Scope {
    owners::Scope::Shard(id::Shard(number))
}

fn pin(number: u32, key: &'static str) -> owners::Scope {
    owners::Scope::Pin {
        shard: id::Shard(number),
        key: bytes::Bytes::from_static(key.as_bytes()),
    }
}

fn own(lane: &mut lane::Lane, change: Change, now: u64) -> Vec<lane::Output> {
    lane.step(lane::Input::Owners(change), ms(now))
}

fn grant(scope: owners::Scope, counter: u32) -> Change {
    Change::Grant {
        scope,
        token: token(counter),
        ledger: ledger::Snapshot::default(),
    }
}

fn keyed_lane() -> lane::Lane {
    let config = lane::Config {
        keyed: true,
        ..config()
    };
    let mut lane = lane::Lane::new(config, ms(0));
    own(&mut lane, grant(shard(1), 1), 0);
    own(&mut lane, grant(shard(2), 2), 0);
    lane
}

fn releases(outputs: &[lane::Output]) -> Vec<(u32, bool)> {
    let releases = outputs.iter().filter_map(|output| match output {
        lane::Output::Released { release, .. } => Some((release.shard.0, release.key.is_some())),
        _ => None,
    });
    releases.collect()
}

fn forwards(outputs: &[lane::Output]) -> Vec<u64> {
    let forwards = outputs.iter().filter_map(|output| match output {
        lane::Output::Forward { caller, .. } => Some(caller.0),
        _ => None,
    });
    forwards.collect()
}

#[test]
fn a_key_that_is_not_owned_is_refused() {
    let mut lane = keyed_lane();
    let outputs = arrive(&mut lane, keyed(read(1), 3, "a"), ms(0));
    assert_eq!(refused(&outputs), [(1, Kind::NoOwner, Outcome::NotRun)]);
}

#[test]
fn a_move_waits_for_running_requests() {
    let mut lane = keyed_lane();
    arrive(&mut lane, keyed(read(1), 1, "a"), ms(0));
    let outputs = own(&mut lane, Change::Hold { scope: shard(1) }, 1);
    assert!(releases(&outputs).is_empty());
    assert!(arrive(&mut lane, keyed(read(2), 1, "a"), ms(2)).is_empty());
    assert_eq!(sent(&arrive(&mut lane, keyed(read(3), 2, "b"), ms(2))), [3]);
    let outputs = answer(&mut lane, 1, ms(5));
    assert_eq!(releases(&outputs), [(1, false)]);
    let to = Some("till-2".parse().unwrap());
    let scope = shard(1);
    let outputs = own(&mut lane, Change::Release { scope, to }, 6);
    assert_eq!(forwards(&outputs), [2]);
    assert_eq!(lane.waiting(), 0);
}

#[test]
fn a_cancelled_move_sends_held_requests() {
    let mut lane = keyed_lane();
    arrive(&mut lane, keyed(read(1), 1, "a"), ms(0));
    own(&mut lane, Change::Hold { scope: shard(1) }, 1);
    arrive(&mut lane, keyed(read(2), 1, "a"), ms(2));
    let outputs = own(&mut lane, Change::Resume { scope: shard(1) }, 3);
    assert_eq!(sent(&outputs), [2]);
}

#[test]
fn a_released_shard_needs_a_new_grant() {
    let mut lane = keyed_lane();
    let outputs = own(&mut lane, Change::Hold { scope: shard(1) }, 1);
    assert_eq!(releases(&outputs), [(1, false)]);
    own(&mut lane, Change::Resume { scope: shard(1) }, 2);
    assert!(sent(&arrive(&mut lane, keyed(read(1), 1, "a"), ms(3))).is_empty());
    assert_eq!(sent(&own(&mut lane, grant(shard(1), 9), 4)), [1]);
}

#[test]
fn held_requests_are_refused_at_their_deadline() {
    let mut lane = keyed_lane();
    own(&mut lane, Change::Hold { scope: shard(1) }, 1);
    arrive(&mut lane, keyed(read(1), 1, "a"), ms(2));
    let outputs = tick(&mut lane, SECOND);
    let late = (1, Kind::DeadlineExceeded, Outcome::NotRun);
    assert_eq!(refused(&outputs), [late]);
}

#[test]
fn a_hot_key_moves_alone() {
    let mut lane = keyed_lane();
    arrive(&mut lane, keyed(read(1), 1, "hot"), ms(0));
    own(
        &mut lane,
        Change::Hold {
            scope: pin(1, "hot"),
        },
        1,
    );
    assert_eq!(sent(&arrive(&mut lane, keyed(read(2), 1, "b"), ms(2))), [2]);
    assert!(sent(&arrive(&mut lane, keyed(read(3), 1, "hot"), ms(2))).is_empty());
    assert_eq!(releases(&answer(&mut lane, 1, ms(3))), [(1, true)]);
    let to = Some("till-2".parse().unwrap());
    let scope = pin(1, "hot");
    let outputs = own(&mut lane, Change::Release { scope, to }, 4);
    assert_eq!(forwards(&outputs), [3]);
    let outputs = arrive(&mut lane, keyed(read(4), 1, "hot"), ms(5));
    assert_eq!(refused(&outputs), [(4, Kind::NoOwner, Outcome::NotRun)]);
    own(
        &mut lane,
        Change::Resume {
            scope: pin(1, "hot"),
        },
        6,
    );
    let outputs = arrive(&mut lane, keyed(read(5), 1, "hot"), ms(7));
    assert_eq!(sent(&outputs), [5]);
}

#[test]
fn the_ledger_moves_with_its_shard() {
    let mut old = keyed_lane();
    arrive(&mut old, keyed(order(1), 1, "a"), ms(0));
    answer(&mut old, 1, ms(1));
    let outputs = own(&mut old, Change::Hold { scope: shard(1) }, 2);
    let known = outputs.into_iter().find_map(|output| match output {
        lane::Output::Released { ledger, .. } => Some(ledger),
        _ => None,
    });
    let mut new = keyed_lane();
    let change = Change::Grant {
        scope: shard(1),
        token: token(5),
        ledger: known.unwrap(),
    };
    own(&mut new, change, 3);
    let outputs = arrive(&mut new, keyed(order(1), 1, "a"), ms(4));
    let outcome = request::Outcome::Answered(request::Status(200));
    assert_eq!(replayed(&outputs), [(1, outcome)]);
}

#[test]
fn a_draining_target_gets_nothing_after_the_grace_period() {
    let mut lane = keyed_lane();
    let config = lane::Config {
        keyed: true,
        ..config()
    };
    let drain = lane::Input::Configure {
        config: Box::new(config),
        drain: true,
    };
    lane.step(drain, ms(0));
    let long = |id| request::Arrival {
        deadline: 9 * SECOND,
        ..keyed(read(id), 1, "a")
    };
    assert_eq!(sent(&arrive(&mut lane, long(1), ms(999))), [1]);
    assert!(sent(&arrive(&mut lane, long(2), SECOND)).is_empty());
    assert_eq!(lane.waiting(), 1, "it waits for its shard to move");
}
