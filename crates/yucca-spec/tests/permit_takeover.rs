//! Every history of one non-idempotent request during a takeover of its lane.

#![allow(clippy::unwrap_used)]

use test_case::test_case;
use yucca_spec::permit;
use yucca_spec::permit::{Mutant, Violation};

fn search(mutant: Mutant, budget: permit::Budget) -> permit::Outcome {
    let start = permit::State::new(mutant, budget).unwrap();
    permit::search(&start)
}

#[test]
fn no_history_violates_an_invariant() {
    let found = search(Mutant::None, permit::Budget::default());
    println!("send permits: {} states", found.states);
    assert!(found.counterexample.is_none(), "{found:#?}");
    assert!(found.states > 10_000, "the search is cut short");
}

#[test]
fn no_history_with_a_standby_restart_violates_an_invariant() {
    let found = search(Mutant::None, permit::Budget::with_restart());
    println!("send permits with a restart: {} states", found.states);
    assert!(found.counterexample.is_none(), "{found:#?}");
    assert!(found.states > 1000, "the search is cut short");
}

#[test]
fn a_message_from_before_a_restart_is_detected() {
    let found = search(Mutant::MessageAcrossRestart, permit::Budget::with_restart());
    let path = found.counterexample.unwrap();
    println!("message from before a restart: {} steps", path.len() - 1);
    let violation = path.last().unwrap().violation();
    assert_eq!(violation, Some(Violation::RanTwice));
}

#[test_case(Mutant::PermitSkipped, Violation::RanTwice; "permit skipped")]
#[test_case(Mutant::PermitAfterTakeover, Violation::PermitAfterTakeover; "permit after takeover")]
#[test_case(Mutant::PendingResent, Violation::RanTwice; "pending request sent again")]
#[test_case(Mutant::LostCountsAsNotRun, Violation::NotRunRan; "lost counts as not run")]
#[test_case(Mutant::StalePermit, Violation::RanTwice; "stale permit")]
fn each_mutant_is_detected(mutant: Mutant, violation: Violation) {
    let found = search(mutant, permit::Budget::default());
    let path = found.counterexample.unwrap();
    println!("{mutant:?}: {violation} after {} steps", path.len() - 1);
    assert_eq!(path.last().unwrap().violation(), Some(violation));
}
