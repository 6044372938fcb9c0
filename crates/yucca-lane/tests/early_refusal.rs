//! Requests that would miss their deadline are refused at once, non-idempotent ones last.

mod support;

use std::time::Duration;

use support::*;
use test_case::test_case;
use yucca_lane::lane;
use yucca_lane::request;
use yucca_wire::problem::{Kind, Outcome};

/// Returns a lane with three busy slots and an estimate of 10 ms for short requests.
fn lane_with_estimate() -> (lane::Lane, Duration) {
    let mut lane = lane();
    let mut now = ms(0);
    for id in 100..120 {
        arrive(&mut lane, due(read(id), now + ms(50)), now);
        now += ms(10);
        answer(&mut lane, id, now);
    }
    for id in 1..=3 {
        arrive(&mut lane, due(read(id), now + ms(500)), now);
    }
    (lane, now)
}

fn due(arrival: request::Arrival, deadline: Duration) -> request::Arrival {
    request::Arrival {
        deadline,
        ..arrival
    }
}

#[test]
fn a_lane_without_estimate_refuses_nothing_early() {
    let mut lane = lane();
    for id in 1..=60 {
        let outputs = arrive(&mut lane, due(read(id), ms(5)), ms(0));
        assert!(refused(&outputs).is_empty());
    }
}

#[test]
fn a_wait_past_the_deadline_is_refused_at_once() {
    let (mut lane, now) = lane_with_estimate();
    for id in 10..28 {
        let outputs = arrive(&mut lane, due(read(id), now + ms(300)), now);
        assert!(refused(&outputs).is_empty(), "{id}: {outputs:?}");
    }
    // 19 requests of 10 ms over three slots take 63 ms.
    let outputs = arrive(&mut lane, due(read(28), now + ms(301)), now);
    assert!(refused(&outputs).is_empty());
    let outputs = arrive(&mut lane, due(read(29), now + ms(50)), now);
    assert!(
        refused(&outputs).is_empty(),
        "only requests that are due before it count"
    );
    let tight = due(read(30), now + ms(2));
    let outputs = arrive(&mut lane, tight, now);
    assert_eq!(refused(&outputs), [(30, Kind::TooLate, Outcome::NotRun)]);
}

#[test]
fn a_free_slot_is_used_despite_the_estimate() {
    let (mut lane, now) = lane_with_estimate();
    answer(&mut lane, 1, now);
    let outputs = arrive(&mut lane, due(read(10), now + ms(1)), now);
    assert_eq!(sent(&outputs), [10]);
}

#[test]
fn an_order_displaces_reads_that_are_due_before_it() {
    let (mut lane, now) = lane_with_estimate();
    for id in 10..20 {
        arrive(&mut lane, due(read(id), now + ms(60)), now);
    }
    // Eleven requests need 37 ms, so two reads must be shed.
    let outputs = arrive(&mut lane, due(order(30), now + ms(31)), now);
    assert!(refused(&outputs).is_empty(), "nothing is due before it");
    let outputs = arrive(&mut lane, due(order(31), now + ms(61)), now);
    assert!(refused(&outputs).is_empty());
    for id in 40..46 {
        let outputs = arrive(&mut lane, due(order(id), now + ms(62)), now);
        for (_, kind, outcome) in refused(&outputs) {
            assert_eq!((kind, outcome), (Kind::Shed, Outcome::NotRun));
        }
    }
    let outputs = arrive(&mut lane, due(order(46), now + ms(62)), now);
    let shed = refused(&outputs);
    assert!(!shed.is_empty());
    assert!(
        shed.iter()
            .all(|(caller, kind, _)| { (10..20).contains(caller) && *kind == Kind::Shed })
    );
}

#[test_case(search(80), true; "long work goes first")]
#[test_case(read(80), true; "reads go before orders")]
#[test_case(order(80), false; "orders do not displace orders")]
fn a_full_queue_sheds(victim: request::Arrival, displaced: bool) {
    let mut lane = lane();
    for id in 1..=3 {
        arrive(&mut lane, read(id), ms(0));
    }
    for id in 10..73 {
        arrive(&mut lane, order(id), ms(0));
    }
    arrive(&mut lane, victim, ms(0));
    let outputs = arrive(&mut lane, order(90), ms(0));
    let expected = if displaced {
        (80, Kind::Shed, Outcome::NotRun)
    } else {
        (90, Kind::QueueFull, Outcome::NotRun)
    };
    assert_eq!(refused(&outputs), [expected]);
}
