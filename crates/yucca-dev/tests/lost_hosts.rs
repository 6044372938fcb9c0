//! Entry hosts that are lost or stop while renewals are under way.
#![allow(clippy::unwrap_used)]

#[path = "support/stage.rs"]
mod stage;
mod support;

use stage::{Stage, guarded, send_work, until_served};
use test_case::test_case;
use yucca_dev::cluster::fault::Fault;

/// Half a second's work, so that much is under way when the host goes.
const WORK_US: &str = "500000";

const RENEWALS: usize = 24;

/// Sends renewals at hosts other than the one that goes, and brings the fault about once the first
/// has started at a target.
async fn renewals(stage: &Stage, fault: Fault) -> Vec<(String, stage::Seen)> {
    let entry = stage.entry("maradana").await;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..RENEWALS {
        callers.spawn(async move {
            let echo = format!("renewal-{number}");
            let seen = send_work(entry, "POST", "/renewal-office/renew", &echo, WORK_US).await;
            (echo, seen)
        });
    }
    let started =
        || (0..RENEWALS).any(|number| !stage.runs(&format!("renewal-{number}")).is_empty());
    let started = async {
        while !started() {
            tokio::task::yield_now().await;
        }
    };
    guarded("a renewal starts", started).await;
    stage.inject(fault).await;
    callers.join_all().await
}

#[test_case(Fault::StopEntry { host: "maradana-2".parse().unwrap() }; "the entry process of a host is lost")]
#[test_case(Fault::StopControl { host: "maradana-1".parse().unwrap() }; "the control process of a host is lost")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn renewals_run_at_most_once(fault: Fault) {
    let stage = Stage::small(3).await;
    for (echo, seen) in renewals(&stage, fault).await {
        let runs = stage.runs(&echo).len();
        assert!(runs <= 1, "{echo} ran {runs} times: {seen:?}");
        match seen.outcome.as_deref() {
            None => assert_eq!(runs, usize::from(seen.status == 200), "{echo}: {seen:?}"),
            Some("not-run") => assert_eq!(runs, 0, "{echo}: {seen:?}"),
            Some(_) => {}
        }
    }
    let entry = stage.entry("maradana").await;
    until_served(entry, "POST", "/renewal-office/renew", "after").await;
    assert_eq!(stage.cluster.journal().totals().repeats, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_graceful_stop_cuts_nothing_off() {
    let stage = Stage::small(3).await;
    let host = "maradana-2".parse().unwrap();
    for (echo, seen) in renewals(&stage, Fault::DrainEntry { host }).await {
        assert_eq!(seen.status, 200, "{echo}: {seen:?}");
        assert_eq!(stage.runs(&echo).len(), 1, "{echo}");
    }
}
