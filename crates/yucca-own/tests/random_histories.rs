//! Random histories of faults with lost, repeated and late commands. Invariants: a shard has one
//! owner, tokens rise, deltas yield the same state as snapshots, and accepted tickets are final.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{BASE, Host, World, name};
use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner;
use yucca_own::{delta, domain, global};
use yucca_wire::{id, table};

const CASES: u32 = 48;
const SEED: [u8; 32] = [7; 32];

#[derive(Debug, Clone)]
enum Event {
    Run(u8),
    Silent(usize, usize),
    Answering(usize, usize),
    Restart(usize, usize),
    Drain(usize, Vec<usize>),
    Pin(u8, usize, usize),
    HostDown(usize, usize),
    HostUp(usize, usize),
    Stop(usize, usize),
    Cut(usize),
    Heal(usize),
    NewLeader(usize),
    NewGlobalLeader,
    Restore(usize),
    Repeat(usize, usize),
    Ticket(u8, u8),
}

fn event() -> impl Strategy<Value = Event> {
    let domain = || 0..3usize;
    let at = || 0..3usize;
    prop_oneof![
        6 => (1..25u8).prop_map(Event::Run),
        2 => (domain(), at()).prop_map(|(d, t)| Event::Silent(d, t)),
        2 => (domain(), at()).prop_map(|(d, t)| Event::Answering(d, t)),
        1 => (domain(), at()).prop_map(|(d, t)| Event::Restart(d, t)),
        1 => (domain(), prop::collection::vec(at(), 0..2)).prop_map(|(d, t)| Event::Drain(d, t)),
        2 => (0..4u8, domain(), at()).prop_map(|(k, d, t)| Event::Pin(k, d, t)),
        1 => (domain(), at()).prop_map(|(d, h)| Event::HostDown(d, h)),
        2 => (domain(), at()).prop_map(|(d, h)| Event::HostUp(d, h)),
        1 => (domain(), at()).prop_map(|(d, h)| Event::Stop(d, h)),
        1 => domain().prop_map(Event::Cut),
        2 => domain().prop_map(Event::Heal),
        1 => domain().prop_map(Event::NewLeader),
        1 => Just(Event::NewGlobalLeader),
        1 => domain().prop_map(Event::Restore),
        3 => (domain(), 0..64usize).prop_map(|(d, n)| Event::Repeat(d, n)),
        3 => (2..12u8, 0..3u8).prop_map(|(n, c)| Event::Ticket(n, c)),
    ]
}

struct History {
    world: World,
    /// Number of the last ticket that a pin or drain event submitted.
    number: u64,
    accepted: IndexMap<id::Ticket, (String, global::Reply)>,
    held: Vec<Arc<table::Local>>,
    held_global: Arc<table::Global>,
}

const DOMAINS: [&str; 3] = ["a", "b", "c"];

impl History {
    fn new() -> Self {
        let text = BASE.replace(
            "deadline = \"1s\"",
            "deadline = \"1s\"\non_cut = { move_after = \"5s\" }",
        );
        let mut world = World::new(&text);
        for domain in DOMAINS {
            world.add_targets(domain, "desk", 3);
        }
        let held = world
            .domains
            .values()
            .map(|domain| domain.state.table())
            .collect();
        let held_global = world.global.table();
        Self {
            world,
            number: 100,
            accepted: IndexMap::new(),
            held,
            held_global,
        }
    }

    fn submit(&mut self, text: &str) {
        let number = common::checked(text).number;
        let reply = self.world.submit(text);
        match self.accepted.get(&number) {
            Some((first, answer)) if first == text => assert_eq!(&reply, answer, "{text}"),
            Some(_) => assert!(matches!(
                reply,
                global::Reply::Refused {
                    existing: Some(_),
                    ..
                }
            )),
            None => {
                if matches!(reply, global::Reply::Accepted { .. }) {
                    self.accepted.insert(number, (text.into(), reply));
                }
            }
        }
    }

    fn act(&mut self, event: &Event) {
        let target = |d: &usize, t: &usize| format!("{}-desk-{t}", DOMAINS[*d]);
        let host = |d: &usize, h: &usize| format!("{}{}", DOMAINS[*d], h + 1);
        let now = self.world.now;
        match event {
            Event::Run(ticks) => self.world.run(common::TICK * u32::from(*ticks)),
            Event::Silent(d, t) => {
                self.world.domain(DOMAINS[*d]).target(&target(d, t)).silent = true
            }
            Event::Answering(d, t) => {
                self.world.domain(DOMAINS[*d]).target(&target(d, t)).silent = false
            }
            Event::Restart(d, t) => {
                self.world
                    .domain(DOMAINS[*d])
                    .target(&target(d, t))
                    .announce
                    .incarnation += 1;
            }
            Event::Drain(d, targets) => {
                let drained: Vec<_> = targets
                    .iter()
                    .map(|t| format!("{:?}", target(d, t)))
                    .collect();
                self.number += 1;
                let number = self.number;
                self.submit(&format!(
                    "number = {number}\ndrains.desk = [{}]",
                    drained.join(",")
                ));
            }
            Event::Pin(key, d, t) => {
                self.number += 1;
                let number = self.number;
                self.submit(&format!(
                    "number = {number}\npins.desk.k{key} = {:?}",
                    target(d, t)
                ));
            }
            Event::HostDown(d, h) => self.world.domain(DOMAINS[*d]).host(&host(d, h)).up = false,
            Event::HostUp(d, h) => {
                let known = self.world.domain(DOMAINS[*d]).host(&host(d, h));
                if !known.up || known.stopping {
                    *known = Host::new(known.incarnation + 1);
                }
            }
            Event::Stop(d, h) => self.world.domain(DOMAINS[*d]).host(&host(d, h)).stopping = true,
            Event::Cut(d) => self.world.domain(DOMAINS[*d]).connected = false,
            Event::Heal(d) => self.world.domain(DOMAINS[*d]).connected = true,
            Event::NewLeader(d) => {
                self.world.domain(DOMAINS[*d]).evidence = domain::Evidence::new(now);
            }
            Event::NewGlobalLeader => self.world.evidence = global::Evidence::new(now),
            Event::Restore(d) => {
                let domain = self.world.domain(DOMAINS[*d]);
                let bytes = rmp_serde::to_vec(&domain.state).unwrap();
                let restored: domain::State = rmp_serde::from_slice(&bytes).unwrap();
                assert_eq!(restored, domain.state);
                domain.state = restored;
                let bytes = rmp_serde::to_vec(&self.world.global).unwrap();
                self.world.global = rmp_serde::from_slice(&bytes).unwrap();
            }
            Event::Repeat(d, n) => {
                // An applied command arrives again, late.
                let domain = self.world.domain(DOMAINS[*d]);
                if !domain.applied.is_empty() {
                    let command = domain.applied[n % domain.applied.len()].clone();
                    domain.propose(command, now);
                }
            }
            Event::Ticket(number, content) => {
                self.submit(&format!(
                    "number = {number}\npins.desk.t{number} = \"t{content}\""
                ));
            }
        }
        self.check();
    }

    fn check(&mut self) {
        for (index, domain) in self.world.domains.values().enumerate() {
            let newest = domain.state.table();
            let change = delta::diff(Some(&*self.held[index]), &*newest);
            let applied = delta::apply(Some(&*self.held[index]), change).unwrap();
            assert_eq!(applied, *newest);
            self.held[index] = Arc::new(applied);
        }
        let newest = self.world.global.table();
        assert!(newest.version >= self.held_global.version);
        let change = delta::diff(Some(&*self.held_global), &*newest);
        assert_eq!(
            delta::apply(Some(&*self.held_global), change).unwrap(),
            *newest
        );
        self.held_global = newest;
    }

    /// Ends all faults and checks that shards are served and that accepted tickets are unchanged.
    fn settle(&mut self) {
        for domain in DOMAINS {
            let domain = self.world.domain(domain);
            domain.connected = true;
            for target in domain.targets.values_mut() {
                target.silent = false;
            }
            for host in domain
                .hosts
                .values_mut()
                .filter(|host| !host.up || host.stopping)
            {
                *host = Host::new(host.incarnation + 1);
            }
        }
        self.submit("number = 99\ndrains.desk = []");
        self.world.run(Duration::from_secs(30));
        let served = self.world.served("desk");
        assert!(served >= 60, "{served} of 64 shards are served");
        for (text, _) in self.accepted.clone().values() {
            self.submit(text);
        }
        for domain in self.world.domains.values() {
            let table = domain.state.table();
            assert!(table.targets.values().all(|target| target.lane.is_some()));
        }
        let service: id::Service = name("desk");
        assert!(self.world.global.table().homes.contains_key(&service));
    }
}

#[test]
fn histories_keep_the_invariants() {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &SEED);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 1..60);
    let outcome = runner.run(&events, |events| {
        let mut history = History::new();
        for event in &events {
            history.act(event);
        }
        history.settle();
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
