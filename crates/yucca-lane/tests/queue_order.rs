//! Waiting requests are sent by class and deadline, limited in number and bytes, and refused at
//! their deadline.

mod support;

use support::*;
use yucca_lane::lane;
use yucca_lane::request;
use yucca_wire::id;
use yucca_wire::problem::{Kind, Outcome};

fn busy() -> lane::Lane {
    let mut lane = lane();
    for id in 1..=3 {
        arrive(&mut lane, read(id), ms(0));
    }
    lane
}

fn due(arrival: request::Arrival, millis: u64) -> request::Arrival {
    request::Arrival {
        deadline: ms(millis),
        ..arrival
    }
}

#[test]
fn short_work_goes_first_by_deadline() {
    let mut lane = busy();
    arrive(&mut lane, search(4), ms(0));
    arrive(&mut lane, due(read(5), 900), ms(0));
    arrive(&mut lane, due(read(6), 500), ms(0));
    assert_eq!(sent(&answer(&mut lane, 1, ms(1))), [6]);
    assert_eq!(sent(&answer(&mut lane, 2, ms(1))), [5]);
    assert_eq!(sent(&answer(&mut lane, 3, ms(1))), [4]);
}

#[test]
fn long_work_that_must_start_goes_before_short_work() {
    let mut lane = busy();
    arrive(&mut lane, due(search(4), 3000), ms(0));
    for id in 5..=8 {
        arrive(&mut lane, due(read(id), 9000), ms(0));
    }
    assert_eq!(sent(&answer(&mut lane, 1, ms(500))), [5]);
    assert_eq!(sent(&answer(&mut lane, 2, ms(2001))), [4]);
}

#[test]
fn late_requests_are_refused_as_not_run() {
    let mut lane = busy();
    arrive(&mut lane, due(read(4), 20), ms(0));
    assert_eq!(lane.next_wake(), Some(ms(20)));
    let outputs = tick(&mut lane, ms(20));
    let late = (4, Kind::DeadlineExceeded, Outcome::NotRun);
    assert_eq!(refused(&outputs), [late]);
    assert!(sent(&answer(&mut lane, 1, ms(21))).is_empty());
}

#[test]
fn the_number_of_waiting_requests_is_limited() {
    let mut lane = busy();
    for id in 4..68 {
        assert!(refused(&arrive(&mut lane, read(id), ms(0))).is_empty());
    }
    let outputs = arrive(&mut lane, read(68), ms(0));
    assert_eq!(refused(&outputs), [(68, Kind::QueueFull, Outcome::NotRun)]);
    assert_eq!(lane.waiting(), 64);
}

#[test]
fn the_waiting_bytes_are_limited() {
    let mut lane = busy();
    let large = |id| request::Arrival {
        bytes: 600 << 10,
        ..read(id)
    };
    assert!(refused(&arrive(&mut lane, large(4), ms(0))).is_empty());
    let outputs = arrive(&mut lane, large(5), ms(0));
    assert_eq!(refused(&outputs), [(5, Kind::QueueFull, Outcome::NotRun)]);
    answer(&mut lane, 1, ms(1));
    assert!(refused(&arrive(&mut lane, large(6), ms(1))).is_empty());
}

#[test]
fn a_cancelled_request_leaves_the_queue_at_once() {
    let mut lane = busy();
    arrive(&mut lane, read(4), ms(0));
    let cancel = lane::Input::Cancel {
        id: id::Request(4),
        caller: request::Caller(4),
    };
    assert!(lane.step(cancel, ms(1)).is_empty());
    assert_eq!(lane.waiting(), 0);
    assert_eq!(lane.waiting_bytes(), 0);
    assert!(sent(&answer(&mut lane, 1, ms(2))).is_empty());
}
