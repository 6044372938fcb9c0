//! Processes of a host that end abruptly or stop gracefully while renewals run.
#![allow(clippy::unwrap_used)]

#[path = "support/fixture.rs"]
mod fixture;
mod support;

use fixture::{Fixture, send_work, until_served, within_timeout};
use test_case::test_case;
use yucca_dev::cluster::fault::Fault;

/// Service time of 500 ms, so that many renewals run when the fault is injected.
const WORK_US: &str = "500000";

const RENEWALS: usize = 24;

/// Sends renewals to the first entry host of maradana, whose entry process stays up, and injects the
/// fault once the first renewal runs at a target.
async fn renewals(fixture: &Fixture, fault: Fault) -> Vec<(String, fixture::Response)> {
    let entry = fixture.entry("maradana").await;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..RENEWALS {
        callers.spawn(async move {
            let echo = format!("renewal-{number}");
            let seen = send_work(entry, "POST", "/renewal-office/renew", &echo, WORK_US).await;
            (echo, seen)
        });
    }
    let started =
        || (0..RENEWALS).any(|number| !fixture.runs(&format!("renewal-{number}")).is_empty());
    let started = async {
        while !started() {
            tokio::task::yield_now().await;
        }
    };
    within_timeout("a renewal starts", started).await;
    fixture.inject(fault).await;
    callers.join_all().await
}

#[test_case(Fault::StopEntry { host: "maradana-2".parse().unwrap() }; "the entry process of a host is lost")]
#[test_case(Fault::StopControl { host: "maradana-1".parse().unwrap() }; "the control process of a host is lost")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn renewals_run_at_most_once(fault: Fault) {
    let fixture = Fixture::small(3).await;
    for (echo, seen) in renewals(&fixture, fault).await {
        let runs = fixture.runs(&echo).len();
        assert!(runs <= 1, "{echo} ran {runs} times: {seen:?}");
        match seen.outcome.as_deref() {
            None => assert_eq!(runs, usize::from(seen.status == 200), "{echo}: {seen:?}"),
            Some("not-run") => assert_eq!(runs, 0, "{echo}: {seen:?}"),
            Some(_) => {}
        }
    }
    let entry = fixture.entry("maradana").await;
    until_served(entry, "POST", "/renewal-office/renew", "after").await;
    assert_eq!(fixture.cluster.journal().totals().repeats, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_graceful_stop_completes_running_renewals() {
    let fixture = Fixture::small(3).await;
    let host = "maradana-2".parse().unwrap();
    for (echo, seen) in renewals(&fixture, Fault::DrainEntry { host }).await {
        assert_eq!(seen.status, 200, "{echo}: {seen:?}");
        assert_eq!(fixture.runs(&echo).len(), 1, "{echo}");
    }
}
