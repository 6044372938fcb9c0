//! Benchmarks of the replicated states: `cargo run --release -p yucca-own --example bench`.
//!
//! The sections are memory, times and placement. Pass a name to run only that section.

#![allow(clippy::unwrap_used, clippy::panic)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::fs;
use std::hint;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{World, name, shard_of};
use indexmap::IndexMap;
use rand::prelude::*;
use rand_distr::Zipf;
use yucca_own::{delta, domain, global};
use yucca_wire::{id, report, table};

const SHARDS: u32 = 65_536;
const TARGETS: usize = 200;
const PAGE_BYTES: usize = 4096;

fn main() {
    let only = std::env::args().nth(1);
    let sections: [(&str, fn()); 3] = [
        ("memory", memory),
        ("times", times),
        ("placement", placement),
    ];
    for (section, run) in sections {
        if only.as_deref().is_none_or(|only| only == section) {
            println!("== {section}");
            run();
        }
    }
}

fn ticket(shards: u32, hosts: usize) -> String {
    let hosts: Vec<String> = (0..hosts)
        .map(|n| {
            let (high, low) = (n / 250, n % 250 + 1);
            format!(
                "hosts.a{n} = {{ peer = \"127.0.{high}.{low}:1\", control = \"127.0.{high}.{low}:2\" }}"
            )
        })
        .collect();
    format!(
        "number = 1\n[services.desk]\nprefix = \"/desk\"\ndeadline = \"1s\"\n\
         kind = {{ keyed = {{ key = {{ segment = 0 }}, shards = {shards} }} }}\n\
         [domains.a]\nregion = \"west\"\n{}\n",
        hosts.join("\n")
    )
}

/// Creates a world with one domain, which owns all shards of one service.
fn world(shards: u32, targets: usize) -> World {
    let mut world = World::new(&ticket(shards, 11));
    world.checks = false;
    world.add_targets("a", "desk", targets);
    world.run(Duration::from_secs(5));
    assert_eq!(world.served("desk"), shards as usize);
    world
}

fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

/// Growth of resident memory before and during a measurement, in bytes.
const GROWTH_BYTES: usize = 48 << 20;

/// Returns the encoded size and the resident size of a value, in bytes.
///
/// It first creates copies until memory that was freed earlier is used up and the process grows.
/// Then it measures the growth per further copy.
fn bytes<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> (usize, usize) {
    let encoded = rmp_serde::to_vec(value).unwrap();
    let mut held: Vec<T> = Vec::new();
    let mut grow = || {
        let before = resident();
        let mut copies = 0;
        while resident() < before + GROWTH_BYTES {
            held.push(rmp_serde::from_slice(&encoded).unwrap());
            copies += 1;
        }
        (resident() - before) / copies
    };
    grow();
    let each = grow();
    (encoded.len(), each)
}

fn memory() {
    let whole = world(SHARDS, TARGETS);
    let state = whole.domains[0].state.clone();
    let (encoded, held) = bytes(&state);
    println!(
        "domain state, {SHARDS} shards, {TARGETS} targets: {encoded} B encoded, {held} B held"
    );
    println!(
        "  {:.1} B held a shard, {:.1} B encoded",
        held as f64 / 65_536.0,
        encoded as f64 / 65_536.0
    );
    let plain: IndexMap<id::Shard, table::Owner> = state.table().owners[0]
        .iter()
        .map(|(shard, owner)| (*shard, owner.clone()))
        .collect();
    let (plain_encoded, plain_held) = bytes(&plain);
    let (paged_encoded, paged_held) = bytes(&state.table().owners[0]);
    println!("  owners as a map: {plain_encoded} B encoded, {plain_held} B held");
    println!("  owners in pages: {paged_encoded} B encoded, {paged_held} B held");
    let homes: Vec<id::Domain> = whole.global.table().homes[0].iter().cloned().collect();
    let (plain, _) = bytes(&homes);
    let (runs, _) = bytes(&whole.global.table().homes[0]);
    println!("  homes as a list: {plain} B encoded, as runs: {runs} B");
    let few = world(64, 20);
    let (few_encoded, few_held) = bytes(&few.domains[0].state);
    let many = world(64, 220);
    let (many_encoded, many_held) = bytes(&many.domains[0].state);
    println!(
        "target: {} B held, {} B encoded",
        many_held.saturating_sub(few_held) / 200,
        (many_encoded - few_encoded) / 200
    );
    let mut pinned = world(64, 20);
    let pins: Vec<String> = (0..2000)
        .map(|n| format!("key-{n} = \"a-desk-{}\"", n % 20))
        .collect();
    pinned.submit(&format!("number = 2\n[pins.desk]\n{}", pins.join("\n")));
    pinned.run(Duration::from_secs(2));
    let (pin_encoded, pin_held) = bytes(&pinned.domains[0].state);
    println!(
        "pin (operator's, both parts): {} B held, {} B encoded",
        pin_held.saturating_sub(few_held) / 2000,
        (pin_encoded - few_encoded) / 2000
    );
    let (small, small_held) = bytes(&World::new(&ticket(64, 10)).global);
    let (large, large_held) = bytes(&World::new(&ticket(64, 3710)).global);
    println!(
        "host: {} B held, {} B encoded",
        large_held.saturating_sub(small_held) / 3700,
        (large - small) / 3700
    );
    tickets();
}

fn tickets() {
    let mut world = World::new(&ticket(64, 10));
    for number in 0..20_000 {
        world.submit(&format!(
            "number = {}\npins.desk.k = \"t{number}\"",
            number + 2
        ));
    }
    let (encoded, held) = bytes(&world.global);
    println!("20000 tickets: {held} B held, {encoded} B encoded");
}

fn timed(label: &str, rounds: u32, mut run: impl FnMut()) {
    let start = Instant::now();
    for _ in 0..rounds {
        run();
    }
    let each = start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    println!("{label}: {each:.1} us");
}

fn times() {
    let mut world = world(SHARDS, TARGETS);
    let text = "number = 7\npins.desk = { k1 = \"t1\", k2 = \"t2\" }";
    timed("ticket: read and check", 2000, || {
        hint::black_box(common::checked(text));
    });
    let mut number = 10;
    let mut global = world.global.clone();
    let mut checked = common::checked(text);
    timed("ticket: apply and table", 2000, || {
        number += 1;
        checked.number = id::Ticket(number);
        let submit = global::Command::Submit {
            ticket: Box::new(checked.clone()),
            sender: "bench".into(),
        };
        global.apply(id::Version(number), &submit);
        hint::black_box(global.table());
    });
    let start = Instant::now();
    let mut fresh = domain::State::new(name("a"));
    let grants: Vec<domain::Command> = world.domains[0]
        .applied
        .iter()
        .filter(|command| matches!(command, domain::Command::Own { .. }))
        .cloned()
        .collect();
    for (index, command) in world.domains[0].applied.iter().enumerate() {
        fresh.apply(id::Version(index as u64 + 1), command);
    }
    let total = start.elapsed().as_secs_f64() * 1e6;
    println!(
        "first grants: {:.0} us for {SHARDS} shards in {} commands",
        total,
        grants.len()
    );
    moves(&mut world);
    plans(&mut world);
}

/// Measures moves of single shards, and the deltas of each move.
fn moves(world: &mut World) {
    let now = world.now;
    let service: id::Service = name("desk");
    let domain = &mut world.domains[0];
    let mut state = domain.state.clone();
    let mut version = domain.version;
    let mut held = state.table();
    let (mut diffs, mut applies, mut encodes, mut size) = (0.0, 0.0, 0.0, 0);
    let (mut moves, mut observes) = (0.0, 0.0);
    let rounds = 2000;
    for round in 0..rounds {
        let shard = id::Shard(round * 31 % SHARDS);
        let owner = state.table().owners[&service].get(&shard).unwrap().clone();
        let to = domain
            .targets
            .keys()
            .find(|target| **target != owner.target)
            .unwrap()
            .clone();
        let token = state.table().targets[&owner.target].token;
        let shift = domain::Command::Move {
            service: service.clone(),
            shifts: vec![domain::Shift {
                shard,
                token: owner.token,
                to,
            }],
        };
        let release = domain::Command::Released {
            target: owner.target.clone(),
            token,
            releases: vec![report::Release {
                shard,
                key: None,
                token: owner.token,
            }],
        };
        let start = Instant::now();
        assert_eq!(
            state.apply(id::Version(version + 1), &shift),
            domain::Reply::Done
        );
        assert_eq!(
            state.apply(id::Version(version + 2), &release),
            domain::Reply::Done
        );
        version += 2;
        moves += start.elapsed().as_secs_f64();
        let start = Instant::now();
        domain.evidence.observe(&state, now);
        observes += start.elapsed().as_secs_f64();
        let newest = state.table();
        let start = Instant::now();
        let change = delta::diff(Some(&*held), &*newest);
        diffs += start.elapsed().as_secs_f64();
        let start = Instant::now();
        size += rmp_serde::to_vec(&change).unwrap().len();
        encodes += start.elapsed().as_secs_f64();
        let start = Instant::now();
        hint::black_box(delta::apply(Some(&*held), change).unwrap());
        applies += start.elapsed().as_secs_f64();
        held = newest;
    }
    let each = |total: f64| total * 1e6 / f64::from(rounds);
    println!(
        "move and release of a shard: {:.1} us; evidence: {:.1} us",
        each(moves),
        each(observes)
    );
    println!(
        "its delta: {:.1} us to make, {:.1} us to encode, {:.1} us to apply, {} B",
        each(diffs),
        each(encodes),
        each(applies),
        size / rounds as usize
    );
    let newest = state.table();
    timed("snapshot: encode", 10, || {
        hint::black_box(rmp_serde::to_vec(&*newest).unwrap());
    });
    domain.state = state;
    domain.version = version;
}

fn plans(world: &mut World) {
    let now = world.now;
    let domain = &mut world.domains[0];
    let mut report = report::Report {
        host: name("a0"),
        incarnation: 1,
        global: id::Version(1),
        locals: IndexMap::new(),
        announced: Vec::new(),
        lanes: IndexMap::new(),
        stopping: false,
    };
    let table = domain.state.table();
    for (target, found) in table.targets.iter().take(TARGETS / 11) {
        let lane = report::Lane {
            token: found.token,
            alive: true,
            work: (0..300).map(|shard| (id::Shard(shard), 1000)).collect(),
            ..report::Lane::default()
        };
        report.lanes.insert(target.clone(), lane);
    }
    let host = domain.hosts.keys().next().unwrap().clone();
    report.host = host;
    timed(
        "heartbeat of a host with 18 lanes of 300 busy shards",
        200,
        || {
            domain.evidence.record_report(&report, now);
        },
    );
    domain.evidence.observe(&domain.state, now);
    timed("plan at rest", 200, || {
        hint::black_box(
            domain
                .state
                .plan(&domain.evidence, now + Duration::from_millis(500)),
        );
    });
    let due = now + Duration::from_secs(2);
    domain.evidence.observe(&domain.state, due);
    timed("plan with placement, once a second", 50, || {
        hint::black_box(domain.state.plan(&domain.evidence, due));
    });
}

const KEYS: usize = 100_000;
const PLACED_SHARDS: u32 = 4096;
const PLACED_TARGETS: usize = 36;
const REQUESTS_A_TICK: usize = 1300;
const REQUEST_MICROS: u64 = 5000;
const TICKS_A_SECOND: usize = 10;
const MINUTES: usize = 20;
const SKEW: f64 = 0.8;
const HOT_KEYS: usize = 20;

/// Work of each target in one second, in slot-microseconds.
type Work = IndexMap<id::Target, u64>;

#[derive(Default)]
struct Spread {
    variation: f64,
    most: f64,
    seconds: usize,
}

impl Spread {
    fn add(&mut self, work: &Work) {
        let count = work.len() as f64;
        let mean = work.values().sum::<u64>() as f64 / count;
        let square = |work: &u64| (*work as f64 - mean).powi(2);
        let deviation = (work.values().map(square).sum::<f64>() / count).sqrt();
        self.variation += deviation / mean;
        self.most += *work.values().max().unwrap() as f64 / mean;
        self.seconds += 1;
    }

    fn print(&self, label: &str) {
        let seconds = self.seconds as f64;
        println!(
            "{label}: coefficient of variation {:.3}, max/mean {:.3}",
            self.variation / seconds,
            self.most / seconds
        );
    }
}

/// Compares the balance of the same requests under placement, under hashing alone, and with random
/// targets.
fn placement() {
    let mut world = world(PLACED_SHARDS, PLACED_TARGETS);
    let service: id::Service = name("desk");
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(4);
    let zipf = Zipf::new(KEYS as f64, SKEW).unwrap();
    let mut ranks: Vec<usize> = (0..KEYS).collect();
    ranks.shuffle(&mut rng);
    let names: Vec<Bytes> = (0..KEYS).map(|n| Bytes::from(format!("key-{n}"))).collect();
    let fixed = world.domains[0].state.table();
    let (mut placed, mut hashed, mut even) =
        (Spread::default(), Spread::default(), Spread::default());
    let (mut churned, mut total, mut pins_seen) = (0u64, 0u64, 0);
    let mut owners: IndexMap<usize, id::Target> = IndexMap::new();
    let zero: Work = world.domains[0]
        .targets
        .keys()
        .map(|target| (target.clone(), 0))
        .collect();
    for second in 0..MINUTES * 60 {
        if second % 60 == 0 {
            for rank in 0..HOT_KEYS {
                let other = rng.random_range(0..KEYS);
                ranks.swap(rank, other);
            }
        }
        let (mut on_placed, mut on_hashed, mut on_even) =
            (zero.clone(), zero.clone(), zero.clone());
        for _ in 0..TICKS_A_SECOND {
            let mut counts: IndexMap<usize, u64> = IndexMap::new();
            for _ in 0..REQUESTS_A_TICK {
                let rank = rng.sample(zipf) as usize - 1;
                *counts.entry(ranks[rank]).or_insert(0) += 1;
                let target = rng.random_range(0..PLACED_TARGETS);
                on_even[target] += REQUEST_MICROS;
            }
            let global = world.global.table();
            let domain = &mut world.domains[0];
            let table = domain.state.table();
            for (key, count) in counts {
                let work = count * REQUEST_MICROS;
                let shard = shard_of(&global, &service, &names[key]);
                let owner = &table.owner(&service, shard, &names[key]).unwrap().target;
                on_placed[owner] += work;
                on_hashed[&fixed.owners[&service].get(&shard).unwrap().target] += work;
                total += work;
                if owners
                    .insert(key, owner.clone())
                    .is_some_and(|old| old != *owner)
                {
                    churned += work;
                }
                let target = domain.targets.get_mut(owner).unwrap();
                if count >= 3
                    || table
                        .pins
                        .get(&service)
                        .is_some_and(|p| p.contains_key(&names[key]))
                {
                    *target.work.entry(names[key].clone()).or_insert(0) += work;
                } else {
                    *target.plain.entry(shard).or_insert(0) += work;
                }
            }
            world.tick();
        }
        pins_seen += world.domains[0]
            .state
            .table()
            .pins
            .get(&service)
            .map_or(0, IndexMap::len);
        placed.add(&on_placed);
        hashed.add(&on_hashed);
        even.add(&on_even);
    }
    placed.print("placed");
    hashed.print("hashed");
    even.print("at random, which no owner can be (the noise of the demand)");
    let hours = MINUTES as f64 / 60.0;
    println!(
        "shards moved an hour: {:.0} of {PLACED_SHARDS}",
        world.domains[0].moved as f64 / hours
    );
    println!(
        "work whose key had a new owner: {:.5} of all",
        churned as f64 / total as f64
    );
    println!("mean pins: {:.1}", pins_seen as f64 / (MINUTES * 60) as f64);
}
