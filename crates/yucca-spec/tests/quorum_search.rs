//! Exhaustive search of the quorum rule of a domain's log, and of its mutants.

use test_case::test_case;
use yucca_spec::quorum::{Mutant, Setup};
use yucca_spec::search;

#[test_case(3, 1, 3)]
#[test_case(3, 2, 3)]
#[test_case(3, 3, 3)]
#[test_case(4, 1, 2)]
#[test_case(4, 2, 2)]
#[test_case(4, 3, 2)]
fn tolerated_losses_violate_no_invariant(locals: usize, disks: usize, losses: u8) {
    let outcome = search::run(&Setup::new(locals, disks, 3, losses));
    println!(
        "quorum rule, {locals} locals, {disks} disks, {losses} losses: {} states, {} steps",
        outcome.states, outcome.steps
    );
    assert_eq!(outcome.counterexample, None);
    assert!(outcome.states > 1_000);
}

#[test_case(Mutant::WitnessesRetained, "without a local"; "witnesses retained")]
#[test_case(Mutant::IncarnationReused, "lacks the newest"; "a diskless voter votes again")]
fn each_mutant_is_detected(mutant: Mutant, expected: &str) {
    let mut setup = Setup::new(3, 1, 2, 5);
    setup.mutant = mutant;
    setup.cuts = false;
    let outcome = search::run(&setup);
    let found = outcome.counterexample;
    let found = found.map_or(String::new(), |found| found.to_string());
    println!("{mutant:?}: {} states\n{found}", outcome.states);
    assert!(found.contains(expected), "{found}");
}
