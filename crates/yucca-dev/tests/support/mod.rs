//! Shared helpers for the tests of mock targets.
#![allow(dead_code, missing_docs, clippy::unwrap_used)]

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use yucca_dev::{deployment, journal, target};
use yucca_wire::{grant, id};

pub struct Client {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: tokio::task::JoinHandle<()>,
}

impl Client {
    pub async fn connect(address: net::SocketAddr) -> Self {
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Self { sender, driver }
    }

    pub async fn send(&mut self, request: http::Request<Full<Bytes>>) -> http::Response<Bytes> {
        self.sender.ready().await.unwrap();
        let answer = self.sender.send_request(request).await.unwrap();
        let (head, body) = answer.into_parts();
        http::Response::from_parts(head, body.collect().await.unwrap().to_bytes())
    }

    /// Sends one request on a new connection. Returns `None` if the connection fails.
    pub async fn exchange(
        address: net::SocketAddr,
        request: http::Request<Full<Bytes>>,
    ) -> Option<http::Response<Bytes>> {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(driver);
        let answer = sender.send_request(request).await;
        let answer = match answer {
            Ok(answer) => {
                let (head, body) = answer.into_parts();
                let body = body.collect().await.ok()?;
                Some(http::Response::from_parts(head, body.to_bytes()))
            }
            Err(_) => None,
        };
        driver.abort();
        answer
    }

    /// Closes the connection without waiting for pending answers.
    pub fn close(self) {
        self.driver.abort();
    }
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)]) -> http::Request<Full<Bytes>> {
    let mut builder = http::Request::builder().method(method).uri(path);
    builder = builder.header("host", "stand-in");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from("a body"))).unwrap()
}

pub fn settings(name: &str, checks_tokens: bool) -> target::Settings {
    let kelani = deployment::Deployment::new(deployment::Name::Kelani).unwrap();
    let group = kelani.groups[0].clone();
    target::Settings {
        name: name.parse().unwrap(),
        service: group.service,
        rules: group.rules,
        listen: "127.0.0.1:0".parse().unwrap(),
        slots: id::Slots(3),
        connections: 130,
        checks_tokens,
        model: group.model,
        warmup: time::Duration::ZERO,
        queue: 4,
        lag: time::Duration::ZERO,
        seed: 7,
        announce: None,
    }
}

/// A mock target and the journal of its runs.
pub struct Harness {
    pub target: target::Target,
    pub journal: sync::Arc<journal::Journal>,
}

pub async fn harness(settings: target::Settings) -> Harness {
    let journal = sync::Arc::new(journal::Journal::default());
    let target = target::Target::start(settings, journal.clone());
    Harness {
        target: target.await.unwrap(),
        journal,
    }
}

impl Harness {
    pub async fn client(&self) -> Client {
        Client::connect(self.target.address()).await
    }

    /// Waits until the first run of an `x-echo` id satisfies a condition.
    pub async fn until(&self, echo: &str, condition: impl Fn(&journal::Run) -> bool) {
        while !self.journal.runs(echo).first().is_some_and(&condition) {
            tokio::task::yield_now().await;
        }
    }
}

pub fn token(version: u64) -> id::Token {
    id::Token {
        generation: 1,
        version,
        counter: 0,
    }
}

pub fn order(version: u64, granted: &[u32], revoked: &[u32]) -> http::Request<Full<Bytes>> {
    let shards = |list: &[u32]| {
        let shards = list.iter().map(|shard| grant::Shard {
            shard: id::Shard(*shard),
            token: token(version),
        });
        shards.collect()
    };
    let order = grant::Order {
        token: token(version),
        granted: shards(granted),
        revoked: shards(revoked),
        pinned: Vec::new(),
        unpinned: Vec::new(),
    };
    let body = serde_json::to_vec(&order).unwrap();
    let builder = http::Request::post(grant::PATH).header("host", "stand-in");
    builder.body(Full::new(Bytes::from(body))).unwrap()
}
