//! The whole path of a request: from each entry host through the lane to the target and back.
#![allow(clippy::unwrap_used)]

#[path = "support/fixture.rs"]
mod fixture;
mod support;

use fixture::Fixture;
use support::{Client, request};
use test_case::test_case;
use yucca_dev::deployment;

#[test_case(deployment::Name::Kelani, "/ticket-desk/engine-7", "/renewal-office/renew", "/records-vault/search"; "kelani")]
#[test_case(deployment::Name::Brightwater, "/shelf/stick-7", "/till/order", "/almanac/catalogue"; "brightwater")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_entry_host_answers(name: deployment::Name, keyed: &str, once: &str, long: &str) {
    let deployment = deployment::Deployment::new(name).unwrap().limit_targets(3);
    let fixture = Fixture::start(deployment).await;
    let entries = fixture.cluster.entries().await;
    assert_eq!(entries.len(), 11);
    for (index, entry) in entries.iter().enumerate() {
        for (method, path) in [("GET", keyed), ("POST", once), ("GET", long)] {
            let echo = format!("{index}{path}").replace('/', ".");
            let seen = fixture::until_served(entry.callers, method, path, &echo).await;
            assert_eq!(seen.body, "a body");
            let answered = fixture.runs(&echo).into_iter();
            let answered = answered.filter(|run| run.target == *seen.target.as_ref().unwrap());
            assert_eq!(answered.count(), 1);
        }
    }
    let totals = fixture.cluster.journal().totals();
    assert_eq!((totals.repeats, totals.overlaps), (0, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_caller_gets_its_own_answer() {
    let fixture = Fixture::small(2).await;
    let entries = fixture.cluster.entries().await;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..24 {
        let entry = entries[caller % entries.len()].callers;
        callers.spawn(async move {
            let mut client = Client::connect(entry).await;
            let mut served = 0;
            for turn in 0..10 {
                let echo = format!("{caller}-{turn}");
                // Service times differ, so that answers arrive in another order than requests.
                let work = format!("{}", (caller * 7 + turn * 3) % 11 * 1000);
                let headers = [("x-echo", echo.as_str()), ("x-work-us", work.as_str())];
                let path = format!("/ticket-desk/k{}", caller % 5);
                let answer = client.send(request("GET", &path, &headers)).await;
                if answer.status() == 200 {
                    assert_eq!(answer.headers()["x-echo"], echo.as_str());
                    assert_eq!(answer.body(), "a body");
                    served += 1;
                } else {
                    assert!(answer.headers().contains_key("yucca-outcome"), "{answer:?}");
                }
            }
            served
        });
    }
    let served: u32 = callers.join_all().await.into_iter().sum();
    assert!(served > 0);
}
