//! At most one target works on a shard, with lost and repeated reports, paused hosts and restarted
//! targets.

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

/// Targets that check no tokens. Safe if no host pauses between its check and its send.
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
#[test_case(Options { expiries: 2, ..UNCHECKED }; "two expired leases with targets that check nothing")]
#[test_case(Options { handovers: 1, ..UNCHECKED }; "a handover and an expired lease with targets that check nothing")]
fn one_target_works_on_a_shard(options: Options) {
    let outcome = search(options);
    println!("{} states, {} after a move", outcome.states, outcome.moved);
    assert!(
        outcome.counterexample.is_none(),
        "{:#?}",
        outcome.counterexample
    );
    assert!(
        outcome.moved > 0,
        "no state after a completed move was reached"
    );
}

#[test_case(Options { mutant: Some(Mutant::FenceDropped), ..PAUSES })]
#[test_case(Options { mutant: Some(Mutant::RevokeNotAwaited), ..PAUSES })]
#[test_case(Options { mutant: Some(Mutant::LeaseNotAwaited), ..UNCHECKED })]
#[test_case(Options { mutant: Some(Mutant::StaleReleaseAccepted), moves: 3, expiries: 0, ..PAUSES })]
fn a_missing_safeguard_is_detected(options: Options) {
    let outcome = search(options);
    println!("{} states: {:#?}", outcome.states, outcome.counterexample);
    assert!(outcome.counterexample.is_some());
}
