//! No two targets work on one shard, whatever is lost, repeated, paused or restarted.

use test_case::test_case;
use yucca_spec::grant::{Mutant, Options, search};

const PAUSES: Options = Options {
    moves: 1,
    expiries: 1,
    restarts: 0,
    handovers: 0,
    pauses: true,
    checks_tokens: true,
    mutant: None,
};

/// Targets that check nothing: safe as long as no host is paused between check and send.
const UNCHECKED: Options = Options {
    pauses: false,
    checks_tokens: false,
    ..PAUSES
};

#[test_case(PAUSES; "a paused host")]
#[test_case(Options { moves: 2, ..PAUSES }; "a paused host and two moves")]
#[test_case(Options { restarts: 1, ..PAUSES }; "a paused host and a target with an empty memory")]
#[test_case(Options { handovers: 1, ..PAUSES }; "a paused host and a planned handover")]
#[test_case(Options { moves: 3, expiries: 0, ..PAUSES }; "three moves")]
#[test_case(Options { expiries: 0, restarts: 1, ..PAUSES }; "a target with an empty memory")]
#[test_case(Options { expiries: 0, handovers: 1, ..PAUSES }; "a planned handover")]
#[test_case(Options { expiries: 2, ..UNCHECKED }; "two expiries with targets that check nothing")]
#[test_case(Options { handovers: 1, ..UNCHECKED }; "a handover and a lapse with targets that check nothing")]
fn one_owner(options: Options) {
    let outcome = search(options);
    println!("{} states, {} after a move", outcome.states, outcome.moved);
    assert!(
        outcome.counterexample.is_none(),
        "{:#?}",
        outcome.counterexample
    );
    assert!(outcome.moved > 0, "the search never saw a move end");
}

#[test_case(Options { mutant: Some(Mutant::FenceDropped), ..PAUSES })]
#[test_case(Options { mutant: Some(Mutant::RevokeNotAwaited), ..PAUSES })]
#[test_case(Options { mutant: Some(Mutant::LeaseNotAwaited), ..UNCHECKED })]
#[test_case(Options { mutant: Some(Mutant::StaleReleaseAccepted), moves: 3, expiries: 0, ..PAUSES })]
fn a_missing_safeguard_is_found(options: Options) {
    let outcome = search(options);
    println!("{} states: {:#?}", outcome.states, outcome.counterexample);
    assert!(outcome.counterexample.is_some());
}
