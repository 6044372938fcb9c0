//! A ticket number is accepted with one content only, in every order of submissions and resends.

use yucca_spec::ticket::search;

#[test]
fn a_number_has_one_content() {
    let outcome = search(true);
    println!("{} states", outcome.states);
    assert!(
        outcome.counterexample.is_none(),
        "{:?}",
        outcome.counterexample
    );
    assert!(outcome.states > 10, "{}", outcome.states);
}

#[test]
fn a_missing_number_check_is_detected() {
    let outcome = search(false);
    println!("{} states: {:?}", outcome.states, outcome.counterexample);
    assert!(outcome.counterexample.is_some());
}
