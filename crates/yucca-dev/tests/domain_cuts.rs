//! Domains that lose each other.
#![allow(clippy::unwrap_used)]

#[path = "support/stage.rs"]
mod stage;
mod support;

use stage::{Stage, until_served};
use yucca_dev::cluster::fault::Fault;

const DOMAINS: [&str; 3] = ["colombo", "ratmalana", "maradana"];

fn cut(one: &str, other: &str) -> Fault {
    Fault::Cut {
        one: one.parse().unwrap(),
        other: other.parse().unwrap(),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_third_domain_relays() {
    let stage = Stage::small(2).await;
    let (path, owner) = stage.key_in("ratmalana").await;
    stage.inject(cut("colombo", "ratmalana")).await;
    let entry = stage.entry("colombo").await;
    let seen = until_served(entry, "GET", &path, "relayed").await;
    assert_eq!(seen.target, Some(owner));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_domain_alone_serves_its_keys_and_pools() {
    let stage = Stage::small(2).await;
    let mut keys = Vec::new();
    for domain in DOMAINS {
        keys.push(stage.key_in(domain).await);
    }
    for (one, other) in [(0, 1), (1, 2), (0, 2)] {
        stage.inject(cut(DOMAINS[one], DOMAINS[other])).await;
    }
    for (domain, (path, owner)) in DOMAINS.into_iter().zip(keys) {
        let entry = stage.entry(domain).await;
        let seen = until_served(entry, "GET", &path, "alone").await;
        assert_eq!(seen.target, Some(owner));
        until_served(entry, "POST", "/renewal-office/renew", "alone-pool").await;
    }
    assert_eq!(stage.cluster.journal().totals().overlaps, 0);
}
