//! A fake control process: it gives each announced target a lane once, and moves nothing.
#![allow(dead_code, missing_docs, clippy::unwrap_used)]

use std::net;
use std::sync;
use std::time;

use http_body_util::{BodyExt, Full};
use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio::sync::watch;
use yucca_own::ticket;
use yucca_wire::{announce, codec, id, report, shards, table};

/// How long a report without news is held back.
const HOLD: time::Duration = time::Duration::from_millis(100);

/// How long lanes may send after each report.
const LEASE_US: u64 = 10_000_000;

pub struct Control {
    pub address: net::SocketAddr,
    state: sync::Arc<State>,
}

struct State {
    table: watch::Sender<table::Table>,
    deployment: codec::Deployment,
}

impl Control {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = sync::Arc::new(State {
            table: watch::Sender::new(table::Table::default()),
            deployment: codec::Deployment::new("yucca-dev"),
        });
        tokio::spawn(accept(listener, state.clone()));
        Self { address, state }
    }

    /// Puts a ticket in force: the homes of shards are even over the domains.
    pub fn submit(&self, text: &[u8]) {
        let checked = ticket::check(text, ticket::Format::Json).unwrap();
        let services = checked.services.into_iter();
        let services: IndexMap<_, _> = services.map(|(name, one)| (name, one.unwrap())).collect();
        let domains: Vec<id::Domain> = checked.domains.keys().cloned().collect();
        let mut global = table::Global {
            version: id::Version(1),
            domains: checked.domains,
            ..table::Global::default()
        };
        for (name, service) in &services {
            if let table::Kind::Keyed { shards, .. } = service.kind {
                let homes = domains.iter().cycle().take(shards as usize).cloned();
                global.homes.insert(name.clone(), homes.collect());
            }
        }
        global.services = services;
        self.state.table.send_modify(|table| {
            for domain in &domains {
                let local = local(domain, 1);
                table.locals.insert(domain.clone(), sync::Arc::new(local));
            }
            table.global = sync::Arc::new(global.clone());
        });
    }

    /// Gives each shard to one of its home's targets, once `count` of them have announced.
    pub async fn assign(&self, service: &str, count: usize) {
        let service: id::Service = service.parse().unwrap();
        let mut seen = self.state.table.subscribe();
        let announced = |table: &table::Table| {
            let locals = table.locals.values();
            let targets = locals.flat_map(|local| local.targets.values());
            targets.filter(|target| target.service == service).count() >= count
        };
        seen.wait_for(announced).await.unwrap();
        self.state.table.send_modify(|table| {
            let homes = table.global.homes[&service].clone();
            for (domain, local) in &mut table.locals {
                let local = sync::Arc::make_mut(local);
                local.version.0 += 1;
                let own = homes.iter().enumerate().filter(|(_, home)| *home == domain);
                let own = own.map(|(shard, _)| id::Shard(shard as u32));
                let owners = owners(local, &service, own.collect());
                local.owners.insert(service.clone(), owners);
            }
        });
    }
}

fn local(domain: &id::Domain, version: u64) -> table::Local {
    let mut local = table::Local::new(domain.clone());
    local.version = id::Version(version);
    local.global = id::Version(1);
    local
}

fn owners(local: &table::Local, service: &id::Service, own: Vec<id::Shard>) -> shards::Owners {
    let targets = local.targets.iter();
    let serving: Vec<_> = targets
        .filter(|(_, target)| target.service == *service)
        .collect();
    let mut owners = shards::Owners::new();
    for (shard, (name, _)) in own.into_iter().zip(serving.into_iter().cycle()) {
        let token = id::Token {
            generation: 0,
            version: local.version.0,
            counter: shard.0,
        };
        owners.insert(
            shard,
            table::Owner {
                target: name.clone(),
                token,
                moving: false,
            },
        );
    }
    owners
}

async fn accept(listener: TcpListener, state: sync::Arc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        let service = service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let state = state.clone();
            async move {
                let body = request.into_body().collect().await?.to_bytes();
                let report = codec::decode(state.deployment, &body).unwrap();
                let update = hear(&state, report).await;
                let body = codec::encode(state.deployment, &update).unwrap();
                Ok::<_, hyper::Error>(http::Response::new(Full::new(body)))
            }
        });
        tokio::spawn(async move {
            let builder = auto::Builder::new(rt::TokioExecutor::new());
            let _ = builder
                .serve_connection(rt::TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn hear(state: &State, report: report::Report) -> report::Update {
    for announced in &report.announced {
        state
            .table
            .send_if_modified(|table| take_in(table, announced));
    }
    let mut seen = state.table.subscribe();
    let news = seen.wait_for(|table| has_news(table, &report));
    let _ = tokio::time::timeout(HOLD, news).await;
    let table = state.table.borrow().clone();
    let newer = |local: &&sync::Arc<table::Local>| is_newer(local, &report);
    let locals = table.locals.values().filter(newer);
    let locals = locals.map(|local| report::Change::Snapshot((**local).clone()));
    let global = (table.global.version > report.global)
        .then(|| report::Change::Snapshot((*table.global).clone()));
    report::Update {
        locals: locals.collect(),
        global,
        lease_us: Some(LEASE_US),
        leased: true,
        ..report::Update::default()
    }
}

fn is_newer(local: &table::Local, report: &report::Report) -> bool {
    let known = report.locals.get(&local.domain);
    known.is_none_or(|known| local.version > *known)
}

fn has_news(table: &table::Table, report: &report::Report) -> bool {
    let locals = table.locals.values();
    table.global.version > report.global || locals.clone().any(|local| is_newer(local, report))
}

/// Gives a target that is not known a lane at a host of its domain; returns whether it did.
fn take_in(table: &mut table::Table, announced: &announce::Announce) -> bool {
    let name: id::Target = announced.target.parse().unwrap();
    // The announcement does not name the domain; names are spread over the domains in turn.
    let number: usize = announced
        .target
        .rsplit('-')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    let count = table.locals.len();
    if count == 0
        || table
            .locals
            .values()
            .any(|local| local.targets.contains_key(&name))
    {
        return false;
    }
    let (domain, local) = table.locals.get_index_mut((number - 1) % count).unwrap();
    let hosts: Vec<&id::Host> = table.global.domains[domain].hosts.keys().collect();
    let local = sync::Arc::make_mut(local);
    let turn = local.targets.len();
    local.version.0 += 1;
    let target = table::Target {
        service: announced.service.parse().unwrap(),
        address: announced.address.parse().unwrap(),
        incarnation: announced.incarnation,
        slots: id::Slots(announced.slots.get()),
        connections: announced.connections.get(),
        checks_tokens: announced.checks_tokens,
        state: table::State::Serving,
        lane: Some(hosts[turn % hosts.len()].clone()),
        standby: Some(hosts[(turn + 1) % hosts.len()].clone()),
        token: id::Token {
            generation: 0,
            version: local.version.0,
            counter: 0,
        },
        warm: 1.0,
    };
    local.targets.insert(name, target);
    true
}
