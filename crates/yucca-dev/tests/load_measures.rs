//! Measures of the load tool, computed for runs with known results.
#![allow(clippy::unwrap_used)]

use std::time;

use test_case::test_case;
use yucca_dev::fleet;
use yucca_dev::load::{measure, tally, trace};
use yucca_wire::{id, table};

fn listed(number: usize, work_us: u64) -> fleet::Listing {
    fleet::Listing {
        target: format!("shelf-{number}").parse().unwrap(),
        service: "shelf".parse().unwrap(),
        domain: "kingston".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        work_us,
    }
}

fn arrival(at_ms: u64, key: u64, work_ms: u64) -> trace::Arrival {
    trace::Arrival {
        at: time::Duration::from_millis(at_ms),
        service: "shelf".parse().unwrap(),
        class: table::Class::Short,
        method: "GET",
        path: format!("/shelf/k{key}"),
        key: Some(key),
        work: time::Duration::from_millis(work_ms),
        deadline: time::Duration::from_secs(1),
    }
}

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test_case(&[100, 100], 0.0, 1.0; "even")]
#[test_case(&[0, 200], 1.0, 2.0; "all at one of two")]
#[test_case(&[100, 100, 400], std::f64::consts::FRAC_1_SQRT_2, 2.0; "one has more")]
fn imbalance_of_work_between_two_samples(work: &[u64], variation: f64, peak: f64) {
    let before = work
        .iter()
        .enumerate()
        .map(|(number, _)| listed(number, 50));
    let after = work
        .iter()
        .enumerate()
        .map(|(number, work)| listed(number, 50 + work));
    let found = measure::imbalance(&[before.collect(), after.collect()]);
    assert!((found[0].variation - variation).abs() < 1e-3);
    assert!((found[0].peak - peak).abs() < 1e-3);
}

#[test]
fn churn_weighs_keys_by_use() {
    let tally = tally::Tally::default();
    let [one, two]: [id::Target; 2] = ["a".parse().unwrap(), "b".parse().unwrap()];
    for (at, target) in [(0, &one), (1, &one), (2, &two)] {
        tally.add(
            &arrival(at, 7, 1),
            SECOND,
            tally::Outcome::InTime,
            Some(target),
        );
    }
    tally.add(
        &arrival(3, 8, 1),
        SECOND,
        tally::Outcome::InTime,
        Some(&one),
    );
    // Three of four requests are for the key that moved once in an hour.
    let hour = time::Duration::from_secs(3600);
    assert!((measure::churn(&tally.totals(), hour) - 0.75).abs() < 1e-9);
}

#[test]
fn answers_out_of_order_are_no_owner_change() {
    let tally = tally::Tally::default();
    let [one, two]: [id::Target; 2] = ["a".parse().unwrap(), "b".parse().unwrap()];
    for (at, target) in [(0, &one), (2, &two), (1, &one), (3, &two)] {
        tally.add(
            &arrival(at, 7, 1),
            SECOND,
            tally::Outcome::InTime,
            Some(target),
        );
    }
    assert_eq!(tally.totals().keys[0].changes, 1);
}

#[test_case(&[(0, true), (100, false), (200, false), (400, true)], 300; "until the next served")]
#[test_case(&[(0, false)], 1000; "until the end")]
#[test_case(&[(0, true), (900, true)], 0; "never")]
#[test_case(&[(100, false), (200, true), (300, false), (350, true)], 150; "twice")]
fn unavailable_time_lasts_until_the_next_success(requests: &[(u64, bool)], expected_ms: u128) {
    let tally = tally::Tally::default();
    for (at, served) in requests {
        let outcome = if *served {
            tally::Outcome::InTime
        } else {
            tally::Outcome::Late
        };
        tally.add(&arrival(*at, 7, 1), SECOND, outcome, None);
    }
    let totals = tally.totals();
    assert_eq!(totals.keys[0].unavailable(SECOND).as_millis(), expected_ms);
}

#[test]
fn crest_counts_only_seconds_above_capacity() {
    let tally = tally::Tally::default();
    // One target can do 3 slot-seconds of work per second. Demand is 2 slot-seconds in the first
    // second and 6 in the next, of which 4.5 are answered in time.
    let outcomes = [
        tally::Outcome::InTime,
        tally::Outcome::InTime,
        tally::Outcome::InTime,
        tally::Outcome::NotRun,
    ];
    for outcome in &outcomes[1..3] {
        tally.add(&arrival(0, 7, 1000), SECOND, *outcome, None);
    }
    for outcome in outcomes {
        tally.add(&arrival(1500, 7, 1500), SECOND, outcome, None);
    }
    let found = measure::crest(&tally.totals(), &[listed(1, 0)]);
    assert_eq!(found[0].seconds, 1);
    assert!((found[0].in_time - 0.75).abs() < 1e-9);
    assert!((found[0].goodput - 1.5).abs() < 1e-9);
}

#[test]
fn overhead_is_latency_less_service_time() {
    let tally = tally::Tally::default();
    for _ in 0..100 {
        let latency = time::Duration::from_millis(30);
        tally.add(&arrival(0, 7, 20), latency, tally::Outcome::InTime, None);
    }
    let row = tally.totals().rows[0].clone();
    assert!(
        (row.latency_ms(0.5) - 30.0).abs() < 0.1,
        "{}",
        row.latency_ms(0.5)
    );
    assert!(
        (row.overhead_ms(0.99) - 10.0).abs() < 0.1,
        "{}",
        row.overhead_ms(0.99)
    );
}
