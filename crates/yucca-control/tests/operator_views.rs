//! Answers to operators: status, keys and problems.

#![allow(clippy::unwrap_used)]

mod common;

use std::time;

use test_case::test_case;

const SEED: u64 = 121;

async fn serving() -> common::Deployment {
    let deployment = common::Deployment::start(&common::KELANI, None, SEED);
    deployment.wait_ready().await;
    let text = common::first_ticket(&deployment, 1);
    deployment.submit("colombo-1", &text).await;
    let mut entry = common::Entry::new(&deployment, "colombo-3");
    entry.announced = vec![common::announce("desk-1", "ticket-desk", 9001)];
    let start = tokio::time::Instant::now();
    let owned = |d: &common::Deployment| {
        let local = common::local(d.core("maradana-4"), "colombo");
        local.is_some_and(|local| local.owners.values().any(|owners| owners.len() == 64))
    };
    while !owned(&deployment) {
        entry.report().await;
        let waited = start.elapsed();
        assert!(
            waited < time::Duration::from_secs(30),
            "{}",
            deployment.describe()
        );
    }
    deployment
}

#[tokio::test(start_paused = true)]
async fn status_shows_leaders_hosts_and_targets() {
    let deployment = serving().await;
    let status = deployment.ask("maradana-4", "GET", "/status", "").await;
    assert_eq!(status.status, 200);
    let colombo = &status.body["domains"]["colombo"];
    assert_eq!(colombo["reachable"], true);
    let leader = colombo["leader"].as_str().unwrap();
    let log = yucca_control::message::Log::Domain("colombo".parse().unwrap());
    assert_eq!(deployment.leader(&log).as_deref(), Some(leader));
    assert!(
        colombo["hosts"]["colombo-3"]["heard_ms_ago"].is_u64(),
        "{colombo}"
    );
    assert!(colombo["hosts"]["colombo-2"].is_null(), "{colombo}");
    let target = &colombo["targets"]["desk-1"];
    assert_eq!(target["state"], "serving");
    assert_eq!(target["lane"], "colombo-3");
}

#[tokio::test(start_paused = true)]
async fn key_answer_names_the_owner() {
    let deployment = serving().await;
    let path = "/key?service=ticket-desk&key=engine%2042";
    let shown = deployment.ask("ratmalana-3", "GET", path, "").await;
    assert_eq!(shown.status, 200);
    assert_eq!(shown.body["key"], "engine 42");
    assert_eq!(shown.body["home"], "colombo");
    assert_eq!(shown.body["owner"]["target"], "desk-1");
    let table = deployment.core("ratmalana-3").feed.table();
    let service = "ticket-desk".parse().unwrap();
    let location = table.locate(&service, b"engine 42").unwrap();
    assert_eq!(
        shown.body["owner"]["token"],
        serde_json::json!(location.token)
    );
}

#[test_case("GET", "/key?service=nobody&key=a", 404; "a key of an unknown service")]
#[test_case("GET", "/key?service=ticket-desk", 400; "no key")]
#[test_case("GET", "/tickets/x", 400; "no number")]
#[test_case("GET", "/tickets/77", 404; "a ticket that was never sent")]
#[test_case("GET", "/nothing", 404; "no such path")]
#[test_case("DELETE", "/tickets", 404; "no such method")]
#[tokio::test(start_paused = true)]
async fn problem_names_a_remedy(method: &str, path: &str, status: u16) {
    let deployment = serving().await;
    let answer = deployment.ask("colombo-2", method, path, "").await;
    assert_eq!(answer.status, status);
    assert!(!answer.body["remedy"].as_str().unwrap().is_empty());
    assert_eq!(answer.body["status"], status);
}
