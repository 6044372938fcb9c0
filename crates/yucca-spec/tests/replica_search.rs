//! Exhaustive search of the replicated log, and of its mutants.

#![allow(clippy::unwrap_used)]

use test_case::test_case;
use yucca_log::membership::{Change, Replica};
use yucca_spec::replica::{Mutant, Setup};
use yucca_spec::search;

fn elections() -> Setup {
    Setup {
        campaigns: vec![1, 1, 0],
        crashes: vec![0, 0, 1],
        slow_sync: true,
        ..Setup::new(3)
    }
}

fn diskless() -> Setup {
    Setup {
        campaigns: vec![1, 1, 0],
        crashes: vec![0, 0, 1],
        diskless: Some(2),
        ..Setup::new(3)
    }
}

fn commits() -> Setup {
    Setup {
        campaigns: vec![1, 1, 1],
        ..Setup::new(3)
    }
}

fn returns() -> Setup {
    Setup {
        campaigns: vec![2, 1, 0],
        ..Setup::new(3)
    }
}

fn duplicates() -> Setup {
    Setup {
        campaigns: vec![1, 1, 0],
        duplicates: 1,
        ..Setup::new(3)
    }
}

fn changes() -> Setup {
    let replica = |name: &str| Replica {
        host: name.parse().unwrap(),
        incarnation: 1,
    };
    Setup {
        campaigns: vec![1, 1, 0],
        changes: vec![Change::Remove(replica("c")), Change::Remove(replica("b"))],
        ..Setup::new(3)
    }
}

fn cut() -> Setup {
    Setup {
        campaigns: vec![0, 0, 3],
        cut: Some(2),
        ..Setup::new(3)
    }
}

#[test_case("elections", &elections())]
#[test_case("diskless", &diskless())]
#[test_case("commits", &commits())]
#[test_case("returns", &returns())]
#[test_case("duplicates", &duplicates())]
#[test_case("changes", &changes())]
#[test_case("cut", &cut())]
fn no_state_violates_an_invariant(name: &str, setup: &Setup) {
    let outcome = search::run(setup);
    println!("{name}: {} states, {} steps", outcome.states, outcome.steps);
    assert!(outcome.states > 10, "the search ended early");
    let found = outcome.counterexample;
    assert!(found.is_none(), "{}", found.unwrap());
}

#[test_case(Mutant::SyncSkipped, &elections(), "two leaders"; "sync skipped")]
#[test_case(Mutant::IncarnationReused, &diskless(), "two leaders"; "a diskless voter votes again")]
#[test_case(Mutant::PreVoteSkipped, &cut(), "terms rose"; "pre-vote skipped")]
fn each_mutant_is_detected(mutant: Mutant, setup: &Setup, expected: &str) {
    let setup = Setup {
        mutant,
        ..setup.clone()
    };
    let outcome = search::run(&setup);
    let found = outcome.counterexample;
    let found = found.map_or(String::new(), |found| found.to_string());
    println!("{mutant:?}: {} states\n{found}", outcome.states);
    assert!(found.contains(expected), "{found}");
}
