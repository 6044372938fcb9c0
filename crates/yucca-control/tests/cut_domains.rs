//! Domains and hosts that are cut off from each other.

#![allow(clippy::unwrap_used)]

mod common;

use std::time;

use yucca_control::message;

async fn started(seed: u64) -> common::Deployment {
    let deployment = common::Deployment::start(&common::KELANI, None, seed);
    deployment.wait_ready().await;
    let text = common::first_ticket(&deployment, 1);
    let version = deployment.submit("colombo-1", &text).await;
    deployment.wait_for_version(version).await;
    deployment
}

fn domain(name: &str) -> message::Log {
    message::Log::Domain(name.parse().unwrap())
}

/// Sends reports as an entry process until its host has a lease and the table has the target.
async fn serve(deployment: &common::Deployment, host: &str, target: &str) {
    let mut entry = common::Entry::new(deployment, host);
    entry.announced = vec![common::announce(target, "ticket-desk", 9001)];
    let start = tokio::time::Instant::now();
    loop {
        entry.report().await;
        let table = entry.table.table();
        let mut locals = table.locals.values();
        let known = locals.any(|local| local.targets.contains_key(&common::target(target)));
        if known && entry.leased {
            return;
        }
        let waited = start.elapsed();
        assert!(
            waited < time::Duration::from_secs(20),
            "{}",
            deployment.describe()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn cut_domain_decides_alone_while_others_accept_tickets() {
    let deployment = started(81).await;
    deployment.cut_domains("maradana", "colombo");
    deployment.cut_domains("maradana", "ratmalana");
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    serve(&deployment, "maradana-2", "desk-9").await;
    let text = common::small_ticket(2, "during the cut");
    let answer = deployment.ask("colombo-2", "POST", "/tickets", &text).await;
    assert_eq!(answer.status, 200);
    let version = answer.body["version"].as_u64().unwrap();
    let refused = deployment
        .ask(
            "maradana-2",
            "POST",
            "/tickets",
            &common::small_ticket(3, "x"),
        )
        .await;
    assert_eq!(refused.status, 503, "{refused:?}");
    let shown = deployment.ask("colombo-2", "GET", "/tickets/2", "").await;
    let hosts = &shown.body["in_force"]["hosts"];
    assert_eq!(hosts["maradana-2"], "unreachable", "{hosts}");
    deployment.network.heal();
    let took = deployment.wait_for_version(version).await;
    assert!(took < time::Duration::from_secs(3), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn each_domain_decides_alone_in_a_three_way_cut() {
    let deployment = started(82).await;
    deployment.cut_domains("maradana", "colombo");
    deployment.cut_domains("maradana", "ratmalana");
    deployment.cut_domains("colombo", "ratmalana");
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    for (host, target) in [
        ("colombo-2", "desk-1"),
        ("ratmalana-3", "desk-2"),
        ("maradana-4", "desk-3"),
    ] {
        serve(&deployment, host, target).await;
    }
    for host in ["colombo-1", "ratmalana-1", "maradana-1"] {
        let refused = deployment
            .ask(host, "POST", "/tickets", &common::small_ticket(2, "x"))
            .await;
        assert_eq!(refused.status, 503, "{refused:?}");
    }
    deployment.network.heal();
    let version = loop {
        let text = common::small_ticket(2, "x");
        let answer = deployment
            .ask("ratmalana-4", "POST", "/tickets", &text)
            .await;
        if answer.status == 200 {
            break answer.body["version"].as_u64().unwrap();
        }
    };
    deployment.wait_for_version(version).await;
}

#[tokio::test(start_paused = true)]
async fn disconnected_domains_exchange_versions_through_a_third() {
    let deployment = started(83).await;
    let known = |d: &common::Deployment| common::local(d.core("colombo-3"), "maradana").is_some();
    deployment.wait_until("the other side's table", known).await;
    deployment.cut_domains("maradana", "colombo");
    let before = common::local(deployment.core("colombo-3"), "maradana")
        .unwrap()
        .version;
    serve(&deployment, "maradana-2", "desk-9").await;
    let known = |d: &common::Deployment| {
        let local = common::local(d.core("colombo-3"), "maradana").unwrap();
        local.version > before && local.targets.contains_key(&common::target("desk-9"))
    };
    deployment
        .wait_until("the target at the other side", known)
        .await;
    // After the elections that the cut may cause, the term no longer changes.
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let term = |name: &str| {
        let status = deployment.core(name).status(&message::Log::Global).unwrap();
        status.term
    };
    let stable = term("ratmalana-1");
    tokio::time::sleep(time::Duration::from_secs(10)).await;
    assert_eq!(term("ratmalana-1"), stable);
}

#[tokio::test(start_paused = true)]
async fn leader_that_receives_nothing_is_replaced() {
    let deployment = started(84).await;
    let leader = deployment.leader(&message::Log::Global).unwrap();
    let own = deployment.address(&leader);
    // The leader's messages arrive at the others, but theirs do not arrive at the leader.
    for other in &deployment.peers {
        if other.address != own {
            deployment.network.cut(other.address, own);
        }
    }
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let version = deployment
        .submit("maradana-4", &common::small_ticket(2, "after"))
        .await;
    assert!(version > 0);
    let status = deployment
        .core(&leader)
        .status(&message::Log::Global)
        .unwrap();
    assert!(!status.leads);
}

#[tokio::test(start_paused = true)]
async fn isolated_leader_accepts_no_ticket_and_rejoins() {
    let deployment = started(85).await;
    let logs = [
        message::Log::Global,
        domain("colombo"),
        domain("ratmalana"),
        domain("maradana"),
    ];
    let leader = deployment.leader(&logs[0]).unwrap();
    deployment.isolate(&leader);
    let text = common::small_ticket(2, "to the cut off leader");
    let refused = deployment.ask(&leader, "POST", "/tickets", &text).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    let other = deployment
        .names()
        .into_iter()
        .find(|name| *name != leader)
        .unwrap();
    let mut newest = 0;
    for number in 3..53 {
        let text = common::small_ticket(number, "meanwhile");
        newest = deployment.submit(&other, &text).await;
    }
    tokio::time::sleep(time::Duration::from_secs(30)).await;
    deployment.network.heal();
    deployment.wait_for_version(newest).await;
    for log in &logs {
        let leads = |d: &common::Deployment| {
            let all = d.hosts.values();
            let leaders = all.filter(|h| h.core.status(log).is_some_and(|s| s.leads));
            leaders.count() == 1
        };
        deployment.wait_until("one leader", leads).await;
    }
    let lost = deployment.ask(&other, "GET", "/tickets/2", "").await;
    let again = deployment.ask(&other, "POST", "/tickets", &text).await;
    assert!(lost.status == 404 || lost.status == 200);
    assert_eq!(again.status, 200);
}
