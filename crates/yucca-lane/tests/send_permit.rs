//! Non-idempotent requests are sent only with a permit of the standby, and run at most once across
//! a takeover.

mod support;

use std::time::Duration;

use support::*;
use yucca_lane::lane;
use yucca_lane::lane::Reason;
use yucca_lane::ledger;
use yucca_lane::request;
use yucca_lane::standby;
use yucca_wire::id;
use yucca_wire::problem::{Kind, Outcome};

const WINDOW: Duration = Duration::from_secs(600);

fn guarded() -> lane::Config {
    lane::Config {
        standby: Some(host("b")),
        single_host: false,
        ..config()
    }
}

fn copied(lane: &mut lane::Lane, number: u64, now: Duration) -> Vec<lane::Output> {
    let standby = host("b");
    lane.step(lane::Input::Copied { standby, number }, now)
}

/// Returns a lane and a standby with a complete copy of the empty ledger.
fn pair() -> (lane::Lane, standby::Standby) {
    let mut lane = lane::Lane::new(guarded(), ms(0));
    let mut standby = standby::Standby::new(WINDOW, 100);
    tick(&mut lane, ms(0));
    let input = standby::Input::CopyAll {
        token: token(1),
        number: 1,
        ledger: ledger::Snapshot::default(),
    };
    let output = standby.step(input, ms(0));
    assert_eq!(output, Some(standby::Output::Copied { number: 1 }));
    copied(&mut lane, 1, ms(0));
    assert_eq!(lane.copied(), Some(&host("b")));
    (lane, standby)
}

fn ask(
    standby: &mut standby::Standby,
    entry: ledger::Entry,
    now: Duration,
) -> Option<standby::Output> {
    let token = token(1);
    standby.step(standby::Input::Copy { token, entry }, now)
}

fn permit(lane: &mut lane::Lane, entry: &ledger::Entry, now: Duration) -> Vec<lane::Output> {
    let (id, seq) = (entry.id, entry.seq);
    lane.step(lane::Input::Permit { id, seq }, now)
}

fn taken_over(takeover: lane::Takeover, now: Duration) -> lane::Lane {
    let config = lane::Config {
        token: token(2),
        standby: None,
        single_host: true,
        ledger_gap: true,
        ..guarded()
    };
    let mut lane = lane::Lane::new(config, now);
    lane.step(lane::Input::TakeOver(takeover), now);
    lane
}

fn resent(id: u128) -> request::Arrival {
    request::Arrival {
        caller: request::Caller(900 + id as u64),
        resent: true,
        ..order(id)
    }
}

#[test]
fn an_order_needs_a_permit_unlike_a_read() {
    let (mut lane, mut standby) = pair();
    let outputs = arrive(&mut lane, order(1), ms(1));
    assert!(sent(&outputs).is_empty());
    assert_eq!(sent(&arrive(&mut lane, read(2), ms(1))), [2]);
    let entry = copies(&outputs).remove(0);
    let output = ask(&mut standby, entry.clone(), ms(2));
    assert!(matches!(output, Some(standby::Output::Permit { .. })));
    assert_eq!(sent(&permit(&mut lane, &entry, ms(3))), [1]);
    assert!(sent(&permit(&mut lane, &entry, ms(4))).is_empty());
}

#[test]
fn no_permit_is_requested_before_a_complete_copy() {
    let mut lane = lane::Lane::new(guarded(), ms(0));
    let outputs = arrive(&mut lane, order(1), ms(0));
    assert!(copies(&outputs).is_empty());
    assert!(matches!(
        outputs[0],
        lane::Output::CopyAll { number: 1, .. }
    ));
    assert!(copies(&copied(&mut lane, 0, ms(1))).is_empty());
    assert_eq!(copies(&copied(&mut lane, 1, ms(1))).len(), 1);
}

#[test]
fn a_lane_without_standby_sends_no_orders() {
    let config = lane::Config {
        standby: None,
        ..guarded()
    };
    let mut lane = lane::Lane::new(config, ms(0));
    assert!(sent(&arrive(&mut lane, order(1), ms(0))).is_empty());
    assert_eq!(sent(&arrive(&mut lane, read(2), ms(0))), [2]);
    answer(&mut lane, 2, ms(5));
    let outputs = tick(&mut lane, SECOND);
    assert_eq!(
        refused(&outputs),
        [(1, Kind::DeadlineExceeded, Outcome::NotRun)]
    );
}

#[test]
fn a_permit_for_an_earlier_entry_is_ignored() {
    let (mut lane, _) = pair();
    let first = copies(&arrive(&mut lane, order(1), ms(1))).remove(0);
    let asked_again = copies(&tick(&mut lane, ms(201))).remove(0);
    assert!(asked_again.seq > first.seq);
    assert!(sent(&permit(&mut lane, &first, ms(202))).is_empty());
    assert_eq!(sent(&permit(&mut lane, &asked_again, ms(203))), [1]);
}

#[test]
fn only_permitted_orders_are_unknown_after_a_takeover() {
    let (mut lane, mut standby) = pair();
    let entry = copies(&arrive(&mut lane, order(1), ms(1))).remove(0);
    ask(&mut standby, entry, ms(2));
    let mut new = taken_over(standby.take_over(token(1), ms(10)), ms(10));
    let outputs = arrive(&mut new, resent(1), ms(11));
    assert_eq!(replayed(&outputs), [(901, request::Outcome::Unknown)]);
    let outputs = arrive(&mut new, resent(2), ms(11));
    assert_eq!(sent(&outputs), [2]);
}

#[test]
fn a_recorded_outcome_survives_a_takeover() {
    let (mut lane, mut standby) = pair();
    let entry = copies(&arrive(&mut lane, order(1), ms(1))).remove(0);
    ask(&mut standby, entry.clone(), ms(2));
    permit(&mut lane, &entry, ms(3));
    let outputs = ended(&mut lane, 1, 1, Ok(request::Status(201)), ms(9));
    let settled = outputs.iter().find_map(|output| match output {
        lane::Output::Settle { entry, .. } => Some(entry.clone()),
        _ => None,
    });
    let (token_1, entry) = (token(1), settled.unwrap());
    let settle = standby::Input::Settle {
        token: token_1,
        entry,
    };
    standby.step(settle, ms(10));
    let mut new = taken_over(standby.take_over(token(1), ms(20)), ms(20));
    let outcome = request::Outcome::Answered(request::Status(201));
    let outputs = arrive(&mut new, resent(1), ms(21));
    assert_eq!(replayed(&outputs), [(901, outcome)]);
}

#[test]
fn a_standby_grants_no_permit_after_takeover() {
    let (mut lane, mut standby) = pair();
    let entry = copies(&arrive(&mut lane, order(1), ms(1))).remove(0);
    standby.take_over(token(1), ms(2));
    let output = ask(&mut standby, entry.clone(), ms(3));
    let (id, seq, reason) = (entry.id, entry.seq, Reason::TakenOver);
    assert_eq!(
        output,
        Some(standby::Output::PermitRefused { id, seq, reason })
    );
    let outputs = lane.step(lane::Input::PermitRefused { id, seq, reason }, ms(4));
    assert_eq!(refused(&outputs), [(1, Kind::Stopping, Outcome::NotRun)]);
    assert!(sent(&arrive(&mut lane, read(2), ms(5))).is_empty());
}

#[test]
fn a_standby_without_the_ledger_gets_a_copy() {
    let (mut lane, _) = pair();
    let entry = copies(&arrive(&mut lane, order(1), ms(1))).remove(0);
    let mut restarted = standby::Standby::new(WINDOW, 100);
    let output = ask(&mut restarted, entry.clone(), ms(2));
    let (id, seq, reason) = (entry.id, entry.seq, Reason::NoCopy);
    assert_eq!(
        output,
        Some(standby::Output::PermitRefused { id, seq, reason })
    );
    let outputs = lane.step(lane::Input::PermitRefused { id, seq, reason }, ms(3));
    assert!(matches!(
        outputs[0],
        lane::Output::CopyAll { number: 2, .. }
    ));
    assert!(lane.copied().is_none());
}

#[test]
fn without_a_ledger_resent_orders_are_unknown() {
    let mut empty = standby::Standby::new(WINDOW, 100);
    let mut lane = taken_over(empty.take_over(token(1), ms(0)), ms(0));
    let outputs = arrive(&mut lane, resent(1), ms(1));
    assert_eq!(replayed(&outputs), [(901, request::Outcome::Unknown)]);
    assert_eq!(sent(&arrive(&mut lane, order(2), ms(1))), [2]);
    let late = WINDOW + ms(1);
    let after = request::Arrival {
        deadline: late + SECOND,
        ..resent(3)
    };
    assert_eq!(sent(&arrive(&mut lane, after, late)), [3]);
}

#[test]
fn a_ledger_gap_survives_a_second_takeover() {
    let mut empty = standby::Standby::new(WINDOW, 100);
    let takeover = empty.take_over(token(1), ms(0));
    let config = lane::Config {
        token: token(2),
        ..guarded()
    };
    let mut second = lane::Lane::new(config, ms(0));
    let outputs = second.step(lane::Input::TakeOver(takeover), ms(0));
    let mut standby = standby::Standby::new(WINDOW, 100);
    for output in outputs {
        if let lane::Output::CopyAll { number, ledger, .. } = output {
            let token = token(2);
            standby.step(
                standby::Input::CopyAll {
                    token,
                    number,
                    ledger,
                },
                ms(1),
            );
        }
    }
    assert!(standby.is_complete(token(2)));
    let mut third = taken_over(standby.take_over(token(2), ms(5)), ms(5));
    let outputs = arrive(&mut third, resent(1), ms(6));
    assert_eq!(replayed(&outputs), [(901, request::Outcome::Unknown)]);
}

#[test]
fn withdrawn_orders_may_run_after_a_takeover() {
    let (mut lane, mut standby) = pair();
    let entry = copies(&arrive(&mut lane, order(1), ms(1))).remove(0);
    ask(&mut standby, entry, ms(2));
    let cancel = lane::Input::Cancel {
        id: id::Request(1),
        caller: request::Caller(1),
    };
    for output in lane.step(cancel, ms(3)) {
        if let lane::Output::Settle { entry, .. } = output {
            let token = token(1);
            standby.step(standby::Input::Settle { token, entry }, ms(4));
        }
    }
    let mut new = taken_over(standby.take_over(token(1), ms(10)), ms(10));
    assert_eq!(sent(&arrive(&mut new, resent(1), ms(11))), [1]);
}

#[test]
fn an_expired_lease_stops_all_sends() {
    let config = lane::Config {
        lease: Some(ms(100)),
        ..config()
    };
    let mut lane = lane::Lane::new(config, ms(0));
    assert_eq!(sent(&arrive(&mut lane, read(1), ms(99))), [1]);
    assert!(sent(&arrive(&mut lane, read(2), ms(100))).is_empty());
    let renewed = lane.step(lane::Input::Renew { until: ms(300) }, ms(150));
    assert_eq!(sent(&renewed), [2]);
}
