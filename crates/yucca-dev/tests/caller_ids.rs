//! A caller's own id holds at whatever host it enters.
#![allow(clippy::unwrap_used)]

#[path = "support/stage.rs"]
mod stage;
mod support;

use stage::{Stage, until_served};
use support::{Client, request};

const DOMAINS: [&str; 3] = ["colombo", "ratmalana", "maradana"];

const RENEWALS: usize = 12;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn same_id_runs_once() {
    let stage = Stage::small(2).await;
    for domain in DOMAINS {
        let entry = stage.entry(domain).await;
        until_served(entry, "POST", "/renewal-office/renew", "before").await;
    }
    for number in 0..RENEWALS {
        let echo = format!("renewal-{number}");
        for domain in DOMAINS {
            let entry = stage.entry(domain).await;
            let headers = [
                ("x-echo", echo.as_str()),
                ("idempotency-key", echo.as_str()),
            ];
            let request = request("POST", "/renewal-office/renew", &headers);
            let answer = Client::exchange(entry, request).await.unwrap();
            assert_eq!(answer.status(), 200, "{echo} in {domain}: {answer:?}");
            assert_eq!(answer.headers()["x-run"], "1", "{echo} in {domain}");
        }
        assert_eq!(stage.runs(&echo).len(), 1, "{echo}");
    }
}
