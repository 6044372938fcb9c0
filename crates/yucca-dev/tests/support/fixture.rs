//! A running deployment for tests: real entry and control processes with mock targets.
#![allow(dead_code, missing_docs, clippy::unwrap_used, clippy::panic)]

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use yucca_dev::cluster::fault::Fault;
use yucca_dev::{cluster, deployment, journal};
use yucca_wire::id;

use crate::support::{Client, request};

pub struct Fixture {
    pub cluster: sync::Arc<cluster::Cluster>,
}

/// Parts of an answer that the tests check.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub outcome: Option<String>,
    pub target: Option<id::Target>,
    pub body: Bytes,
}

impl Fixture {
    /// Starts a deployment and waits until it serves requests.
    pub async fn start(deployment: deployment::Deployment) -> Self {
        let settings = cluster::Settings {
            deployment,
            port: None,
            warmup: time::Duration::ZERO,
            seed: 1,
            cuts: true,
            control: None,
        };
        let cluster = cluster::Cluster::start(settings).await.unwrap();
        let served = cluster::start::serve(&cluster);
        within_timeout("the deployment serves", served)
            .await
            .unwrap();
        Self {
            cluster: sync::Arc::new(cluster),
        }
    }

    /// Starts Kelani with at most six targets for each service and `hosts` hosts in each domain.
    pub async fn small(hosts: usize) -> Self {
        let kelani = deployment::Deployment::new(deployment::Name::Kelani).unwrap();
        Self::start(kelani.limit_targets(6).limit_hosts(hosts)).await
    }

    /// Returns the callers' address of the first entry host of a domain.
    pub async fn entry(&self, domain: &str) -> net::SocketAddr {
        let entries = self.cluster.entries().await;
        let mut entries = entries.iter();
        entries
            .find(|entry| entry.domain.as_str() == domain)
            .unwrap()
            .callers
    }

    pub async fn inject(&self, fault: Fault) {
        self.cluster.inject(fault).await.unwrap();
    }

    pub fn runs(&self, echo: &str) -> Vec<journal::Run> {
        self.cluster.journal().runs(echo)
    }

    /// Returns the path of a ticket-desk key whose owner is in a domain, and that owner.
    pub async fn key_in(&self, domain: &str) -> (String, id::Target) {
        let entry = self.entry(domain).await;
        let targets = self.cluster.targets().served;
        for number in 0.. {
            let path = format!("/ticket-desk/key-{number}");
            let seen = until_served(entry, "GET", &path, "search").await;
            let owner = seen.target.unwrap();
            let found = targets.iter().find(|target| target.target == owner);
            if found.unwrap().domain.as_str() == domain {
                return (path, owner);
            }
        }
        panic!("no key has its home in {domain}")
    }
}

/// Sends one request on a new connection. The status is 0 if the connection fails.
pub async fn send(entry: net::SocketAddr, method: &str, path: &str, echo: &str) -> Response {
    send_work(entry, method, path, echo, "0").await
}

pub async fn send_work(
    entry: net::SocketAddr,
    method: &str,
    path: &str,
    echo: &str,
    work_us: &str,
) -> Response {
    let headers = [("x-work-us", work_us), ("x-echo", echo)];
    let answer = Client::exchange(entry, request(method, path, &headers)).await;
    let Some(answer) = answer else {
        return Response {
            status: 0,
            outcome: None,
            target: None,
            body: Bytes::new(),
        };
    };
    let text = |name: &str| {
        let value = answer.headers().get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    Response {
        status: answer.status().as_u16(),
        outcome: text("yucca-outcome"),
        target: text("x-target").map(|name| name.parse().unwrap()),
        body: answer.body().clone(),
    }
}

/// Time after which a waiting test fails instead of running forever. It is not a requirement on
/// the speed of the system.
const HANG_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Awaits a condition. Fails the test if it does not become true within [`HANG_TIMEOUT`].
pub async fn within_timeout<F: Future>(awaited: &str, condition: F) -> F::Output {
    let done = tokio::time::timeout(HANG_TIMEOUT, condition).await;
    done.unwrap_or_else(|_| panic!("no success within {HANG_TIMEOUT:?}: {awaited}"))
}

/// Sends a request repeatedly until its status is 200.
pub async fn until_served(
    entry: net::SocketAddr,
    method: &str,
    path: &str,
    echo: &str,
) -> Response {
    let served = async {
        loop {
            let seen = send(entry, method, path, echo).await;
            if seen.status == 200 {
                return seen;
            }
        }
    };
    within_timeout(&format!("{method} {path} is served"), served).await
}

/// Sends a request repeatedly until a target other than `not` serves it. Returns that target.
pub async fn until_moved(entry: net::SocketAddr, path: &str, not: &id::Target) -> id::Target {
    let moved = async {
        loop {
            let seen = send(entry, "GET", path, "moved").await;
            match seen.target {
                Some(target) if target != *not => return target,
                _ => {}
            }
        }
    };
    within_timeout(&format!("{path} moves away from {not}"), moved).await
}
