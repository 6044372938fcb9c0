//! What callers of a fleet of entry hosts get, by its size, by load and by what the hosts know of
//! each other.
//!
//! `cargo run --release -p yucca-lane --example fleet`

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Knowledge, Setup};

const SIZES: [usize; 5] = [11, 30, 100, 300, 1_000];

fn main() {
    println!(
        "keyed hot load hosts knowledge | worth in-time late refused refused-late shed digests/s"
    );
    let largest = std::env::args().nth(1).and_then(|most| most.parse().ok());
    for (keyed, hot_keys, load) in [
        (true, 0, 0.5),
        (true, 0, 0.75),
        (true, 200, 0.5),
        (false, 0, 0.5),
        (false, 0, 0.75),
        (false, 0, 1.1),
    ] {
        for hosts in SIZES {
            if largest.is_some_and(|most: usize| hosts > most) {
                continue;
            }
            for knowledge in [Knowledge::Own, Knowledge::Digests, Knowledge::All] {
                let outcome = fleet::run(Setup {
                    hosts,
                    domains: 5,
                    targets_per_ten: 9,
                    load,
                    keyed,
                    hot_keys,
                    knowledge,
                    span: Duration::from_secs(6),
                    seed: 1,
                });
                println!(
                    "{keyed:5} {hot_keys:3} {load:.2} {hosts:5} {knowledge:8?} | {:.3} {:.3} {:.3} {:.3} {:.3} {:.3} {:.0}",
                    outcome.worth(),
                    outcome.in_time,
                    outcome.late,
                    outcome.refused,
                    outcome.refused_late,
                    outcome.shed,
                    outcome.digests_per_s
                );
            }
        }
    }
}
