//! Exhaustive search of the membership rule of a spread log, and of its mutants.

#![allow(clippy::unwrap_used)]

use test_case::test_case;
use yucca_spec::search;
use yucca_spec::spread::{Mutant, Setup};

fn setup(spares: usize, losses: u8, stops: u8) -> Setup {
    Setup {
        voters: 3,
        spares,
        losses,
        stops,
        mutant: Mutant::None,
    }
}

#[test_case(0, 3, 0; "hosts return")]
#[test_case(1, 2, 0; "a replacement without notice")]
#[test_case(1, 1, 1; "a planned replacement")]
#[test_case(2, 2, 0; "two replacements without notice")]
#[test_case(2, 1, 1; "a planned replacement with a spare host")]
#[test_case(2, 1, 2; "two planned replacements and a loss")]
fn losses_in_a_row_violate_no_invariant(spares: usize, losses: u8, stops: u8) {
    let outcome = search::run(&setup(spares, losses, stops));
    println!(
        "spread rule, {spares} spares, {losses} losses, {stops} stops: {} states, {} steps",
        outcome.states, outcome.steps
    );
    let found = outcome.counterexample;
    assert!(found.is_none(), "{}", found.unwrap());
    assert!(outcome.states > 100);
}

/// Two hosts are lost at once, or one after the other before the first is replaced, with a host that
/// is no voter in reserve.
#[test_case(0, 2, 0; "no host in reserve")]
#[test_case(1, 2, 0; "a host in reserve")]
fn two_losses_of_five_voters_violate_no_invariant(spares: usize, losses: u8, stops: u8) {
    let setup = Setup {
        voters: 5,
        ..setup(spares, losses, stops)
    };
    let outcome = search::run(&setup);
    println!(
        "spread rule, five voters, {spares} spares: {} states, {} steps",
        outcome.states, outcome.steps
    );
    let found = outcome.counterexample;
    assert!(found.is_none(), "{}", found.unwrap());
    assert!(outcome.states > 100);
}

#[test_case(Mutant::GrowsByOne, "leaves no quorum"; "grows by one")]
#[test_case(Mutant::LeavingRemovedFirst, "leaves no quorum"; "a leaving voter is removed first")]
#[test_case(Mutant::IncarnationReused, "newest committed entry"; "a host without records votes again")]
fn each_mutant_is_detected(mutant: Mutant, expected: &str) {
    let setup = Setup {
        mutant,
        ..setup(1, 2, 1)
    };
    let outcome = search::run(&setup);
    let found = outcome.counterexample;
    let found = found.map_or(String::new(), |found| found.to_string());
    println!("{mutant:?}: {} states\n{found}", outcome.states);
    assert!(found.contains(expected), "{found}");
}
