//! Domains that are cut off from each other.
#![allow(clippy::unwrap_used)]

#[path = "support/fixture.rs"]
mod fixture;
mod support;

use fixture::{Fixture, until_served};
use yucca_dev::cluster::fault::Fault;

const DOMAINS: [&str; 3] = ["colombo", "ratmalana", "maradana"];

fn cut(one: &str, other: &str) -> Fault {
    Fault::Cut {
        one: one.parse().unwrap(),
        other: other.parse().unwrap(),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_third_domain_relays_requests() {
    let fixture = Fixture::small(2).await;
    let (path, owner) = fixture.key_in("ratmalana").await;
    fixture.inject(cut("colombo", "ratmalana")).await;
    let entry = fixture.entry("colombo").await;
    let seen = until_served(entry, "GET", &path, "relayed").await;
    assert_eq!(seen.target, Some(owner));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_domains_serve_their_keys_and_pools() {
    let fixture = Fixture::small(2).await;
    let mut keys = Vec::new();
    for domain in DOMAINS {
        keys.push(fixture.key_in(domain).await);
    }
    for (one, other) in [(0, 1), (1, 2), (0, 2)] {
        fixture.inject(cut(DOMAINS[one], DOMAINS[other])).await;
    }
    for (domain, (path, owner)) in DOMAINS.into_iter().zip(keys) {
        let entry = fixture.entry(domain).await;
        let seen = until_served(entry, "GET", &path, "alone").await;
        assert_eq!(seen.target, Some(owner));
        until_served(entry, "POST", "/renewal-office/renew", "alone-pool").await;
    }
    assert_eq!(fixture.cluster.journal().totals().overlaps, 0);
}
