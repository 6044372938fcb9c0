//! Every history of one non-idempotent request over a takeover of its lane.

#![allow(clippy::unwrap_used)]

use test_case::test_case;
use yucca_spec::permit;
use yucca_spec::permit::{Mutant, Violation};

fn search(mutant: Mutant, budget: permit::Budget) -> permit::Outcome {
    let start = permit::State::new(mutant, budget).unwrap();
    permit::search(&start)
}

#[test]
fn no_history_breaks_a_promise() {
    let found = search(Mutant::None, permit::Budget::default());
    println!("leave to send: {} states", found.states);
    assert!(found.counterexample.is_none(), "{found:#?}");
    assert!(found.states > 10_000, "the search is cut short");
}

#[test]
fn no_history_with_a_restart_of_the_standby_breaks_a_promise() {
    let found = search(Mutant::None, permit::Budget::with_restart());
    println!("leave to send with a restart: {} states", found.states);
    assert!(found.counterexample.is_none(), "{found:#?}");
    assert!(found.states > 1000, "the search is cut short");
}

#[test]
fn mail_across_a_restart_is_caught() {
    let found = search(Mutant::MessageAcrossRestart, permit::Budget::with_restart());
    let way = found.counterexample.unwrap();
    println!("mail across a restart: {} steps", way.len() - 1);
    let violation = way.last().unwrap().violation();
    assert_eq!(violation, Some(Violation::RanTwice));
}

#[test_case(Mutant::PermitSkipped, Violation::RanTwice; "leave skipped")]
#[test_case(Mutant::PermitAfterTakeover, Violation::PermitAfterTakeover; "leave after takeover")]
#[test_case(Mutant::PendingResent, Violation::RanTwice; "unknown sent again")]
#[test_case(Mutant::LostCountsAsNotRun, Violation::NotRunRan; "lost counts as not run")]
#[test_case(Mutant::StalePermit, Violation::RanTwice; "stale leave")]
fn each_mutant_is_caught(mutant: Mutant, violation: Violation) {
    let found = search(mutant, permit::Budget::default());
    let way = found.counterexample.unwrap();
    println!("{mutant:?}: {violation} after {} steps", way.len() - 1);
    assert_eq!(way.last().unwrap().violation(), Some(violation));
}
