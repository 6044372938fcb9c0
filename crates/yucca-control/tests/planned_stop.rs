//! Graceful stops: a process transfers its leadership before it stops.

#![allow(clippy::unwrap_used)]

mod common;

use std::time;

use test_case::test_case;
use yucca_control::message;

#[test_case(101; "one seed")]
#[test_case(102; "another seed")]
#[tokio::test(start_paused = true)]
async fn stopping_leader_hands_over_first(seed: u64) {
    let mut deployment = common::Deployment::start(&common::KELANI, None, seed);
    deployment.wait_ready().await;
    let text = common::first_ticket(&deployment, 1);
    deployment.submit("maradana-4", &text).await;
    let leader = deployment.leader(&message::Log::Global).unwrap();
    let core = deployment.core(&leader).clone();
    core.ready.stop();
    assert!(!core.ready.is_ready());
    let start = tokio::time::Instant::now();
    core.hand_over(time::Duration::from_secs(5)).await;
    assert!(
        start.elapsed() < time::Duration::from_millis(200),
        "{:?}",
        start.elapsed()
    );
    for domain in ["colombo", "ratmalana", "maradana"] {
        let log = message::Log::Domain(domain.parse().unwrap());
        assert!(!core.status(&log).is_some_and(|status| status.leads));
    }
    deployment.kill(&leader);
    let start = tokio::time::Instant::now();
    let text = common::small_ticket(2, "after the stop");
    deployment.submit("maradana-4", &text).await;
    // Without the handover, an election would take at least 250 ms.
    assert!(
        start.elapsed() < time::Duration::from_millis(250),
        "{:?}",
        start.elapsed()
    );
}
