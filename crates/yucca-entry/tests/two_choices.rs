//! The choice of a target of a pool service.

#![allow(clippy::unwrap_used)]

mod support;

use rand::SeedableRng;
use yucca_entry::request::choose;
use yucca_wire::head;
use yucca_wire::id;

const SEED: u64 = 7;
const DRAWS: u32 = 1000;

fn busy(loads: &choose::Loads, target: &str, running: u32, waiting: u32) {
    let target: id::Target = target.parse().unwrap();
    loads.begin(&target);
    let load = head::Load {
        running,
        waiting,
        wait_us: 0,
    };
    loads.end(&target, Some(load));
}

fn draw(
    table: &yucca_wire::table::Table,
    loads: &choose::Loads,
    tried: &[id::Target],
) -> Vec<String> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let service = "till".parse().unwrap();
    let here = "colombo".parse().unwrap();
    let mut chosen = || choose::choose(table, loads, &service, &here, tried, &mut rng);
    (0..DRAWS)
        .filter_map(|_| chosen())
        .map(|target| target.to_string())
        .collect()
}

#[test]
fn local_first() {
    let table = support::pool(&[("colombo", &["a", "b"]), ("maradana", &["c"])]);
    let chosen = draw(&table, &choose::Loads::default(), &[]);
    assert_eq!(chosen.len(), DRAWS as usize);
    assert!(chosen.iter().all(|target| target != "c"));
    assert!(chosen.iter().any(|target| target == "a"));
    assert!(chosen.iter().any(|target| target == "b"));
}

#[test]
fn lighter_wins() {
    let table = support::pool(&[("colombo", &["a", "b"])]);
    let loads = choose::Loads::default();
    busy(&loads, "a", 3, 0);
    let chosen = draw(&table, &loads, &[]);
    let heavy = chosen.iter().filter(|target| *target == "a").count();
    // Only when both draws hit it: one time in four.
    assert!(heavy * 3 < chosen.len());
}

#[test]
fn spills_when_full() {
    let table = support::pool(&[("colombo", &["a", "b"]), ("maradana", &["c"])]);
    let loads = choose::Loads::default();
    busy(&loads, "a", 3, 4);
    busy(&loads, "b", 3, 4);
    let chosen = draw(&table, &loads, &[]);
    assert!(chosen.iter().all(|target| target == "c"));
}

#[test]
fn tried_targets_are_passed_over() {
    let table = support::pool(&[("colombo", &["a", "b"])]);
    let tried = ["a".parse().unwrap()];
    let chosen = draw(&table, &choose::Loads::default(), &tried);
    assert!(chosen.iter().all(|target| target == "b"));
}

#[test]
fn own_requests_count() {
    let table = support::pool(&[("colombo", &["a", "b"])]);
    let loads = choose::Loads::default();
    let a: id::Target = "a".parse().unwrap();
    for _ in 0..4 {
        loads.begin(&a);
    }
    let chosen = draw(&table, &loads, &[]);
    let heavy = chosen.iter().filter(|target| *target == "a").count();
    assert!(heavy * 3 < chosen.len());
}

#[test]
fn surplus_callers_go_elsewhere() {
    let mut table = support::pool(&[("colombo", &["a"]), ("maradana", &["b", "c", "d"])]);
    support::hosts(&mut table, &[("colombo", 1), ("maradana", 1)]);
    let chosen = draw(&table, &choose::Loads::default(), &[]);
    let local = chosen.iter().filter(|target| *target == "a").count();
    // Half of the callers, a quarter of the slots: half of what enters here stays.
    assert!((450..550).contains(&local), "{local} of {DRAWS}");
}
