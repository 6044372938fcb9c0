//! Choice of a target of a pool service.

#![allow(clippy::unwrap_used)]

mod support;

use rand::SeedableRng;
use yucca_entry::request::choose;
use yucca_wire::head;
use yucca_wire::id;

const SEED: u64 = 7;
const DRAWS: u32 = 1000;

fn set_load(loads: &choose::Loads, target: &str, running: u32, waiting: u32) {
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
fn local_targets_are_preferred() {
    let table = support::pool(&[("colombo", &["a", "b"]), ("maradana", &["c"])]);
    let chosen = draw(&table, &choose::Loads::default(), &[]);
    assert_eq!(chosen.len(), DRAWS as usize);
    assert!(chosen.iter().all(|target| target != "c"));
    assert!(chosen.iter().any(|target| target == "a"));
    assert!(chosen.iter().any(|target| target == "b"));
}

#[test]
fn less_loaded_target_is_preferred() {
    let table = support::pool(&[("colombo", &["a", "b"])]);
    let loads = choose::Loads::default();
    set_load(&loads, "a", 3, 0);
    let chosen = draw(&table, &loads, &[]);
    let loaded = chosen.iter().filter(|target| *target == "a").count();
    // It is chosen only if both draws hit it: in one of four cases.
    assert!(loaded * 3 < chosen.len());
}

#[test]
fn full_domain_spills_to_another() {
    let table = support::pool(&[("colombo", &["a", "b"]), ("maradana", &["c"])]);
    let loads = choose::Loads::default();
    set_load(&loads, "a", 3, 4);
    set_load(&loads, "b", 3, 4);
    let chosen = draw(&table, &loads, &[]);
    assert!(chosen.iter().all(|target| target == "c"));
}

#[test]
fn tried_targets_are_skipped() {
    let table = support::pool(&[("colombo", &["a", "b"])]);
    let tried = ["a".parse().unwrap()];
    let chosen = draw(&table, &choose::Loads::default(), &tried);
    assert!(chosen.iter().all(|target| target == "b"));
}

#[test]
fn own_unanswered_requests_count_as_load() {
    let table = support::pool(&[("colombo", &["a", "b"])]);
    let loads = choose::Loads::default();
    let a: id::Target = "a".parse().unwrap();
    for _ in 0..4 {
        loads.begin(&a);
    }
    let chosen = draw(&table, &loads, &[]);
    let loaded = chosen.iter().filter(|target| *target == "a").count();
    assert!(loaded * 3 < chosen.len());
}

#[test]
fn surplus_callers_go_to_other_domains() {
    let mut table = support::pool(&[("colombo", &["a"]), ("maradana", &["b", "c", "d"])]);
    support::hosts(&mut table, &[("colombo", 1), ("maradana", 1)]);
    let chosen = draw(&table, &choose::Loads::default(), &[]);
    let local = chosen.iter().filter(|target| *target == "a").count();
    // The domain has half of the callers and a quarter of the slots, so half of its requests stay.
    assert!((450..550).contains(&local), "{local} of {DRAWS}");
}
