//! The lane never uses more slots than the target has, and long requests leave the reserve to short
//! ones.

mod support;

use support::*;
use yucca_lane::lane;
use yucca_lane::request;
use yucca_wire::id;

#[test]
fn no_more_requests_run_than_slots() {
    let mut lane = lane();
    let sends: Vec<_> = (1..=5)
        .flat_map(|id| sent(&arrive(&mut lane, read(id), ms(0))))
        .collect();
    assert_eq!(sends, [1, 2, 3]);
    assert_eq!(sent(&answer(&mut lane, 2, ms(5))), [4]);
    assert_eq!(lane.load(ms(5)).running, 3);
}

#[test]
fn long_work_leaves_the_reserve() {
    let mut lane = lane();
    let sends: Vec<_> = (1..=3)
        .flat_map(|id| sent(&arrive(&mut lane, search(id), ms(0))))
        .collect();
    assert_eq!(sends, [1, 2]);
    assert_eq!(sent(&arrive(&mut lane, read(9), ms(1))), [9]);
}

#[test]
fn an_aborted_attempt_holds_its_slot_until_it_ends() {
    let mut lane = lane();
    for id in 1..=4 {
        arrive(&mut lane, read(id), ms(0));
    }
    let cancel = lane::Input::Cancel {
        id: id::Request(1),
        caller: request::Caller(1),
    };
    let outputs = lane.step(cancel, ms(1));
    assert_eq!(aborted(&outputs), [1]);
    assert!(sent(&outputs).is_empty());
    let outputs = ended(&mut lane, 1, 1, Err(request::Failure::Lost), ms(2));
    assert_eq!(sent(&outputs), [4]);
    assert!(refused(&outputs).is_empty());
}

#[test]
fn a_lost_attempt_occupies_its_slot_until_the_deadline() {
    let config = lane::Config {
        stops_on_close: false,
        slots: id::Slots(1),
        ..config()
    };
    let mut lane = lane::Lane::new(config, ms(0));
    arrive(&mut lane, order(1), ms(0));
    let late = request::Arrival {
        deadline: 3 * SECOND,
        ..read(2)
    };
    arrive(&mut lane, late, ms(0));
    let outputs = ended(&mut lane, 1, 1, Err(request::Failure::Lost), ms(5));
    assert!(outputs.contains(&lane::Output::Dial));
    assert!(sent(&lane.step(lane::Input::Alive, ms(6))).is_empty());
    assert!(lane.next_wake() <= Some(SECOND));
    assert_eq!(sent(&tick(&mut lane, SECOND)), [2]);
}

#[test]
fn a_cold_target_gets_fewer_requests() {
    let config = lane::Config {
        warm: 0.4,
        ..config()
    };
    let mut lane = lane::Lane::new(config, ms(0));
    let sends: Vec<_> = (1..=5)
        .flat_map(|id| sent(&arrive(&mut lane, read(id), ms(0))))
        .collect();
    assert_eq!(sends, [1]);
}

#[test]
fn an_answer_of_an_earlier_attempt_is_ignored() {
    let mut lane = lane();
    for id in 1..=4 {
        arrive(&mut lane, read(id), ms(0));
    }
    let outputs = ended(&mut lane, 1, 2, Ok(request::Status(200)), ms(2));
    assert!(outputs.is_empty());
    assert_eq!(lane.load(ms(2)).running, 3);
}
