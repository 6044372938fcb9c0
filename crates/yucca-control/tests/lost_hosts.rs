//! Losses of control hosts: of a leader, of two hosts in a row, and restarts after many tickets.

#![allow(clippy::unwrap_used)]

mod common;

use std::time;

use test_case::test_case;
use yucca_control::message;

async fn started(seed: u64, data: Option<&std::path::Path>) -> common::Deployment {
    let data = data.map(std::path::Path::to_path_buf);
    let deployment = common::Deployment::start(&common::KELANI, data, seed);
    deployment.wait_ready().await;
    let text = common::first_ticket(&deployment, 1);
    let version = deployment.submit("colombo-1", &text).await;
    deployment.wait_for_version(version).await;
    deployment
}

/// Sends a ticket repeatedly until it is accepted, as an operator would.
async fn submit_until_accepted(deployment: &common::Deployment, name: &str, text: &str) -> u64 {
    loop {
        let answer = deployment.ask(name, "POST", "/tickets", text).await;
        match answer.status {
            200 => return answer.body["version"].as_u64().unwrap(),
            status => assert_eq!(status, 503, "{answer:?}"),
        }
    }
}

#[test_case(41; "one seed")]
#[test_case(42; "another seed")]
#[test_case(43; "a third seed")]
#[tokio::test(start_paused = true)]
async fn no_ticket_is_lost_with_a_leader(seed: u64) {
    let mut deployment = started(seed, None).await;
    let mut newest = 0;
    for number in 2..12 {
        let text = common::small_ticket(number, "before the loss");
        newest = deployment.submit("maradana-4", &text).await;
    }
    let leader = deployment.leader(&message::Log::Global).unwrap();
    deployment.kill(&leader);
    let start = tokio::time::Instant::now();
    let version = submit_until_accepted(
        &deployment,
        "maradana-4",
        &common::small_ticket(12, "after"),
    )
    .await;
    let took = start.elapsed();
    assert!(took < time::Duration::from_secs(2), "{took:?}");
    assert!(version > newest);
    deployment.wait_for_version(version).await;
    for number in 1..=12 {
        let path = format!("/tickets/{number}");
        let shown = deployment.ask("maradana-4", "GET", &path, "").await;
        assert_eq!(shown.status, 200, "{number}");
    }
}

#[test_case(51; "one seed")]
#[test_case(52; "another seed")]
#[tokio::test(start_paused = true)]
async fn no_ticket_is_lost_with_a_second_host(seed: u64) {
    let mut deployment = started(seed, None).await;
    for round in 0..2 {
        let log = message::Log::Domain("ratmalana".parse().unwrap());
        let leader = deployment.leader(&log).unwrap();
        deployment.kill(&leader);
        let repaired = |d: &common::Deployment| {
            let Some(leader) = d.leader(&log) else {
                return false;
            };
            let status = d.core(&leader).status(&log).unwrap();
            let voters = status.members.voters();
            voters
                .iter()
                .all(|voter| d.hosts.contains_key(voter.host.as_str()))
        };
        deployment
            .wait_until("the repair of the domain's log", repaired)
            .await;
        let survivor = deployment.of_domain("ratmalana").pop().unwrap();
        let text = common::small_ticket(round + 2, "after a repair");
        let version = submit_until_accepted(&deployment, &survivor, &text).await;
        deployment.wait_for_version(version).await;
        let applied = |d: &common::Deployment| {
            let local = common::local(d.core(&survivor), "ratmalana");
            local.is_some_and(|local| local.global.0 >= version)
        };
        deployment
            .wait_until("the version in the domain's log", applied)
            .await;
    }
    let shown = deployment.ask("maradana-4", "GET", "/tickets", "").await;
    assert_eq!(shown.body["accepted"], 3);
}

#[test_case("maradana-4"; "without a disk")]
#[test_case("maradana-1"; "with a disk")]
#[tokio::test(start_paused = true)]
async fn restarted_host_is_current_before_it_is_ready(name: &str) {
    let folder = tempfile::tempdir().unwrap();
    let mut deployment = started(61, Some(folder.path())).await;
    deployment.kill(name);
    let mut newest = 0;
    for number in 2..302 {
        let text = common::small_ticket(number, "while it was away");
        newest = submit_until_accepted(&deployment, "colombo-2", &text).await;
    }
    deployment.boot(name);
    assert!(!deployment.core(name).ready.is_ready());
    let current = |d: &common::Deployment| {
        let core = d.core(name);
        let known = core.feed.known().global.0;
        assert!(
            !core.ready.is_ready() || known >= newest,
            "ready at version {known}"
        );
        core.ready.is_ready()
    };
    deployment.wait_until("readiness", current).await;
    let shown = deployment.ask(name, "GET", "/tickets/301", "").await;
    assert_eq!(shown.status, 200);
}

#[tokio::test(start_paused = true)]
async fn restart_of_all_hosts_keeps_tickets() {
    let folder = tempfile::tempdir().unwrap();
    let mut deployment = started(71, Some(folder.path())).await;
    let mut newest = 0;
    for number in 2..40 {
        let text = common::small_ticket(number, "before the restart");
        newest = deployment.submit("colombo-2", &text).await;
    }
    let names = deployment.names();
    for name in &names {
        deployment.kill(name);
    }
    for name in &names {
        deployment.boot(name);
    }
    deployment.wait_for_version(newest).await;
    let text = common::small_ticket(39, "before the restart");
    let again = submit_until_accepted(&deployment, "maradana-3", &text).await;
    assert_eq!(again, newest);
    let other = common::small_ticket(39, "other content");
    let refused = deployment
        .ask("maradana-3", "POST", "/tickets", &other)
        .await;
    assert_eq!(refused.status, 409);
}
