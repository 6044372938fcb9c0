//! Requests are retried within their deadline, the number of attempts and the budget.

mod support;

use std::time::Duration;

use support::*;
use test_case::test_case;
use yucca_lane::budget;
use yucca_lane::lane;
use yucca_lane::request;
use yucca_lane::request::Failure;
use yucca_wire::problem::{Kind, Outcome};
use yucca_wire::table;

fn with_retry(attempts: u32, budget: f64) -> lane::Lane {
    let config = lane::Config {
        retry: table::Retry { attempts, budget },
        ..config()
    };
    lane::Lane::new(config, ms(0))
}

fn shed() -> Failure {
    Failure::Shed {
        retry_after: ms(30),
    }
}

#[test]
fn a_lost_read_is_retried_after_a_new_connection() {
    let mut lane = with_retry(3, 0.1);
    arrive(&mut lane, read(1), ms(0));
    let outputs = ended(&mut lane, 1, 1, Err(Failure::Lost), ms(5));
    assert_eq!(outputs, [lane::Output::Dial]);
    let outputs = lane.step(lane::Input::Alive, ms(6));
    assert_eq!(sent(&outputs), [1]);
    let outputs = ended(&mut lane, 1, 2, Ok(request::Status(200)), ms(9));
    assert_eq!(delivered(&outputs), [1]);
}

#[test]
fn a_lost_order_is_never_retried() {
    let mut lane = with_retry(3, 1.0);
    arrive(&mut lane, order(1), ms(0));
    let outputs = ended(&mut lane, 1, 1, Err(Failure::Lost), ms(5));
    assert_eq!(refused(&outputs), [(1, Kind::TargetLost, Outcome::Unknown)]);
    let outputs = lane.step(lane::Input::Alive, ms(6));
    assert!(sent(&outputs).is_empty());
    let again = request::Arrival {
        caller: request::Caller(2),
        ..order(1)
    };
    let outputs = arrive(&mut lane, again, ms(7));
    assert_eq!(replayed(&outputs), [(2, request::Outcome::Unknown)]);
}

#[test_case(Failure::Refused; "refused")]
#[test_case(shed(); "shed")]
#[test_case(Failure::ConnectFailed; "no connection")]
fn an_order_that_did_not_run_is_retried(failure: Failure) {
    let mut lane = with_retry(2, 0.1);
    arrive(&mut lane, order(1), ms(0));
    let outputs = ended(&mut lane, 1, 1, Err(failure), ms(1));
    assert!(sent(&outputs).is_empty(), "it pauses first");
    lane.step(lane::Input::Alive, ms(2));
    let at = ms(300);
    assert_eq!(sent(&tick(&mut lane, at)), [1]);
    let outputs = ended(&mut lane, 1, 2, Err(failure), at);
    assert_eq!(refused(&outputs)[0].2, Outcome::NotRun);
}

#[test]
fn a_read_that_may_have_run_is_unknown() {
    let mut lane = with_retry(2, 0.1);
    arrive(&mut lane, read(1), ms(0));
    ended(&mut lane, 1, 1, Err(Failure::Lost), ms(5));
    lane.step(lane::Input::Alive, ms(6));
    let outputs = ended(&mut lane, 1, 2, Err(Failure::Refused), ms(7));
    assert_eq!(
        refused(&outputs),
        [(1, Kind::TargetRefused, Outcome::Unknown)]
    );
}

#[test]
fn the_budget_bounds_retries() {
    let mut lane = with_retry(10, 0.02);
    let mut sends = 0;
    for id in 1..=20 {
        sends += sent(&arrive(&mut lane, read(id), ms(0))).len();
        let mut attempt = 1;
        while lane.load(ms(0)).running > 0 {
            let outputs = ended(&mut lane, id, attempt, Err(Failure::Lost), ms(0));
            sends += sent(&outputs).len();
            sends += sent(&lane.step(lane::Input::Alive, ms(0))).len();
            attempt += 1;
        }
    }
    assert_eq!(sends, 22, "20 requests and 2 retries");
}

#[test]
fn successes_earn_retries() {
    let mut budget = budget::Budget::new(0.1);
    while budget.spend() {}
    (0..9).for_each(|_| budget.earn());
    assert!(!budget.spend());
    (0..2).for_each(|_| budget.earn());
    assert!(budget.spend());
    (0..1000).for_each(|_| budget.earn());
    let saved = std::iter::from_fn(|| budget.spend().then_some(())).count();
    assert_eq!(saved, 10);
}

#[test]
fn no_retry_is_sent_after_the_deadline() {
    let mut lane = with_retry(3, 1.0);
    let late: Duration = SECOND + ms(1);
    arrive(&mut lane, read(1), ms(0));
    let outputs = tick(&mut lane, SECOND);
    assert_eq!(aborted(&outputs), [1]);
    assert_eq!(
        refused(&outputs),
        [(1, Kind::DeadlineExceeded, Outcome::Unknown)]
    );
    let outputs = ended(&mut lane, 1, 1, Err(Failure::Lost), late);
    assert!(sent(&outputs).is_empty() && refused(&outputs).is_empty());
    assert_eq!(lane.load(late).running, 0);
}

#[test]
fn a_shedding_target_gets_fewer_requests() {
    let mut lane = with_retry(1, 0.0);
    for id in 1..=9 {
        arrive(&mut lane, read(id), ms(0));
    }
    assert!(sent(&ended(&mut lane, 1, 1, Err(shed()), ms(1))).is_empty());
    assert!(sent(&answer(&mut lane, 2, ms(2))).is_empty());
    assert_eq!(sent(&answer(&mut lane, 3, ms(3))), [4]);
    assert_eq!(sent(&tick(&mut lane, ms(251))), [5]);
    assert_eq!(sent(&tick(&mut lane, ms(501))), [6]);
}
