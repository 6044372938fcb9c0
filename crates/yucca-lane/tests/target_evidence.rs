//! The state of a target follows from its answers. After a failure, a new connection tells a faulty
//! connection from a faulty target.

mod support;

use std::time::Duration;

use support::*;
use yucca_lane::evidence;
use yucca_lane::lane;
use yucca_lane::request;
use yucca_lane::request::Failure;
use yucca_wire::problem::{Kind, Outcome};

#[test]
fn a_lost_exchange_first_opens_a_new_connection() {
    let mut lane = lane();
    for id in 1..=5 {
        arrive(&mut lane, read(id), ms(0));
    }
    let outputs = ended(&mut lane, 1, 1, Err(Failure::Lost), ms(1));
    assert_eq!(
        outputs,
        [lane::Output::Dial],
        "nothing is sent before the result"
    );
    assert_eq!(lane.evidence().state(), evidence::State::Suspect);
    let outputs = ended(&mut lane, 2, 1, Err(Failure::Lost), ms(2));
    assert!(outputs.is_empty(), "one dial at a time");
    assert_eq!(sent(&lane.step(lane::Input::Alive, ms(3))).len(), 2);
    assert_eq!(lane.evidence().state(), evidence::State::Alive);
}

#[test]
fn a_silent_target_is_dialled_until_it_accepts() {
    let mut lane = lane();
    arrive(&mut lane, read(1), ms(0));
    ended(&mut lane, 1, 1, Err(Failure::ConnectFailed), ms(1));
    lane.step(lane::Input::Silent, ms(2));
    assert_eq!(lane.load(ms(2)).wait_us, u64::MAX);
    let outputs = arrive(&mut lane, read(2), ms(3));
    assert_eq!(refused(&outputs), [(2, Kind::NoOwner, Outcome::NotRun)]);
    let outputs = tick(&mut lane, ms(202));
    assert_eq!(outputs, [lane::Output::Dial]);
    assert_eq!(sent(&lane.step(lane::Input::Alive, ms(203))), [1]);
}

#[test]
fn an_overdue_read_is_retried_over_a_new_connection() {
    let mut lane = lane();
    for id in 10..20 {
        arrive(&mut lane, read(id), ms(0));
        answer(&mut lane, id, ms(0));
    }
    arrive(&mut lane, read(1), ms(0));
    arrive(&mut lane, order(2), ms(0));
    let overdue = lane.next_wake();
    assert_eq!(overdue, Some(ms(50)));
    assert_eq!(tick(&mut lane, ms(50)), [lane::Output::Dial]);
    let outputs = lane.step(lane::Input::Alive, ms(52));
    assert_eq!(aborted(&outputs), [1], "the order is not aborted");
    ended(&mut lane, 1, 1, Err(Failure::Lost), ms(53));
    assert_eq!(sent(&lane.step(lane::Input::Alive, ms(54))), [1]);
}

#[test]
fn an_overdue_read_continues_without_a_new_connection() {
    let mut lane = lane();
    for id in 10..20 {
        arrive(&mut lane, read(id), ms(0));
        answer(&mut lane, id, ms(0));
    }
    arrive(&mut lane, read(1), ms(0));
    tick(&mut lane, ms(50));
    assert!(aborted(&lane.step(lane::Input::Silent, ms(52))).is_empty());
}

#[test]
fn an_idle_target_is_dialled_rarely() {
    let mut lane = lane();
    assert!(tick(&mut lane, ms(4999)).is_empty());
    assert_eq!(tick(&mut lane, ms(5000)), [lane::Output::Dial]);
    assert!(tick(&mut lane, ms(9999)).is_empty());
}

/// Freezes the target: it accepts connections but answers nothing. Returns the time.
fn freeze(lane: &mut lane::Lane) -> Duration {
    for id in 10..20 {
        arrive(lane, read(id), ms(0));
        answer(lane, id, ms(0));
    }
    for id in 1..=4 {
        arrive(lane, read(id), ms(0));
    }
    for at in [50, 100, 150] {
        tick(lane, ms(at));
        lane.step(lane::Input::Alive, ms(at));
    }
    assert_eq!(lane.evidence().state(), evidence::State::Alive);
    tick(lane, ms(500));
    ms(500)
}

#[test]
fn a_target_that_accepts_and_never_answers_is_silent() {
    let mut lane = lane();
    let now = freeze(&mut lane);
    assert_eq!(lane.evidence().state(), evidence::State::Silent);
    lane.step(lane::Input::Alive, now + ms(200));
    assert_eq!(lane.evidence().state(), evidence::State::Silent);
    assert!(sent(&arrive(&mut lane, read(30), now + ms(201))).is_empty());
}

#[test]
fn a_frozen_target_that_answers_is_alive() {
    let mut lane = lane();
    let now = freeze(&mut lane);
    answer(&mut lane, 1, now + ms(10));
    assert_eq!(lane.evidence().state(), evidence::State::Alive);
    assert!(!lane.evidence().is_on_trial());
}

#[test]
fn a_frozen_target_gets_one_trial_request() {
    let mut lane = lane();
    freeze(&mut lane);
    let now = ms(2600);
    for id in 1..=3 {
        ended(&mut lane, id, 1, Err(Failure::Lost), now);
    }
    lane.step(lane::Input::Alive, now);
    let late = |id| request::Arrival {
        deadline: now + SECOND,
        ..read(id)
    };
    assert_eq!(sent(&arrive(&mut lane, late(31), now)), [31]);
    assert!(sent(&arrive(&mut lane, late(32), now)).is_empty());
    let outputs = answer(&mut lane, 31, now + ms(5));
    assert_eq!(sent(&outputs), [32]);
    assert!(!lane.evidence().is_on_trial());
}
