//! A simulated network and disks in virtual time, driven by a seed, which check the invariants of
//! the log after each output.
#![allow(dead_code, clippy::unwrap_used)]

pub mod upkeep;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yucca_log::{entry, membership, message, node, storage};
use yucca_wire::id;

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn host(name: &str) -> id::Host {
    name.parse().unwrap()
}

/// Conditions of the network and the disks.
#[derive(Clone)]
pub struct Conditions {
    pub delay: Duration,
    pub jitter: Duration,
    pub loss: f64,
    pub duplication: f64,
    pub sync: Duration,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            delay: Duration::from_micros(500),
            jitter: Duration::from_micros(100),
            loss: 0.0,
            duplication: 0.0,
            sync: Duration::from_micros(800),
        }
    }
}

#[derive(Clone, PartialEq, Eq)]
enum Event {
    Input(id::Host, u64, node::Input),
    Synced(id::Host, u64, u64),
    Wake(id::Host, u64),
}

struct Due(Duration, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A simulated host: its process, if it is running, and its disk.
pub struct Host {
    pub node: Option<node::Node>,
    pub config: node::Config,
    pub incarnation: u64,
    pub diskless: bool,
    pub full: bool,
    pub image: storage::Image,
    pub pending: Option<(u64, Vec<storage::Record>)>,
    pub paused: Option<Vec<node::Input>>,
    started: Duration,
    run: u64,
    /// The state machine's state: a chain of checksums of the applied entries.
    pub state: u64,
    pub applied: id::Version,
    pub installs: u64,
    pub joining: IndexSet<membership::Replica>,
    pub leaving: IndexSet<membership::Replica>,
    pub left: bool,
}

pub struct Net {
    pub now: Duration,
    pub hosts: IndexMap<id::Host, Host>,
    pub conditions: Conditions,
    pub cuts: IndexSet<(id::Host, id::Host)>,
    pub leaders: IndexMap<entry::Term, membership::Replica>,
    pub history: IndexMap<id::Version, (Bytes, u64)>,
    pub answers: IndexMap<u64, Result<id::Version, node::Refusal>>,
    pub reads: IndexMap<u64, Result<id::Version, node::Refusal>>,
    pub acknowledged: IndexMap<id::Version, Bytes>,
    pub proposals: IndexMap<u64, Bytes>,
    pub state_bytes: usize,
    pub sent: u64,
    pub appends: u64,
    reads_floor: IndexMap<u64, id::Version>,
    events: BinaryHeap<Reverse<Due>>,
    sequence: u64,
    request_id: u64,
    pub rng: ChaCha8Rng,
}

/// Encodes a state, padded with bytes that depend on their offset.
fn padded(state: u64, bytes: usize) -> Vec<u8> {
    let mut padded = state.to_le_bytes().to_vec();
    padded.extend((padded.len()..bytes).map(|offset| (offset / 1_000) as u8));
    padded
}

pub fn replica(name: &str, incarnation: u64) -> membership::Replica {
    membership::Replica {
        host: host(name),
        incarnation,
    }
}

impl Net {
    /// Returns a bootstrapped log of these voters, each with a disk.
    pub fn new(names: &[&str], seed: u64) -> Self {
        let mut net = Self::empty(seed);
        let voters = names.iter().map(|name| replica(name, 1));
        let members = membership::Members::new(voters);
        for name in names {
            let recovered = storage::Recovered::bootstrapped(1, entry::Cluster(7), members.clone());
            net.add(name, recovered, false);
        }
        net
    }

    pub fn empty(seed: u64) -> Self {
        Self {
            now: millis(0),
            hosts: IndexMap::new(),
            conditions: Conditions::default(),
            cuts: IndexSet::new(),
            leaders: IndexMap::new(),
            history: IndexMap::new(),
            answers: IndexMap::new(),
            reads: IndexMap::new(),
            acknowledged: IndexMap::new(),
            proposals: IndexMap::new(),
            state_bytes: 8,
            sent: 0,
            appends: 0,
            reads_floor: IndexMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            request_id: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn add(&mut self, name: &str, recovered: storage::Recovered, diskless: bool) {
        let mut config = node::Config::new(host(name), "test");
        config.seed = self.rng.random();
        config.snapshot_entries = 50;
        config.keep_entries = 10;
        self.add_with(config, recovered, diskless);
    }

    pub fn add_with(
        &mut self,
        config: node::Config,
        recovered: storage::Recovered,
        diskless: bool,
    ) {
        let name = config.id.clone();
        let host = Host {
            node: None,
            config,
            incarnation: recovered.incarnation,
            diskless,
            full: false,
            image: recovered.image,
            pending: None,
            paused: None,
            started: self.now,
            run: 0,
            state: 0,
            applied: id::Version(0),
            installs: 0,
            joining: IndexSet::new(),
            leaving: IndexSet::new(),
            left: false,
        };
        self.hosts.insert(name.clone(), host);
        self.start(&name);
    }

    pub fn start(&mut self, name: &id::Host) {
        let now = self.now;
        let seed = self.rng.random();
        let host = &mut self.hosts[name];
        host.config.seed = seed;
        host.run += 1;
        host.started = now;
        host.state = 0;
        host.applied = id::Version(0);
        let recovered = storage::Recovered {
            incarnation: host.incarnation,
            image: host.image.clone(),
        };
        host.node = Some(node::Node::new(host.config.clone(), recovered));
        self.input(name, node::Input::Tick);
    }

    /// Ends a process. Unsynced records are lost or, at random, written anyway.
    pub fn crash(&mut self, name: &id::Host) {
        let landed = self.rng.random_bool(0.5);
        let host = &mut self.hosts[name];
        host.node = None;
        host.run += 1;
        host.paused = None;
        if let Some((_, records)) = host.pending.take()
            && landed
            && !host.full
        {
            records.into_iter().for_each(|r| host.image.apply(r));
        }
        if host.diskless {
            host.image = storage::Image::default();
            host.incarnation += 1;
        }
    }

    pub fn restart(&mut self, name: &id::Host) {
        self.crash(name);
        self.start(name);
    }

    pub fn pause(&mut self, name: &id::Host) {
        self.hosts[name].paused.get_or_insert_default();
    }

    pub fn resume(&mut self, name: &id::Host) {
        for input in self.hosts[name].paused.take().unwrap_or_default() {
            self.input(name, input);
        }
        self.input(name, node::Input::Tick);
    }

    pub fn cut_one_way(&mut self, from: &id::Host, to: &id::Host) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    pub fn cut(&mut self, one: &id::Host, other: &id::Host) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    pub fn isolate(&mut self, name: &id::Host) {
        for other in self.names() {
            if other != *name {
                self.cut(name, &other);
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn names(&self) -> Vec<id::Host> {
        self.hosts.keys().cloned().collect()
    }

    pub fn node(&self, name: &id::Host) -> &node::Node {
        self.hosts[name].node.as_ref().unwrap()
    }

    /// Returns the leader of the newest term among running processes.
    pub fn leader(&self) -> Option<id::Host> {
        let running = self.hosts.iter().filter(|(_, host)| host.paused.is_none());
        let nodes = running.filter_map(|(name, host)| Some((name, host.node.as_ref()?)));
        let leaders = nodes.filter(|(_, node)| node.role() == node::Role::Leader);
        let newest = leaders.max_by_key(|(_, node)| node.term());
        newest.map(|(name, _)| name.clone())
    }

    pub fn await_leader(&mut self) -> id::Host {
        self.run_until(millis(5_000), |net| net.leader().is_some());
        self.leader().unwrap()
    }

    pub fn followers(&self) -> Vec<id::Host> {
        let leader = self.leader();
        let mut names = self.names();
        names.retain(|name| Some(name) != leader.as_ref());
        names
    }

    pub fn propose(&mut self, name: &id::Host, entry: impl Into<Bytes>) -> u64 {
        self.request_id += 1;
        let request_id = self.request_id;
        let entry = entry.into();
        self.proposals.insert(request_id, entry.clone());
        self.input(name, node::Input::Propose { request_id, entry });
        request_id
    }

    pub fn read(&mut self, name: &id::Host) -> u64 {
        self.request_id += 1;
        let request_id = self.request_id;
        let newest = self.acknowledged.keys().max().copied();
        self.reads_floor
            .insert(request_id, newest.unwrap_or_default());
        self.input(name, node::Input::Read { request_id });
        request_id
    }

    pub fn change(&mut self, change: membership::Change) -> Result<id::Version, node::Refusal> {
        let leader = self.await_leader();
        self.request_id += 1;
        let request_id = self.request_id;
        self.input(&leader, node::Input::Change { request_id, change });
        self.run_until(millis(5_000), |net| net.answers.contains_key(&request_id));
        self.answers[&request_id].clone()
    }

    /// Proposes a membership change to a leader without waiting for the answer.
    pub fn start_change(&mut self, leader: &id::Host, change: membership::Change) {
        self.request_id += 1;
        let request_id = self.request_id;
        self.input(leader, node::Input::Change { request_id, change });
    }

    /// Proposes an entry to the leader and waits for its commit.
    pub fn commit(&mut self, entry: &str) -> id::Version {
        let leader = self.await_leader();
        let request_id = self.propose(&leader, entry.to_owned());
        self.run_until(millis(5_000), |net| net.answers.contains_key(&request_id));
        self.answers[&request_id].clone().unwrap()
    }

    pub fn input(&mut self, name: &id::Host, input: node::Input) {
        let now = self.now;
        let host = &mut self.hosts[name];
        if let Some(held) = &mut host.paused {
            if held.len() < 1_000 {
                held.push(input);
            }
            return;
        }
        let Some(node) = &mut host.node else {
            return;
        };
        let outputs = node.step(input, now - host.started);
        let wake = host.started + node.next_wake();
        let run = host.run;
        let at = wake.max(now + Duration::from_micros(1));
        self.push(at, Event::Wake(name.clone(), run));
        for output in outputs {
            self.output(name, output);
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Due(at, self.sequence, event)));
    }

    fn output(&mut self, name: &id::Host, output: node::Output) {
        match output {
            node::Output::Send { to, message } => self.send(name, to, message),
            node::Output::Persist { sequence, records } => self.persist(name, sequence, records),
            node::Output::Apply { version, entry } => self.apply(name, version, entry),
            node::Output::Install { version, state } => self.install(name, version, &state),
            node::Output::Proposed { request_id, result } => self.proposed(request_id, result),
            node::Output::ReadReady {
                request_id,
                version,
            } => self.read_ready(name, request_id, version),
            node::Output::ReadRefused {
                request_id,
                refusal,
            } => {
                self.reads.insert(request_id, Err(refusal));
            }
            node::Output::Lead { term } => {
                let replica = self.node(name).replica().clone();
                let other = self.leaders.insert(term, replica.clone());
                assert_eq!(other, None, "two leaders in term {term}");
            }
            node::Output::TakeSnapshot { .. } => self.take_snapshot(name),
            node::Output::Leaving { replica } => {
                self.hosts[name].leaving.insert(replica);
            }
            node::Output::Left => self.hosts[name].left = true,
            node::Output::Joining { replica } => {
                self.hosts[name].joining.insert(replica);
            }
            node::Output::Follow { .. } | node::Output::Members(_) => {}
        }
    }

    fn send(&mut self, from: &id::Host, to: id::Host, message: message::Message) {
        self.sent += 1;
        let cut = self.cuts.contains(&(from.clone(), to.clone()));
        if cut || !self.hosts.contains_key(&to) {
            return;
        }
        let conditions = self.conditions.clone();
        let copies = 1 + u32::from(self.rng.random_bool(conditions.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(conditions.loss) {
                continue;
            }
            let at = self.now + conditions.delay + conditions.jitter.mul_f64(self.rng.random());
            let message = message.clone();
            let from = from.clone();
            let input = node::Input::Message { from, message };
            self.push(at, Event::Input(to.clone(), 0, input));
        }
    }

    fn persist(&mut self, name: &id::Host, sequence: u64, records: Vec<storage::Record>) {
        self.appends += 1;
        let sync = self
            .conditions
            .sync
            .mul_f64(self.rng.random_range(0.3..3.0));
        let host = &mut self.hosts[name];
        host.pending = Some((sequence, records));
        let run = host.run;
        let at = self.now + sync;
        self.push(at, Event::Synced(name.clone(), run, sequence));
    }

    fn finish_sync(&mut self, name: &id::Host, sequence: u64) {
        let host = &mut self.hosts[name];
        if host.full {
            self.input(name, node::Input::Full { sequence });
            return;
        }
        if let Some((_, records)) = host.pending.take_if(|(s, _)| *s == sequence) {
            records.into_iter().for_each(|r| host.image.apply(r));
        }
        self.input(name, node::Input::Synced { upto: sequence });
    }

    fn apply(&mut self, name: &id::Host, version: id::Version, entry: Bytes) {
        let host = &mut self.hosts[name];
        assert!(host.applied < version, "{name} applied {version} twice");
        host.applied = version;
        let mut chained = host.state.to_le_bytes().to_vec();
        chained.extend_from_slice(&entry);
        host.state = u64::from(crc32fast::hash(&chained)) | (version.0 << 32);
        let state = host.state;
        let known = self
            .history
            .entry(version)
            .or_insert((entry.clone(), state));
        assert_eq!(known, &(entry, state), "{name} diverged at {version}");
    }

    fn install(&mut self, name: &id::Host, version: id::Version, bytes: &[u8]) {
        let host = &mut self.hosts[name];
        assert!(host.applied <= version, "{name} went back to {version}");
        host.state = u64::from_le_bytes(bytes[..8].try_into().unwrap());
        host.applied = version;
        host.installs += 1;
        let matches = bytes == padded(host.state, self.state_bytes);
        assert!(matches, "{name} received a different state");
    }

    fn take_snapshot(&mut self, name: &id::Host) {
        let host = &mut self.hosts[name];
        let state = padded(host.state, self.state_bytes);
        let version = host.applied;
        let state = Bytes::from(state);
        self.input(name, node::Input::Snapshot { version, state });
    }

    fn proposed(&mut self, request_id: u64, result: Result<id::Version, node::Refusal>) {
        if let (Ok(version), Some(entry)) = (&result, self.proposals.get(&request_id)) {
            self.acknowledged.insert(*version, entry.clone());
        }
        let other = self.answers.insert(request_id, result);
        assert_eq!(other, None, "request {request_id} was answered twice");
    }

    fn read_ready(&mut self, name: &id::Host, request_id: u64, version: id::Version) {
        let floor = self.reads_floor[&request_id];
        assert!(
            version >= floor,
            "stale read at {name}: {version} < {floor}"
        );
        let applied = self.node(name).applied();
        assert!(applied >= version, "read before {version} was applied");
        self.reads.insert(request_id, Ok(version));
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Runs until the condition holds, or for the given time. Returns the virtual time that passed.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            let due = self.events.peek().map(|due| due.0.0);
            let Some(at) = due.filter(|at| *at <= start + limit) else {
                self.now = start + limit;
                break;
            };
            self.now = self.now.max(at);
            let Some(Reverse(Due(_, _, event))) = self.events.pop() else {
                break;
            };
            self.handle(event);
        }
        self.now - start
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Input(name, _, input) => self.input(&name, input),
            Event::Synced(name, run, sequence) => {
                if self.hosts[&name].run == run {
                    self.finish_sync(&name, sequence);
                }
            }
            Event::Wake(name, run) => {
                let host = &self.hosts[&name];
                let Some(node) = host.node.as_ref().filter(|_| host.run == run) else {
                    return;
                };
                if host.paused.is_none() && host.started + node.next_wake() <= self.now {
                    self.input(&name, node::Input::Tick);
                }
            }
        }
    }

    /// Repairs all faults and checks that all members agree and no acknowledged entry is lost.
    pub fn settle(&mut self) {
        self.conditions = Conditions::default();
        self.heal();
        for name in self.names() {
            self.hosts[&name].full = false;
            self.resume(&name);
            if self.hosts[&name].node.is_none() {
                self.start(&name);
            }
        }
        self.run(millis(3_000));
        let last = self.commit("settled");
        self.run(millis(1_000));
        let leader = self.leader().unwrap();
        let members = self.node(&leader).members().clone();
        for (name, host) in &self.hosts {
            if members.contains(host.node.as_ref().unwrap().replica()) {
                assert_eq!(host.applied, last, "{name} lags");
            }
        }
        for (version, entry) in &self.acknowledged {
            assert_eq!(&self.history[version].0, entry, "{version} was lost");
        }
    }
}
