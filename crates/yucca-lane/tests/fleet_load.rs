//! Loads of whole fleets, replayed with the product's decisions: what callers get may not fall with
//! the number of entry hosts, and stays close to what full knowledge of all targets would give.

mod fleet;

use std::time::Duration;

use fleet::{Knowledge, Setup};
use test_case::test_case;

/// Share of the worth under full knowledge that callers get at least.
const OF_FULL_KNOWLEDGE: f64 = 0.95;

/// Share of the worth at 30 hosts that callers get at least at 300.
const OF_SMALL_FLEET: f64 = 0.97;

/// Load beyond what all targets can do, as a share of that.
const OVERLOAD: f64 = 1.1;

/// Number of hosts that are simulated in all for each figure, as several fleets if these are small:
/// the speeds of a few targets differ much from one fleet to the next.
const SIMULATED_HOSTS: usize = 300;

fn worth(hosts: usize, keyed: bool, load: f64, knowledge: Knowledge) -> f64 {
    let fleets = SIMULATED_HOSTS / hosts;
    let worths = (0..fleets).map(|fleet| {
        let outcome = fleet::run(Setup {
            hosts,
            domains: 5,
            targets_per_ten: 9,
            load,
            keyed,
            hot_keys: 0,
            knowledge,
            span: Duration::from_secs(3),
            seed: 7 + fleet as u64,
        });
        outcome.worth()
    });
    worths.sum::<f64>() / fleets as f64
}

/// Load pattern: 300 hosts send to 270 targets at a usual or a high load. A host that takes the few requests that it knows of for a sample of all finds idle targets
/// full, and one that chooses by old digests chooses what all others choose.
#[test_case(true, 0.5; "keyed, usual load")]
#[test_case(true, 0.75; "keyed, high load")]
#[test_case(false, 0.5; "without keys, usual load")]
#[test_case(false, 0.75; "without keys, high load")]
fn hundreds_of_hosts_serve_nearly_as_if_they_knew_all_targets(keyed: bool, load: f64) {
    compare_with_full_knowledge(keyed, load);
}

/// The same with more load than all targets can do.
#[test]
fn overloaded_hosts_serve_nearly_as_if_they_knew_all_targets() {
    compare_with_full_knowledge(false, OVERLOAD);
}

fn compare_with_full_knowledge(keyed: bool, load: f64) {
    let digests = worth(300, keyed, load, Knowledge::Digests);
    let all = worth(300, keyed, load, Knowledge::All);
    assert!(
        digests >= all * OF_FULL_KNOWLEDGE,
        "{digests:.3} with digests, {all:.3} with full knowledge"
    );
}

/// Load pattern: the same load a host, with ten times as many hosts and targets.
#[test_case(true, 0.5; "keyed, usual load")]
#[test_case(true, 0.75; "keyed, high load")]
#[test_case(false, 0.5; "without keys, usual load")]
#[test_case(false, 0.75; "without keys, high load")]
fn service_does_not_fall_with_the_number_of_hosts(keyed: bool, load: f64) {
    compare_sizes(keyed, load);
}

/// The same with more load than all targets can do.
#[test]
fn service_under_overload_does_not_fall_with_the_number_of_hosts() {
    compare_sizes(false, OVERLOAD);
}

fn compare_sizes(keyed: bool, load: f64) {
    let small = worth(30, keyed, load, Knowledge::Digests);
    let large = worth(300, keyed, load, Knowledge::Digests);
    assert!(
        large >= small * OF_SMALL_FLEET,
        "{small:.3} with 30 hosts, {large:.3} with 300"
    );
}
