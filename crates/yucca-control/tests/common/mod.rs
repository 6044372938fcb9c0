//! Deployments of control processes on an in-memory network and a paused clock.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::net;
use std::path;
use std::sync;
use std::time;

use http_body_util::BodyExt;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::task;
use yucca_control::peer::memory;
use yucca_control::process::core;
use yucca_control::{peer, request, settings};
use yucca_wire::{announce, auth, codec, id, report, table};

pub const DEPLOYMENT: &str = "kelani";
pub const OPERATOR: &str = "operator-key-of-tests";
pub const PEER: &str = "peer-key-of-the-tests";

/// One control process of a test.
pub struct Host {
    pub core: sync::Arc<core::Core>,
    tasks: task::JoinSet<()>,
}

/// The control processes of a test.
pub struct Deployment {
    pub network: memory::Network,
    pub peers: Vec<settings::Peer>,
    pub hosts: IndexMap<String, Host>,
    pub data: Option<path::PathBuf>,
    pub seed: u64,
}

/// A domain of a test, with the numbers of its hosts and of those with disks.
pub struct Domain {
    pub name: &'static str,
    pub hosts: usize,
    pub disks: usize,
}

/// Domains of the same size as those of the deployment kelani.
pub const KELANI: [Domain; 3] = [
    Domain {
        name: "colombo",
        hosts: 3,
        disks: 1,
    },
    Domain {
        name: "ratmalana",
        hosts: 4,
        disks: 2,
    },
    Domain {
        name: "maradana",
        hosts: 4,
        disks: 2,
    },
];

impl Deployment {
    /// Starts all hosts. Without `data`, all of them keep their state in memory.
    pub fn start(domains: &[Domain], data: Option<path::PathBuf>, seed: u64) -> Self {
        let mut peers = Vec::new();
        for (d, domain) in domains.iter().enumerate() {
            for h in 0..domain.hosts {
                peers.push(settings::Peer {
                    host: format!("{}-{}", domain.name, h + 1).parse().unwrap(),
                    domain: domain.name.parse().unwrap(),
                    address: net::SocketAddr::from(([127, 0, d as u8 + 1, h as u8 + 1], 7000)),
                    disk: h < domain.disks,
                });
            }
        }
        let mut deployment = Self {
            network: memory::Network::new(time::Duration::from_micros(500)),
            peers,
            hosts: IndexMap::new(),
            data,
            seed,
        };
        let names: Vec<String> = deployment
            .peers
            .iter()
            .map(|p| p.host.to_string())
            .collect();
        for name in &names {
            deployment.boot(name);
        }
        deployment
    }

    pub fn settings(&self, name: &str) -> settings::Settings {
        let own = self
            .peers
            .iter()
            .find(|peer| peer.host.as_str() == name)
            .unwrap();
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let text = "[addresses]\noperator = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\n[secrets]\noperator = \"operator-key-of-tests\"\npeer = \"peer-key-of-the-tests\"\n[timing]\n";
        let head = format!(
            "deployment = \"{DEPLOYMENT}\"\nhost = \"{name}\"\ndomain = \"{}\"\n{text}",
            own.domain
        );
        let mut read = settings::read(&head, "test").unwrap();
        read.peers.clone_from(&self.peers);
        let data = self.data.as_ref().filter(|_| own.disk);
        read.data = data.map(|data| data.join(name));
        assert_eq!(read.addresses.peer, any);
        read
    }

    pub fn address(&self, name: &str) -> net::SocketAddr {
        self.peers
            .iter()
            .find(|p| p.host.as_str() == name)
            .unwrap()
            .address
    }

    /// Starts a host, or starts it again.
    pub fn boot(&mut self, name: &str) {
        self.seed += 1;
        let address = self.address(name);
        let sender = sync::Arc::new(self.network.sender(address));
        let core = core::Core::new(self.settings(name), sender, self.seed);
        let tasks = core::run(&core).unwrap();
        self.network.attach(address, core.clone());
        self.hosts.insert(name.into(), Host { core, tasks });
    }

    /// Stops a host abruptly, without a handover.
    pub fn kill(&mut self, name: &str) {
        self.network.detach(self.address(name));
        let mut host = self.hosts.shift_remove(name).unwrap();
        host.tasks.abort_all();
        host.core.abort();
    }

    /// Cuts both directions between hosts of two domains.
    pub fn cut_domains(&self, a: &str, b: &str) {
        for from in &self.peers {
            for to in &self.peers {
                if from.domain.as_str() == a && to.domain.as_str() == b {
                    self.network.cut(from.address, to.address);
                    self.network.cut(to.address, from.address);
                }
            }
        }
    }

    /// Cuts all links of a host in both directions.
    pub fn isolate(&self, name: &str) {
        for other in &self.peers {
            let own = self.address(name);
            if other.address != own {
                self.network.cut(own, other.address);
                self.network.cut(other.address, own);
            }
        }
    }

    pub fn core(&self, name: &str) -> &sync::Arc<core::Core> {
        &self.hosts[name].core
    }

    pub fn names(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    pub fn of_domain(&self, domain: &str) -> Vec<String> {
        let all = self.hosts.keys().filter(|name| name.starts_with(domain));
        all.cloned().collect()
    }

    /// Returns a host that considers itself the leader of a log.
    pub fn leader(&self, log: &yucca_control::message::Log) -> Option<String> {
        for (name, host) in &self.hosts {
            if host.core.status(log).is_some_and(|status| status.leads) {
                return Some(name.clone());
            }
        }
        None
    }

    /// Waits until `check` holds and returns the time that this took.
    pub async fn wait_until(&self, what: &str, check: impl Fn(&Self) -> bool) -> time::Duration {
        let start = tokio::time::Instant::now();
        while !check(self) {
            assert!(
                start.elapsed() < time::Duration::from_secs(60),
                "{what} did not happen within a minute\n{}",
                self.describe()
            );
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        start.elapsed()
    }

    /// Describes the state of each host, for failure messages.
    pub fn describe(&self) -> String {
        let lines = self.hosts.iter().map(|(name, host)| {
            let known = host.core.feed.known();
            format!("{name}: {known:?} {}\n", host.core.logs())
        });
        lines.collect()
    }

    /// Waits until each host is ready.
    pub async fn wait_ready(&self) -> time::Duration {
        let all = |d: &Self| d.hosts.values().all(|host| host.core.ready.is_ready());
        self.wait_until("readiness of all hosts", all).await
    }

    /// Waits until each host has this global version.
    pub async fn wait_for_version(&self, version: u64) -> time::Duration {
        let has = |host: &Host| host.core.feed.known().global.0 >= version;
        self.wait_until("the version at each host", |d| d.hosts.values().all(has))
            .await
    }

    /// Sends an operator's request to a host.
    pub async fn ask(&self, name: &str, method: &str, path: &str, text: &str) -> Answer {
        ask(self.core(name), method, path, text).await
    }

    /// Sends a ticket, asserts that it is accepted and returns its version.
    pub async fn submit(&self, name: &str, text: &str) -> u64 {
        let answer = self.ask(name, "POST", "/tickets", text).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        answer.body["version"].as_u64().unwrap()
    }
}

/// An answer to an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

/// Sends an operator's request over an in-memory connection.
pub async fn ask(core: &sync::Arc<core::Core>, method: &str, path: &str, text: &str) -> Answer {
    ask_with(core, method, path, "application/json", text).await
}

/// Sends a ticket with this media type.
pub async fn ask_as(core: &sync::Arc<core::Core>, media_type: &str, text: &str) -> Answer {
    ask_with(core, "POST", "/tickets", media_type, text).await
}

async fn ask_with(
    core: &sync::Arc<core::Core>,
    method: &str,
    path: &str,
    media_type: &str,
    text: &str,
) -> Answer {
    let services = request::Services::new(core);
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test")
        .header(http::header::CONTENT_TYPE, media_type)
        .header(
            http::header::AUTHORIZATION,
            auth::Secret::new(OPERATOR).header(),
        )
        .header(auth::SENDER_HEADER, "nimal")
        .body(http_body_util::Full::new(bytes::Bytes::from(
            text.to_string(),
        )))
        .unwrap();
    send(services.operator, request).await
}

pub async fn send(
    service: yucca_control::connection::listener::Service,
    request: http::Request<http_body_util::Full<bytes::Bytes>>,
) -> Answer {
    let (near, far) = tokio::io::duplex(64 << 10);
    let service = hyper_util::service::TowerToHyperService::new(service);
    let server = hyper::server::conn::http1::Builder::new();
    tokio::spawn(server.serve_connection(hyper_util::rt::TokioIo::new(far), service));
    let near = hyper_util::rt::TokioIo::new(near);
    let (mut client, connection) = hyper::client::conn::http1::handshake(near).await.unwrap();
    tokio::spawn(connection);
    let response = client.send_request(request).await.unwrap();
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    Answer {
        status,
        body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
    }
}

/// A simulated entry process, which sends reports and applies updates.
pub struct Entry {
    pub host: id::Host,
    pub table: yucca_control::version::feed::Feed,
    pub leased: bool,
    pub announced: Vec<announce::Announce>,
    /// Number of updates of the global part that were deltas.
    pub deltas: usize,
    sender: memory::Sender,
    to: net::SocketAddr,
}

impl Entry {
    pub fn new(deployment: &Deployment, name: &str) -> Self {
        let to = deployment.address(name);
        Self {
            host: name.parse().unwrap(),
            table: yucca_control::version::feed::Feed::default(),
            leased: false,
            announced: Vec::new(),
            deltas: 0,
            sender: deployment.network.sender(to),
            to,
        }
    }

    /// Sends a report; returns false if the control process refused it or did not answer.
    pub async fn report(&mut self) -> bool {
        let known = self.table.known();
        let report = report::Report {
            host: self.host.clone(),
            incarnation: 1,
            global: known.global,
            locals: known.locals,
            announced: self.announced.clone(),
            lanes: IndexMap::new(),
            stopping: false,
        };
        let deployment = codec::Deployment::new(DEPLOYMENT);
        let call = peer::Call {
            to: self.to,
            path: report::PATH,
            frame: codec::encode(deployment, &report).unwrap(),
            timeout: time::Duration::from_secs(2),
        };
        let answer = peer::Peer::call(&self.sender, call).await;
        let Ok(frame) = answer else {
            self.leased = false;
            return false;
        };
        let update: report::Update = codec::decode(deployment, &frame).unwrap();
        self.leased = update.lease_us.is_some();
        self.deltas += usize::from(matches!(update.global, Some(report::Change::Delta { .. })));
        self.table.merge(update);
        true
    }
}

/// Parses the name of a target.
pub fn target(name: &str) -> id::Target {
    name.parse().unwrap()
}

/// Returns the announcement of a target.
pub fn announce(target: &str, service: &str, port: u16) -> announce::Announce {
    let value = serde_json::json!({
        "target": target, "service": service, "address": format!("127.0.0.1:{port}"),
        "incarnation": 1, "slots": 3, "checks_tokens": true, "state": "serving",
    });
    serde_json::from_value(value).unwrap()
}

/// Returns a ticket that creates a keyed service and the domains of the deployment.
pub fn first_ticket(deployment: &Deployment, number: u64) -> String {
    let mut domains: IndexMap<String, Value> = IndexMap::new();
    for peer in &deployment.peers {
        let domain = domains
            .entry(peer.domain.to_string())
            .or_insert_with(|| serde_json::json!({"region": "western", "hosts": {}}));
        domain["hosts"][peer.host.as_str()] = serde_json::json!({
            "peer": peer.address.to_string().replace(":7000", ":7100"),
            "control": peer.address.to_string(),
            "disk": peer.disk,
        });
    }
    serde_json::json!({
        "number": number,
        "summary": "the first state",
        "services": {"ticket-desk": service("/ticket-desk")},
        "domains": domains,
    })
    .to_string()
}

/// Returns a keyed service.
pub fn service(prefix: &str) -> Value {
    serde_json::json!({
        "prefix": prefix,
        "kind": {"keyed": {"key": {"header": "x-key"}, "shards": 64}},
        "deadline": "2s",
    })
}

/// Returns a small ticket whose content depends on its number and summary.
pub fn small_ticket(number: u64, summary: &str) -> String {
    serde_json::json!({
        "number": number,
        "summary": summary,
        "drains": {"ticket-desk": [format!("desk-{}", number % 7)]},
    })
    .to_string()
}

/// Returns a domain's part of the table as a host knows it.
pub fn local(core: &core::Core, domain: &str) -> Option<sync::Arc<table::Local>> {
    core.feed.local(&domain.parse().unwrap())
}
