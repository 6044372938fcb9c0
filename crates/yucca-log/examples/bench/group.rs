//! Three replicas, each with one thread for its steps and one for its disk.

use std::path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use yucca_log::storage::Store;
use yucca_log::{entry, membership, node, storage};
use yucca_wire::id;

const NAMES: [&str; 3] = ["a", "b", "c"];

pub struct Event {
    pub from: usize,
    pub output: node::Output,
}

struct Process {
    inputs: mpsc::Sender<Option<node::Input>>,
    steps: thread::JoinHandle<()>,
    disk: thread::JoinHandle<u64>,
}

pub struct Group {
    folder: path::PathBuf,
    processes: Vec<Option<Process>>,
    senders: Vec<std::sync::Arc<std::sync::Mutex<mpsc::Sender<Option<node::Input>>>>>,
    events: mpsc::Receiver<Event>,
    report: mpsc::Sender<Event>,
    syncs: u64,
}

fn host(index: usize) -> id::Host {
    NAMES[index].parse().unwrap()
}

impl Group {
    pub fn start(folder: &path::Path) -> Self {
        let (report, events) = mpsc::channel();
        let senders = NAMES.iter().map(|_| {
            let (sender, _) = mpsc::channel();
            std::sync::Arc::new(std::sync::Mutex::new(sender))
        });
        let mut group = Self {
            folder: folder.into(),
            processes: NAMES.iter().map(|_| None).collect(),
            senders: senders.collect(),
            events,
            report,
            syncs: 0,
        };
        (0..NAMES.len()).for_each(|index| group.restart(index));
        group
    }

    pub fn restart(&mut self, index: usize) {
        let options = storage::file::Options {
            host: host(index),
            group: "bench".into(),
            incarnation: 1,
            quota: 1 << 32,
        };
        let folder = self.folder.join(NAMES[index]);
        let (store, recovered) = storage::file::Folder::open(&folder, &options).unwrap();
        let recovered = if recovered.image.cluster.is_none() {
            let voters = (0..NAMES.len()).map(|i| membership::Replica {
                host: host(i),
                incarnation: 1,
            });
            let members = membership::Members::new(voters);
            let bootstrapped = storage::Recovered::bootstrapped(1, entry::Cluster(1), members);
            let mut store = store;
            let image = Box::new(bootstrapped.image.clone());
            store.append(&[storage::Record::Image(image)]).unwrap();
            drop(store);
            return self.restart(index);
        } else {
            recovered
        };
        let (inputs, received) = mpsc::channel();
        *self.senders[index].lock().unwrap() = inputs.clone();
        let (work, batches) = mpsc::channel();
        let answers = inputs.clone();
        let disk = thread::spawn(move || write(store, &batches, &answers));
        let mut config = node::Config::new(host(index), "bench");
        config.seed = index as u64;
        let node = node::Node::new(config, recovered);
        let senders = self.senders.clone();
        let report = self.report.clone();
        let steps = thread::spawn(move || run(index, node, &received, &work, &senders, &report));
        self.processes[index] = Some(Process {
            inputs,
            steps,
            disk,
        });
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(process) = self.processes[index].take() {
            process.inputs.send(None).unwrap();
            process.steps.join().unwrap();
            self.syncs += process.disk.join().unwrap();
        }
    }

    /// Stops all replicas and returns how many syncs they did.
    pub fn stop(mut self) -> u64 {
        (0..NAMES.len()).for_each(|index| self.kill(index));
        self.syncs
    }

    pub fn event(&mut self) -> Event {
        self.events
            .recv_timeout(Duration::from_secs(5))
            .expect("the group is stuck")
    }

    pub fn await_leader(&mut self, not: Option<usize>) -> usize {
        loop {
            let event = self.event();
            let leads = matches!(event.output, node::Output::Lead { .. });
            if leads && Some(event.from) != not {
                return event.from;
            }
        }
    }

    pub fn propose(&self, leader: usize, request_id: u64, bytes: usize) {
        let entry = vec![7; bytes].into();
        let input = node::Input::Propose { request_id, entry };
        let process = self.processes[leader].as_ref().unwrap();
        process.inputs.send(Some(input)).unwrap();
    }
}

fn write(
    mut store: storage::file::Folder,
    batches: &mpsc::Receiver<(u64, Vec<storage::Record>)>,
    answers: &mpsc::Sender<Option<node::Input>>,
) -> u64 {
    let mut syncs = 0;
    while let Ok((upto, records)) = batches.recv() {
        store.append(&records).unwrap();
        syncs += 1;
        // The step thread may have ended.
        let _ = answers.send(Some(node::Input::Synced { upto }));
    }
    syncs
}

fn run(
    index: usize,
    mut node: node::Node,
    inputs: &mpsc::Receiver<Option<node::Input>>,
    work: &mpsc::Sender<(u64, Vec<storage::Record>)>,
    senders: &[std::sync::Arc<std::sync::Mutex<mpsc::Sender<Option<node::Input>>>>],
    report: &mpsc::Sender<Event>,
) {
    let start = Instant::now();
    loop {
        let wait = node.next_wake().saturating_sub(start.elapsed());
        let input = match inputs.recv_timeout(wait) {
            Ok(Some(input)) => input,
            Err(mpsc::RecvTimeoutError::Timeout) => node::Input::Tick,
            _ => return,
        };
        for output in node.step(input, start.elapsed()) {
            match output {
                node::Output::Send { to, message } => {
                    let to = NAMES.iter().position(|name| *name == to.as_str()).unwrap();
                    let from = host(index);
                    let input = node::Input::Message { from, message };
                    // A killed replica receives nothing.
                    let _ = senders[to].lock().unwrap().send(Some(input));
                }
                node::Output::Persist { sequence, records } => {
                    let _ = work.send((sequence, records));
                }
                node::Output::TakeSnapshot { version } => {
                    let state = bytes::Bytes::from_static(b"state");
                    let input = node::Input::Snapshot { version, state };
                    let _ = senders[index].lock().unwrap().send(Some(input));
                }
                node::Output::Proposed { .. } | node::Output::Lead { .. } => {
                    let _ = report.send(Event {
                        from: index,
                        output,
                    });
                }
                _ => {}
            }
        }
    }
}

/// Latencies of proposals.
#[derive(Default)]
pub struct Latencies {
    started: IndexMap<u64, Instant>,
    took: Vec<Duration>,
}

impl Latencies {
    pub fn start(&mut self, request_id: u64) {
        self.started.insert(request_id, Instant::now());
    }

    pub fn end(&mut self, request_id: u64) {
        if let Some(start) = self.started.swap_remove(&request_id) {
            self.took.push(start.elapsed());
        }
    }

    pub fn quantile(&mut self, share: f64) -> Duration {
        self.took.sort();
        let last = self.took.len() - 1;
        self.took[(last as f64 * share) as usize]
    }
}
