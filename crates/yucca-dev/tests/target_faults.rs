//! Targets that freeze, stop answering on open connections, restart, leave or are lost.
#![allow(clippy::unwrap_used)]

#[path = "support/fixture.rs"]
mod fixture;
mod support;

use fixture::{Fixture, send, until_moved, until_served};
use support::{Client, request};
use test_case::test_case;
use yucca_dev::cluster::fault::Fault;
use yucca_wire::announce;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_frozen_targets_keys_are_served_elsewhere() {
    let fixture = Fixture::small(2).await;
    let (path, owner) = fixture.key_in("colombo").await;
    let entry = fixture.entry("colombo").await;
    fixture
        .inject(Fault::Freeze {
            target: owner.clone(),
        })
        .await;
    let other = until_moved(entry, &path, &owner).await;
    assert_ne!(other, owner);
    fixture.inject(Fault::Thaw { target: owner }).await;
    until_served(entry, "GET", &path, "after").await;
    assert_eq!(fixture.cluster.journal().totals().overlaps, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_connection_is_not_a_target_failure() {
    let fixture = Fixture::small(2).await;
    let (path, owner) = fixture.key_in("colombo").await;
    let entry = fixture.entry("colombo").await;
    fixture
        .inject(Fault::Silence {
            target: owner.clone(),
        })
        .await;
    let seen = send(entry, "GET", &path, "silenced").await;
    assert_eq!(seen.status, 200, "{seen:?}");
    assert_eq!(seen.target, Some(owner));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restarted_target_serves_again() {
    let fixture = Fixture::small(2).await;
    let (path, owner) = fixture.key_in("colombo").await;
    let entry = fixture.entry("colombo").await;
    fixture.inject(Fault::Restart { target: owner }).await;
    until_served(entry, "GET", &path, "restarted").await;
    assert_eq!(fixture.cluster.journal().totals().overlaps, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_targets_keys_are_served_elsewhere() {
    let fixture = Fixture::small(2).await;
    let (path, owner) = fixture.key_in("colombo").await;
    let entry = fixture.entry("colombo").await;
    fixture
        .inject(Fault::Lose {
            target: owner.clone(),
        })
        .await;
    assert_ne!(until_moved(entry, &path, &owner).await, owner);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_target_gets_no_new_work() {
    let fixture = Fixture::small(2).await;
    let (path, owner) = fixture.key_in("colombo").await;
    let entry = fixture.entry("colombo").await;
    let state = announce::State::Leaving;
    fixture
        .inject(Fault::Announce {
            target: owner.clone(),
            state,
        })
        .await;
    until_moved(entry, &path, &owner).await;
    for number in 0..100 {
        let path = format!("/ticket-desk/after-{number}");
        let seen = until_served(entry, "GET", &path, "left").await;
        assert_ne!(seen.target.as_ref(), Some(&owner), "{path}");
    }
}

/// Guards against an answer with an invalid status that reaches the caller as an answer.
#[test_case("GET", "600")]
#[test_case("GET", "999")]
#[test_case("POST", "600")]
#[test_case("POST", "999")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_invalid_status_reaches_no_caller(method: &str, status: &str) {
    let fixture = Fixture::small(2).await;
    let (path, _) = fixture.key_in("colombo").await;
    let entry = fixture.entry("colombo").await;
    until_served(entry, method, &path, "before").await;
    let headers = [("x-work-us", "0"), ("x-echo", "e1"), ("x-status", status)];
    let answer = Client::exchange(entry, request(method, &path, &headers)).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status(), 502, "{answer:?}");
    assert_eq!(answer.headers()["yucca-outcome"], "unknown");
    let runs = fixture.cluster.journal().runs("e1").len();
    assert!(runs >= 1 && (method == "GET" || runs == 1), "{runs} runs");
    until_served(entry, method, &path, "after").await;
}
