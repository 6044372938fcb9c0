//! Requests at every entry host, through the lane of their target, and the whole answer back.
#![allow(clippy::unwrap_used)]

#[path = "support/control.rs"]
mod control;
mod support;

use std::time;

use support::{Client, request};
use test_case::test_case;
use yucca_dev::{cluster, deployment};

struct Bench {
    cluster: cluster::Cluster,
    _control: control::Control,
}

/// Starts a deployment with three targets for each service.
async fn bench(name: deployment::Name) -> Bench {
    let deployment = deployment::Deployment::new(name).unwrap().at_most(3);
    let keyed = deployment.groups[0].service.to_string();
    let control = control::Control::start().await;
    let settings = cluster::Settings {
        deployment,
        port: None,
        warmup: time::Duration::ZERO,
        seed: 1,
        control: Some(control.address),
    };
    let cluster = cluster::Cluster::start(settings).await.unwrap();
    let ticket = cluster.ticket().await;
    control.submit(&serde_json::to_vec(&ticket).unwrap());
    control.assign(&keyed, 3).await;
    cluster.ready().await;
    Bench {
        cluster,
        _control: control,
    }
}

/// Sends a request until it is served, since versions reach the hosts one after the other.
async fn served(
    client: &mut Client,
    method: &str,
    path: &str,
    echo: &str,
) -> http::Response<bytes::Bytes> {
    let headers = [("x-work-us", "0"), ("x-echo", echo)];
    loop {
        let answer = client.send(request(method, path, &headers)).await;
        if answer.status() == 200 {
            return answer;
        }
        let outcome = answer.headers().get("yucca-outcome").cloned();
        assert_eq!(outcome.unwrap(), "not-run", "{answer:?}");
    }
}

#[test_case(deployment::Name::Kelani, "/ticket-desk/engine-7", "/renewal-office/renew", "/records-vault/search"; "kelani")]
#[test_case(deployment::Name::Brightwater, "/shelf/stick-7", "/till/order", "/almanac/catalogue"; "brightwater")]
#[tokio::test]
async fn every_entry_answers(name: deployment::Name, keyed: &str, once: &str, long: &str) {
    let bench = bench(name).await;
    let entries = bench.cluster.entries().await;
    assert_eq!(entries.len(), 11);
    let mut owners = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let mut client = Client::dial(entry.callers).await;
        for (method, path) in [("GET", keyed), ("POST", once), ("GET", long)] {
            let echo = format!("{index}{path}").replace('/', ".");
            let answer = served(&mut client, method, path, &echo).await;
            assert_eq!(answer.headers()["x-echo"], echo.as_str());
            assert_eq!(answer.headers()["x-run"], "1");
            assert_eq!(answer.body(), "a body");
            assert_eq!(bench.cluster.journal().runs(&echo).len(), 1);
            if path == keyed {
                owners.push(answer.headers()["x-target"].clone());
            }
        }
    }
    owners.dedup();
    assert_eq!(owners.len(), 1, "one owner, whatever the entry");
}
