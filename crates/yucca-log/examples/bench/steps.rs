//! Cost of single steps, without threads or disks.

use std::time::{Duration, Instant};

use yucca_log::{entry, membership, message, node, storage};
use yucca_wire::id;

const NAMES: [&str; 5] = ["host-1", "host-2", "host-3", "host-4", "host-5"];
const HEARTBEATS: u32 = 20_000;
const ENTRIES: u64 = 10_000;
const ENTRY_BYTES: usize = 200;
const STATE_BYTES: usize = 1 << 20;

/// Five replicas whose messages and syncs take no time.
struct Local {
    nodes: Vec<node::Node>,
    now: Duration,
    /// Total encoded size of the messages sent, in bytes.
    bytes: u64,
    /// Number of messages sent.
    messages: u64,
    last_records: Vec<storage::Record>,
    spent: Duration,
}

fn host(index: usize) -> id::Host {
    NAMES[index].parse().unwrap()
}

impl Local {
    fn new() -> Self {
        let voters = (0..NAMES.len()).map(|i| membership::Replica {
            host: host(i),
            incarnation: u64::MAX - i as u64,
        });
        let members = membership::Members::new(voters);
        let nodes = (0..NAMES.len()).map(|i| {
            let mut config = node::Config::new(host(i), "bench");
            config.snapshot_entries = u64::MAX;
            let incarnation = u64::MAX - i as u64;
            let cluster = entry::Cluster(u64::MAX);
            let start = storage::Recovered::bootstrapped(incarnation, cluster, members.clone());
            node::Node::new(config, start)
        });
        let mut local = Self {
            nodes: nodes.collect(),
            now: Duration::from_secs(1),
            bytes: 0,
            messages: 0,
            last_records: Vec::new(),
            spent: Duration::ZERO,
        };
        local.input(0, node::Input::Campaign);
        local
    }

    fn input(&mut self, to: usize, input: node::Input) {
        let mut inputs = std::collections::VecDeque::from([(to, input)]);
        while let Some((at, input)) = inputs.pop_front() {
            let start = Instant::now();
            let outputs = self.nodes[at].step(input, self.now);
            self.spent += start.elapsed();
            for output in outputs {
                match output {
                    node::Output::Send { to, message } => {
                        let to = NAMES.iter().position(|n| *n == to.as_str()).unwrap();
                        self.count(&message);
                        let from = host(at);
                        inputs.push_back((to, node::Input::Message { from, message }));
                    }
                    node::Output::Persist { sequence, records } => {
                        self.last_records = records;
                        let upto = sequence;
                        inputs.push_back((at, node::Input::Synced { upto }));
                    }
                    _ => {}
                }
            }
        }
    }

    fn count(&mut self, message: &message::Message) {
        self.bytes += rmp_serde::to_vec(message).unwrap().len() as u64;
        self.messages += 1;
    }
}

pub fn heartbeats() {
    let mut local = Local::new();
    assert_eq!(local.nodes[0].role(), node::Role::Leader);
    (local.bytes, local.messages, local.spent) = (0, 0, Duration::ZERO);
    for _ in 0..HEARTBEATS {
        local.now += Duration::from_millis(70);
        local.input(0, node::Input::Tick);
    }
    let steps = f64::from(HEARTBEATS) * (1.0 + 2.0 * 4.0);
    let micros = local.spent.as_secs_f64() * 1e6;
    println!(
        "heartbeat of 5 voters: {:.1} B a message, {:.0} B a round, {:.2} us a step, {:.1} us a round at all five",
        local.bytes as f64 / local.messages as f64,
        local.bytes as f64 / f64::from(HEARTBEATS),
        micros / steps,
        micros / f64::from(HEARTBEATS),
    );
}

pub fn memory() {
    let mut local = Local::new();
    let before = local.nodes[0].bytes();
    let entry = bytes::Bytes::from(vec![7; ENTRY_BYTES]);
    for request_id in 0..ENTRIES {
        let entry = entry.clone();
        local.input(0, node::Input::Propose { request_id, entry });
    }
    let bytes = local.nodes[0].bytes() - before;
    println!(
        "an entry of {ENTRY_BYTES} B takes {} B in memory; one proposal costs {:.1} us at all five",
        bytes as u64 / ENTRIES,
        local.spent.as_secs_f64() * 1e6 / ENTRIES as f64,
    );
}

pub fn snapshot() {
    let mut local = Local::new();
    let entry = bytes::Bytes::from(vec![7; ENTRY_BYTES]);
    for request_id in 0..ENTRIES {
        let entry = entry.clone();
        local.input(0, node::Input::Propose { request_id, entry });
    }
    let version = local.nodes[0].applied();
    let state = bytes::Bytes::from(vec![1; STATE_BYTES]);
    let start = Instant::now();
    local.input(0, node::Input::Snapshot { version, state });
    let took = start.elapsed();
    let stored = rmp_serde::to_vec(&local.last_records).unwrap().len();
    println!(
        "a snapshot of {STATE_BYTES} B with the retained entries takes {stored} B on disk, {took:?} to make; {} B stay in memory",
        local.nodes[0].bytes(),
    );
}
