//! A number stands for one content, in every order of tickets that race and are sent again.

use yucca_spec::ticket::search;

#[test]
fn one_content_for_each_number() {
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
fn a_missing_check_of_numbers_is_found() {
    let outcome = search(false);
    println!("{} states: {:?}", outcome.states, outcome.counterexample);
    assert!(outcome.counterexample.is_some());
}
