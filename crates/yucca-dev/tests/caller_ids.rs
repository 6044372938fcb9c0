//! A request id set by the caller is recognized at every entry host.
#![allow(clippy::unwrap_used)]

#[path = "support/fixture.rs"]
mod fixture;
mod support;

use fixture::{Fixture, until_served};
use support::{Client, request};

const DOMAINS: [&str; 3] = ["colombo", "ratmalana", "maradana"];

const RENEWALS: usize = 12;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_with_one_id_run_once() {
    let fixture = Fixture::small(2).await;
    for domain in DOMAINS {
        let entry = fixture.entry(domain).await;
        until_served(entry, "POST", "/renewal-office/renew", "before").await;
    }
    for number in 0..RENEWALS {
        let echo = format!("renewal-{number}");
        for domain in DOMAINS {
            let entry = fixture.entry(domain).await;
            let headers = [
                ("x-echo", echo.as_str()),
                ("idempotency-key", echo.as_str()),
            ];
            let request = request("POST", "/renewal-office/renew", &headers);
            let answer = Client::exchange(entry, request).await.unwrap();
            assert_eq!(answer.status(), 200, "{echo} in {domain}: {answer:?}");
            assert_eq!(answer.headers()["x-run"], "1", "{echo} in {domain}");
        }
        assert_eq!(fixture.runs(&echo).len(), 1, "{echo}");
    }
}
