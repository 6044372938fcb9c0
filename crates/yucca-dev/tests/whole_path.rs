//! Requests at every entry host, through the lane of their target, and the whole answer back.
#![allow(clippy::unwrap_used)]

#[path = "support/stage.rs"]
mod stage;
mod support;

use stage::Stage;
use support::{Client, request};
use test_case::test_case;
use yucca_dev::deployment;

#[test_case(deployment::Name::Kelani, "/ticket-desk/engine-7", "/renewal-office/renew", "/records-vault/search"; "kelani")]
#[test_case(deployment::Name::Brightwater, "/shelf/stick-7", "/till/order", "/almanac/catalogue"; "brightwater")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_entry_answers(name: deployment::Name, keyed: &str, once: &str, long: &str) {
    let deployment = deployment::Deployment::new(name).unwrap().limit_targets(3);
    let stage = Stage::start(deployment).await;
    let entries = stage.cluster.entries().await;
    assert_eq!(entries.len(), 11);
    for (index, entry) in entries.iter().enumerate() {
        for (method, path) in [("GET", keyed), ("POST", once), ("GET", long)] {
            let echo = format!("{index}{path}").replace('/', ".");
            let seen = stage::until_served(entry.callers, method, path, &echo).await;
            assert_eq!(seen.body, "a body");
            let answered = stage.runs(&echo).into_iter();
            let answered = answered.filter(|run| run.target == *seen.target.as_ref().unwrap());
            assert_eq!(answered.count(), 1);
        }
    }
    let totals = stage.cluster.journal().totals();
    assert_eq!((totals.repeats, totals.overlaps), (0, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_caller_gets_its_own_answer() {
    let stage = Stage::small(2).await;
    let entries = stage.cluster.entries().await;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..24 {
        let entry = entries[caller % entries.len()].callers;
        callers.spawn(async move {
            let mut client = Client::dial(entry).await;
            let mut served = 0;
            for turn in 0..10 {
                let echo = format!("{caller}-{turn}");
                // Work times differ, so that answers overtake each other.
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
