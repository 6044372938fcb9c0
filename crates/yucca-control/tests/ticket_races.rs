//! Tickets with the same number, resent tickets, and invalid tickets.

#![allow(clippy::unwrap_used)]

mod common;

use std::time;

const SEED: u64 = 31;

async fn started() -> common::Deployment {
    let deployment = common::Deployment::start(&common::KELANI, None, SEED);
    deployment.wait_ready().await;
    let text = common::first_ticket(&deployment, 1);
    deployment.submit("colombo-1", &text).await;
    deployment
}

#[tokio::test(start_paused = true)]
async fn one_of_two_conflicting_tickets_is_accepted() {
    let deployment = started().await;
    let texts = [
        common::small_ticket(7, "from colombo"),
        common::small_ticket(7, "from maradana"),
    ];
    let (a, b) = tokio::join!(
        deployment.ask("colombo-2", "POST", "/tickets", &texts[0]),
        deployment.ask("maradana-3", "POST", "/tickets", &texts[1]),
    );
    let mut statuses = [a.status, b.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
    let (won, lost) = if a.status == 200 { (0, &b) } else { (1, &a) };
    let summary = ["from colombo", "from maradana"][won];
    assert_eq!(lost.body["standing"]["content"]["summary"], summary);
    let accepted = deployment.ask("ratmalana-2", "GET", "/tickets/7", "").await;
    assert_eq!(accepted.body["content"]["summary"], summary);
}

#[tokio::test(start_paused = true)]
async fn resent_ticket_gets_the_first_answer() {
    let mut deployment = started().await;
    let text = common::small_ticket(5, "once");
    // The answer is lost: the operator disconnects before it arrives.
    let first = deployment.ask("maradana-4", "POST", "/tickets", &text);
    let disconnected = tokio::time::timeout(time::Duration::from_millis(2), first).await;
    assert!(disconnected.is_err());
    let again = deployment
        .ask("maradana-4", "POST", "/tickets", &text)
        .await;
    assert_eq!(again.status, 200, "{again:?}");
    let toml = "number = 5\nsummary = \"once\"\n[drains]\nticket-desk = [\"desk-5\"]\n";
    let reordered = common::ask_as(deployment.core("colombo-3"), "application/toml", toml).await;
    assert_eq!(reordered, again);
    let log = yucca_control::message::Log::Global;
    let leader = deployment.leader(&log).unwrap();
    deployment.kill(&leader);
    let survivor = deployment.names().pop().unwrap();
    let after = deployment.ask(&survivor, "POST", "/tickets", &text).await;
    assert_eq!(after, again);
}

#[tokio::test(start_paused = true)]
async fn invalid_ticket_changes_nothing() {
    let deployment = started().await;
    let before = deployment.ask("colombo-1", "GET", "/table", "").await;
    let text = r#"{"number": 9, "services": {"UP": 3}, "drains": {"nobody": ["x"]}, "extra": 1}"#;
    let refused = deployment.ask("colombo-2", "POST", "/tickets", text).await;
    assert_eq!(refused.status, 422);
    let findings = refused.body["findings"].as_array().unwrap();
    assert!(findings.len() >= 2, "{findings:?}");
    assert!(
        findings.iter().all(|f| f["place"]["line"] == 1),
        "{findings:?}"
    );
    let after = deployment.ask("colombo-1", "GET", "/table", "").await;
    assert_eq!(before.body["global"], after.body["global"]);
    assert_eq!(
        deployment
            .ask("colombo-1", "GET", "/tickets/9", "")
            .await
            .status,
        404
    );
}
