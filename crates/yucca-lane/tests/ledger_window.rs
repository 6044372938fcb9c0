//! The ledger replays outcomes, refuses other content under the same id, stores entries for its
//! window and is limited in size.

mod support;

use std::time::Duration;

use support::*;
use yucca_lane::lane;
use yucca_lane::ledger;
use yucca_lane::request;
use yucca_wire::id;
use yucca_wire::problem::{Kind, Outcome};

fn resend(arrival: request::Arrival, caller: u64) -> request::Arrival {
    request::Arrival {
        caller: request::Caller(caller),
        ..arrival
    }
}

fn entry(id: u128, seq: u64, state: ledger::State) -> ledger::Entry {
    ledger::Entry {
        id: id::Request(id),
        fingerprint: 1,
        seq,
        shard: None,
        remaining: Duration::ZERO,
        state,
    }
}

#[test]
fn a_second_caller_shares_the_running_order() {
    let mut lane = lane();
    arrive(&mut lane, order(1), ms(0));
    let outputs = arrive(&mut lane, resend(order(1), 2), ms(1));
    assert!(outputs.is_empty());
    let outputs = answer(&mut lane, 1, ms(5));
    assert_eq!(delivered(&outputs), [1]);
    let outcome = request::Outcome::Answered(request::Status(200));
    assert_eq!(replayed(&outputs), [(2, outcome)]);
    let outputs = arrive(&mut lane, resend(order(1), 3), ms(9));
    assert_eq!(replayed(&outputs), [(3, outcome)]);
}

#[test]
fn a_second_caller_gets_the_answer_after_a_cancel() {
    let mut lane = lane();
    arrive(&mut lane, order(1), ms(0));
    arrive(&mut lane, resend(order(1), 2), ms(1));
    let cancel = lane::Input::Cancel {
        id: id::Request(1),
        caller: request::Caller(1),
    };
    assert!(aborted(&lane.step(cancel, ms(2))).is_empty());
    assert_eq!(delivered(&answer(&mut lane, 1, ms(5))), [2]);
}

#[test]
fn a_read_runs_again_for_a_second_caller() {
    let mut lane = lane();
    arrive(&mut lane, read(1), ms(0));
    arrive(&mut lane, resend(read(1), 2), ms(1));
    let outputs = answer(&mut lane, 1, ms(5));
    assert_eq!(delivered(&outputs), [1]);
    assert_eq!(sent(&outputs), [1]);
    assert_eq!(delivered(&answer(&mut lane, 1, ms(9))), [2]);
}

#[test]
fn other_content_under_the_same_id_is_refused() {
    let mut lane = lane();
    arrive(&mut lane, order(1), ms(0));
    let other = request::Arrival {
        fingerprint: 2,
        ..resend(order(1), 2)
    };
    let refusal = (2, Kind::IdReused, Outcome::NotRun);
    assert_eq!(refused(&arrive(&mut lane, other.clone(), ms(1))), [refusal]);
    answer(&mut lane, 1, ms(2));
    assert_eq!(refused(&arrive(&mut lane, other, ms(3))), [refusal]);
}

#[test]
fn a_full_ledger_refuses_orders_and_removes_nothing() {
    let config = lane::Config {
        ledger_entries: 2,
        ..config()
    };
    let mut lane = lane::Lane::new(config, ms(0));
    for id in 1..=2 {
        arrive(&mut lane, order(id), ms(0));
        answer(&mut lane, id, ms(1));
    }
    let outputs = arrive(&mut lane, order(3), ms(2));
    assert_eq!(refused(&outputs), [(3, Kind::QueueFull, Outcome::NotRun)]);
    assert_eq!(sent(&arrive(&mut lane, read(4), ms(2))), [4]);
    assert_eq!(
        replayed(&arrive(&mut lane, resend(order(1), 9), ms(3))).len(),
        1
    );
    let late = Duration::from_secs(601);
    let after = request::Arrival {
        deadline: late + SECOND,
        ..order(5)
    };
    assert_eq!(sent(&arrive(&mut lane, after, late)), [5]);
}

#[test]
fn a_long_order_stays_in_the_ledger() {
    let window = Duration::from_secs(10);
    let mut ledger = ledger::Ledger::new(window, 10);
    let remaining = Duration::from_secs(100);
    let running = ledger::Entry {
        remaining,
        ..entry(1, 1, ledger::State::Pending)
    };
    ledger.write(&running, ms(0));
    ledger.expire(Duration::from_secs(109));
    assert_eq!(ledger.len(), 1);
    ledger.expire(Duration::from_secs(110));
    assert!(ledger.is_empty());
}

#[test]
fn older_entries_do_not_replace_newer_ones() {
    let mut ledger = ledger::Ledger::new(SECOND, 10);
    let answered = ledger::State::Answered(request::Status(200));
    ledger.write(&entry(1, 5, answered), ms(0));
    assert!(!ledger.write(&entry(1, 5, ledger::State::Pending), ms(1)));
    assert!(!ledger.write(&entry(1, 4, ledger::State::Unknown), ms(1)));
    assert!(!ledger.write(&entry(1, 4, ledger::State::Withdrawn), ms(1)));
    let known = ledger.get(id::Request(1)).map(|entry| entry.state);
    assert_eq!(known, Some(answered));
}
