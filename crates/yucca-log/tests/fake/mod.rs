//! A seeded network and disk in virtual time, with the checks that must hold at each moment.
#![allow(dead_code, clippy::unwrap_used)]

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

/// How messages fare.
#[derive(Clone)]
pub struct Weather {
    pub delay: Duration,
    pub jitter: Duration,
    pub loss: f64,
    pub duplication: f64,
    pub sync: Duration,
}

impl Default for Weather {
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

/// One host: its process, if it runs, and its disk.
pub struct Slot {
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
    /// The state machine: a chain of checksums.
    pub state: u64,
    pub applied: id::Version,
    pub installs: u64,
    pub joining: IndexSet<membership::Replica>,
}

pub struct Net {
    pub now: Duration,
    pub slots: IndexMap<id::Host, Slot>,
    pub weather: Weather,
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
    ticket: u64,
    pub rng: ChaCha8Rng,
}

/// A state machine's state, padded with bytes that tell places apart.
fn padded(state: u64, bytes: usize) -> Vec<u8> {
    let mut padded = state.to_le_bytes().to_vec();
    padded.extend((padded.len()..bytes).map(|place| (place / 1_000) as u8));
    padded
}

pub fn replica(name: &str, incarnation: u64) -> membership::Replica {
    membership::Replica {
        host: host(name),
        incarnation,
    }
}

impl Net {
    /// A log of these voters, each with a disk.
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
            slots: IndexMap::new(),
            weather: Weather::default(),
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
            ticket: 0,
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
        let slot = Slot {
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
        };
        self.slots.insert(name.clone(), slot);
        self.start(&name);
    }

    pub fn start(&mut self, name: &id::Host) {
        let now = self.now;
        let seed = self.rng.random();
        let slot = &mut self.slots[name];
        slot.config.seed = seed;
        slot.run += 1;
        slot.started = now;
        slot.state = 0;
        slot.applied = id::Version(0);
        let recovered = storage::Recovered {
            incarnation: slot.incarnation,
            image: slot.image.clone(),
        };
        slot.node = Some(node::Node::new(slot.config.clone(), recovered));
        self.input(name, node::Input::Tick);
    }

    /// Ends a process. What was not synced is lost, or by chance only what follows it.
    pub fn crash(&mut self, name: &id::Host) {
        let landed = self.rng.random_bool(0.5);
        let slot = &mut self.slots[name];
        slot.node = None;
        slot.run += 1;
        slot.paused = None;
        if let Some((_, records)) = slot.pending.take()
            && landed
            && !slot.full
        {
            records.into_iter().for_each(|r| slot.image.apply(r));
        }
        if slot.diskless {
            slot.image = storage::Image::default();
            slot.incarnation += 1;
        }
    }

    pub fn restart(&mut self, name: &id::Host) {
        self.crash(name);
        self.start(name);
    }

    pub fn pause(&mut self, name: &id::Host) {
        self.slots[name].paused.get_or_insert_default();
    }

    pub fn resume(&mut self, name: &id::Host) {
        for input in self.slots[name].paused.take().unwrap_or_default() {
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
        self.slots.keys().cloned().collect()
    }

    pub fn node(&self, name: &id::Host) -> &node::Node {
        self.slots[name].node.as_ref().unwrap()
    }

    /// The leader of the newest term among running processes.
    pub fn leader(&self) -> Option<id::Host> {
        let running = self.slots.iter().filter(|(_, slot)| slot.paused.is_none());
        let nodes = running.filter_map(|(name, slot)| Some((name, slot.node.as_ref()?)));
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
        self.ticket += 1;
        let ticket = self.ticket;
        let entry = entry.into();
        self.proposals.insert(ticket, entry.clone());
        self.input(name, node::Input::Propose { ticket, entry });
        ticket
    }

    pub fn read(&mut self, name: &id::Host) -> u64 {
        self.ticket += 1;
        let ticket = self.ticket;
        let newest = self.acknowledged.keys().max().copied();
        self.reads_floor.insert(ticket, newest.unwrap_or_default());
        self.input(name, node::Input::Read { ticket });
        ticket
    }

    pub fn change(&mut self, change: membership::Change) -> Result<id::Version, node::Refusal> {
        let leader = self.await_leader();
        self.ticket += 1;
        let ticket = self.ticket;
        self.input(&leader, node::Input::Change { ticket, change });
        self.run_until(millis(5_000), |net| net.answers.contains_key(&ticket));
        self.answers[&ticket].clone()
    }

    /// Proposes at the leader and waits for the commit.
    pub fn commit(&mut self, entry: &str) -> id::Version {
        let leader = self.await_leader();
        let ticket = self.propose(&leader, entry.to_owned());
        self.run_until(millis(5_000), |net| net.answers.contains_key(&ticket));
        self.answers[&ticket].clone().unwrap()
    }

    pub fn input(&mut self, name: &id::Host, input: node::Input) {
        let now = self.now;
        let slot = &mut self.slots[name];
        if let Some(held) = &mut slot.paused {
            if held.len() < 1_000 {
                held.push(input);
            }
            return;
        }
        let Some(node) = &mut slot.node else {
            return;
        };
        let outputs = node.step(input, now - slot.started);
        let wake = slot.started + node.next_wake();
        let run = slot.run;
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
            node::Output::Proposed { ticket, result } => self.proposed(ticket, result),
            node::Output::ReadReady { ticket, version } => self.read_ready(name, ticket, version),
            node::Output::ReadRefused { ticket, refusal } => {
                self.reads.insert(ticket, Err(refusal));
            }
            node::Output::Lead { term } => {
                let replica = self.node(name).replica().clone();
                let other = self.leaders.insert(term, replica.clone());
                assert_eq!(other, None, "two leaders in term {term}");
            }
            node::Output::TakeSnapshot { .. } => self.take_snapshot(name),
            node::Output::Joining { replica } => {
                self.slots[name].joining.insert(replica);
            }
            node::Output::Follow { .. } | node::Output::Members(_) => {}
        }
    }

    fn send(&mut self, from: &id::Host, to: id::Host, message: message::Message) {
        self.sent += 1;
        let cut = self.cuts.contains(&(from.clone(), to.clone()));
        if cut || !self.slots.contains_key(&to) {
            return;
        }
        let weather = self.weather.clone();
        let copies = 1 + u32::from(self.rng.random_bool(weather.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(weather.loss) {
                continue;
            }
            let at = self.now + weather.delay + weather.jitter.mul_f64(self.rng.random());
            let message = message.clone();
            let from = from.clone();
            let input = node::Input::Message { from, message };
            self.push(at, Event::Input(to.clone(), 0, input));
        }
    }

    fn persist(&mut self, name: &id::Host, sequence: u64, records: Vec<storage::Record>) {
        self.appends += 1;
        let sync = self.weather.sync.mul_f64(self.rng.random_range(0.3..3.0));
        let slot = &mut self.slots[name];
        slot.pending = Some((sequence, records));
        let run = slot.run;
        let at = self.now + sync;
        self.push(at, Event::Synced(name.clone(), run, sequence));
    }

    fn finish_sync(&mut self, name: &id::Host, sequence: u64) {
        let slot = &mut self.slots[name];
        if slot.full {
            self.input(name, node::Input::Full { sequence });
            return;
        }
        if let Some((_, records)) = slot.pending.take_if(|(s, _)| *s == sequence) {
            records.into_iter().for_each(|r| slot.image.apply(r));
        }
        self.input(name, node::Input::Synced { upto: sequence });
    }

    fn apply(&mut self, name: &id::Host, version: id::Version, entry: Bytes) {
        let slot = &mut self.slots[name];
        assert!(slot.applied < version, "{name} applied {version} twice");
        slot.applied = version;
        let mut chained = slot.state.to_le_bytes().to_vec();
        chained.extend_from_slice(&entry);
        slot.state = u64::from(crc32fast::hash(&chained)) | (version.0 << 32);
        let state = slot.state;
        let known = self
            .history
            .entry(version)
            .or_insert((entry.clone(), state));
        assert_eq!(known, &(entry, state), "{name} diverged at {version}");
    }

    fn install(&mut self, name: &id::Host, version: id::Version, bytes: &[u8]) {
        let slot = &mut self.slots[name];
        assert!(slot.applied <= version, "{name} went back to {version}");
        slot.state = u64::from_le_bytes(bytes[..8].try_into().unwrap());
        slot.applied = version;
        slot.installs += 1;
        let whole = bytes == padded(slot.state, self.state_bytes);
        assert!(whole, "{name} got another state");
    }

    fn take_snapshot(&mut self, name: &id::Host) {
        let slot = &mut self.slots[name];
        let state = padded(slot.state, self.state_bytes);
        let version = slot.applied;
        let state = Bytes::from(state);
        self.input(name, node::Input::Snapshot { version, state });
    }

    fn proposed(&mut self, ticket: u64, result: Result<id::Version, node::Refusal>) {
        if let (Ok(version), Some(entry)) = (&result, self.proposals.get(&ticket)) {
            self.acknowledged.insert(*version, entry.clone());
        }
        let other = self.answers.insert(ticket, result);
        assert_eq!(other, None, "ticket {ticket} was answered twice");
    }

    fn read_ready(&mut self, name: &id::Host, ticket: u64, version: id::Version) {
        let floor = self.reads_floor[&ticket];
        assert!(
            version >= floor,
            "stale read at {name}: {version} < {floor}"
        );
        let applied = self.node(name).applied();
        assert!(applied >= version, "read before {version} was applied");
        self.reads.insert(ticket, Ok(version));
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Runs until the condition holds, at most for the given time; returns how long it took.
    pub fn run_until(&mut self, most: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            let due = self.events.peek().map(|due| due.0.0);
            let Some(at) = due.filter(|at| *at <= start + most) else {
                self.now = start + most;
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
                if self.slots[&name].run == run {
                    self.finish_sync(&name, sequence);
                }
            }
            Event::Wake(name, run) => {
                let slot = &self.slots[&name];
                let Some(node) = slot.node.as_ref().filter(|_| slot.run == run) else {
                    return;
                };
                if slot.paused.is_none() && slot.started + node.next_wake() <= self.now {
                    self.input(&name, node::Input::Tick);
                }
            }
        }
    }

    /// Heals everything and checks that all replicas agree and nothing acknowledged is lost.
    pub fn settle(&mut self) {
        self.weather = Weather::default();
        self.heal();
        for name in self.names() {
            self.slots[&name].full = false;
            self.resume(&name);
            if self.slots[&name].node.is_none() {
                self.start(&name);
            }
        }
        self.run(millis(3_000));
        let last = self.commit("settled");
        self.run(millis(1_000));
        let leader = self.leader().unwrap();
        let members = self.node(&leader).members().clone();
        for (name, slot) in &self.slots {
            if members.contains(slot.node.as_ref().unwrap().replica()) {
                assert_eq!(slot.applied, last, "{name} lags");
            }
        }
        for (version, entry) in &self.acknowledged {
            assert_eq!(&self.history[version].0, entry, "{version} was lost");
        }
    }
}
