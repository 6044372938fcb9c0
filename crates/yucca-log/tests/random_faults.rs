//! Random faults from a seed: loss, duplication, reordering, crashes, pauses, cuts, full disks.
#![allow(clippy::unwrap_used)]

mod fake;

use std::time::Duration;

use fake::{Conditions, Net, millis};
use rand::Rng;
use rand::seq::IteratorRandom;
use test_case::test_case;
use yucca_log::node;

const ROUNDS: usize = 80;

fn conditions(net: &mut Net) -> Conditions {
    Conditions {
        delay: Duration::from_micros(net.rng.random_range(100..2_000)),
        jitter: Duration::from_micros(net.rng.random_range(0..20_000)),
        loss: net.rng.random_range(0.0..0.15),
        duplication: net.rng.random_range(0.0..0.3),
        sync: Duration::from_micros(net.rng.random_range(50..30_000)),
    }
}

fn inject_fault(net: &mut Net) {
    let names = net.names();
    let name = names.iter().choose(&mut net.rng).unwrap().clone();
    let other = names.iter().choose(&mut net.rng).unwrap().clone();
    match net.rng.random_range(0..14) {
        0 => net.crash(&name),
        1 | 2 => net.restart(&name),
        3 => net.pause(&name),
        4 => net.resume(&name),
        5 => net.cut_one_way(&name, &other),
        6 => net.isolate(&name),
        7..=10 => repair_all(net),
        11 => net.hosts[&name].full = !net.hosts[&name].full,
        _ => net.input(&name, node::Input::Transfer { to: Some(other) }),
    }
}

fn repair_all(net: &mut Net) {
    net.heal();
    for name in net.names() {
        net.hosts[&name].full = false;
        net.resume(&name);
        if net.hosts[&name].node.is_none() {
            net.start(&name);
        }
    }
}

fn load(net: &mut Net) {
    for name in net.names() {
        if net.hosts[&name].node.is_some() && net.hosts[&name].paused.is_none() {
            let text = format!("{name} {}", net.rng.random::<u32>());
            net.propose(&name, text);
            net.read(&name);
        }
    }
}

#[test_case(&["a", "b", "c"], 0; "three")]
#[test_case(&["a", "b", "c", "d", "e"], 1000; "five")]
fn no_acknowledged_entry_is_lost(names: &[&str], first_seed: u64) {
    let mut acknowledged = 0;
    for seed in first_seed..first_seed + 60 {
        let mut net = Net::new(names, seed);
        for _ in 0..ROUNDS {
            net.conditions = conditions(&mut net);
            inject_fault(&mut net);
            load(&mut net);
            let span = net.rng.random_range(1..800);
            net.run(millis(span));
        }
        net.settle();
        acknowledged += net.acknowledged.len();
    }
    assert!(
        acknowledged > 1_000,
        "only {acknowledged} entries were acknowledged"
    );
}
