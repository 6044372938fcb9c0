//! A proptest state machine over a log: any sequence of faults and proposals, shrunk on failure.
//!
//! `PROPTEST_CASES` sets how many sequences are tried; `YUCCA_LOG_SEED` picks other ones.
#![allow(clippy::unwrap_used)]

mod fake;

use std::time::Duration;

use fake::{Net, millis};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yucca_log::membership::Change;
use yucca_log::node;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

#[derive(Debug, Clone)]
enum Step {
    Run(u16),
    Propose(usize),
    Read(usize),
    Crash(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize, usize),
    Heal,
    Lossy(bool),
    Campaign(usize),
    Remove(usize),
    Add(usize),
    Promote(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..NAMES.len();
    prop_oneof![
        6 => (1_u16..400).prop_map(Step::Run),
        4 => host.clone().prop_map(Step::Propose),
        2 => host.clone().prop_map(Step::Read),
        2 => host.clone().prop_map(Step::Crash),
        3 => host.clone().prop_map(Step::Start),
        1 => host.clone().prop_map(Step::Pause),
        2 => host.clone().prop_map(Step::Resume),
        1 => (host.clone(), host.clone()).prop_map(|(from, to)| Step::Cut(from, to)),
        1 => Just(Step::Heal),
        1 => any::<bool>().prop_map(Step::Lossy),
        1 => host.clone().prop_map(Step::Campaign),
        1 => host.clone().prop_map(Step::Remove),
        1 => host.clone().prop_map(Step::Add),
        1 => host.prop_map(Step::Promote),
    ]
}

fn change(net: &mut Net, ticket: u64, change: Change) {
    if let Some(leader) = net.leader() {
        net.input(&leader, node::Input::Change { ticket, change });
    }
}

fn perform(net: &mut Net, ticket: u64, step: &Step) {
    let host = |index: &usize| fake::host(NAMES[*index]);
    let member = |index: &usize| fake::replica(NAMES[*index], 1);
    match step {
        Step::Run(span) => net.run(millis(u64::from(*span))),
        Step::Propose(name) => {
            net.propose(&host(name), format!("{ticket}"));
        }
        Step::Read(name) => {
            net.read(&host(name));
        }
        Step::Crash(name) => net.crash(&host(name)),
        Step::Start(name) if net.slots[&host(name)].node.is_none() => net.start(&host(name)),
        Step::Start(_) => {}
        Step::Pause(name) => net.pause(&host(name)),
        Step::Resume(name) => net.resume(&host(name)),
        Step::Cut(from, to) => net.cut_one_way(&host(from), &host(to)),
        Step::Heal => net.heal(),
        Step::Lossy(lossy) => {
            net.weather.loss = if *lossy { 0.3 } else { 0.0 };
            net.weather.jitter = Duration::from_millis(if *lossy { 30 } else { 0 });
        }
        Step::Campaign(name) => net.input(&host(name), node::Input::Campaign),
        Step::Remove(name) => change(net, ticket, Change::Remove(member(name))),
        Step::Add(name) => change(net, ticket, Change::AddLearner(member(name))),
        Step::Promote(name) => change(net, ticket, Change::Promote(member(name))),
    }
}

fn config() -> ProptestConfig {
    let seed = std::env::var("YUCCA_LOG_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let cases = std::env::var("PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(150),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn replicas_agree(
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut net = Net::new(&NAMES, seed);
        for (number, step) in steps.iter().enumerate() {
            perform(&mut net, 1_000_000 + number as u64, step);
        }
        net.settle();
    }
}
