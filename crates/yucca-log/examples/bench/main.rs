//! Measures the replicated log: three replicas in one process, with synced files and in-memory
//! messages.
//!
//! `cargo run --release --package yucca-log --example bench [folder]`
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod group;
mod steps;

use std::time::{Duration, Instant};

use yucca_log::node;

const ENTRY_BYTES: usize = 200;
const LOAD: Duration = Duration::from_secs(4);
const ELECTIONS: usize = 20;

fn main() {
    let folder = std::env::args().nth(1).map(std::path::PathBuf::from);
    let fresh = tempfile::tempdir().unwrap();
    let folder = folder.unwrap_or_else(|| fresh.path().into());
    for outstanding in [1, 16, 256, 4096] {
        throughput(&folder.join(format!("load-{outstanding}")), outstanding);
    }
    elections(&folder.join("elections"));
    steps::heartbeats();
    steps::memory();
    steps::snapshot();
}

fn throughput(folder: &std::path::Path, outstanding: u64) {
    let mut group = group::Group::start(folder);
    let leader = group.await_leader(None);
    let start = Instant::now();
    let mut latencies = group::Latencies::default();
    let mut committed = 0_u64;
    let mut next = 0;
    while next < outstanding {
        group.propose(leader, next, ENTRY_BYTES);
        latencies.start(next);
        next += 1;
    }
    while start.elapsed() < LOAD {
        let event = group.event();
        if let node::Output::Proposed { request_id, result } = event.output {
            result.unwrap();
            committed += 1;
            latencies.end(request_id);
            group.propose(leader, next, ENTRY_BYTES);
            latencies.start(next);
            next += 1;
        }
    }
    let rate = committed as f64 / start.elapsed().as_secs_f64();
    let syncs = group.stop();
    println!(
        "{outstanding} outstanding: {rate:.0} proposals/s of {ENTRY_BYTES} B committed, p50 {:?}, p99 {:?}; {:.1} proposals a sync",
        latencies.quantile(0.5),
        latencies.quantile(0.99),
        committed as f64 * 3.0 / syncs as f64,
    );
}

fn elections(folder: &std::path::Path) {
    let mut group = group::Group::start(folder);
    let mut times = Vec::new();
    let mut leader = group.await_leader(None);
    for _ in 0..ELECTIONS {
        group.kill(leader);
        let start = Instant::now();
        let next = group.await_leader(Some(leader));
        times.push(start.elapsed());
        group.restart(leader);
        leader = next;
        std::thread::sleep(Duration::from_millis(500));
    }
    group.stop();
    times.sort();
    println!(
        "a killed leader is replaced: median {:?}, longest {:?} of {ELECTIONS}",
        times[times.len() / 2],
        times[times.len() - 1],
    );
}
