//! Arrivals of the load tool: reproducible by seed, with the planned rates.
#![allow(clippy::unwrap_used)]

use std::time;

use test_case::test_case;
use yucca_dev::deployment;
use yucca_dev::load::trace;
use yucca_wire::table;

const LENGTH: time::Duration = time::Duration::from_secs(20);

fn plan(seed: u64) -> trace::Plan {
    let kelani = deployment::Deployment::new(deployment::Name::Kelani).unwrap();
    let load = trace::Load {
        short: 0.4,
        long: 0.2,
    };
    trace::Plan {
        streams: trace::streams(&kelani, load),
        cycle: None,
        keys: trace::Keys {
            count: 1000,
            exponent: 1.0,
            move_every: LENGTH / 2,
        },
        length: LENGTH,
        seed,
    }
}

fn paths(seed: u64) -> Vec<(time::Duration, String)> {
    let trace = trace::Trace::new(plan(seed));
    trace.map(|arrival| (arrival.at, arrival.path)).collect()
}

#[test]
fn the_seed_determines_all_arrivals() {
    assert_eq!(paths(1), paths(1));
    assert_ne!(paths(1), paths(2));
}

#[test_case("ticket-desk", table::Class::Short, 0.4; "short work")]
#[test_case("renewal-office", table::Class::Short, 0.6; "the only class")]
fn arrivals_bring_the_planned_work(service: &str, class: table::Class, share: f64) {
    let plan = plan(3);
    let is_kind =
        |stream: &&trace::Stream| stream.service.as_str() == service && stream.class == class;
    let stream = plan.streams.iter().find(is_kind).unwrap().clone();
    let targets = if service == "ticket-desk" { 13.0 } else { 10.0 };
    let expected = targets * 3.0 * share * LENGTH.as_secs_f64();
    let same =
        |arrival: &trace::Arrival| arrival.service == stream.service && arrival.class == class;
    let work = trace::Trace::new(plan)
        .filter(same)
        .map(|arrival| arrival.work.as_secs_f64());
    let total: f64 = work.sum();
    assert!(
        (total / expected - 1.0).abs() < 0.05,
        "{total} of {expected}"
    );
}

#[test]
fn hot_keys_change_over_time() {
    let hottest = |from: time::Duration, to: time::Duration| {
        let mut counts = indexmap::IndexMap::<u64, u32>::new();
        let trace = trace::Trace::new(plan(4));
        let keys = trace.filter(|arrival| arrival.at >= from && arrival.at < to);
        for key in keys.filter_map(|arrival| arrival.key) {
            *counts.entry(key).or_default() += 1;
        }
        counts
            .into_iter()
            .max_by_key(|(_, count)| *count)
            .unwrap()
            .0
    };
    let half = LENGTH / 2;
    assert_ne!(hottest(time::Duration::ZERO, half), hottest(half, LENGTH));
}

#[test]
fn a_crest_multiplies_the_rate() {
    let mut plan = plan(5);
    let quarter = LENGTH / 4;
    plan.cycle = Some(trace::Cycle {
        base: quarter,
        crest: quarter,
        factor: 3.0,
    });
    let is_base = |arrival: &trace::Arrival| arrival.at < quarter;
    let base = trace::Trace::new(plan.clone()).filter(is_base).count();
    let is_crest = |arrival: &trace::Arrival| arrival.at >= quarter && arrival.at < quarter * 2;
    let crest = trace::Trace::new(plan).filter(is_crest).count();
    let ratio = crest as f64 / base as f64;
    assert!((ratio - 3.0).abs() < 0.2, "{ratio}");
}
