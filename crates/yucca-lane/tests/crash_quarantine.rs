//! Requests that crash the targets that run them: when they are refused, and when not.

use std::time;

use test_case::test_case;
use yucca_lane::shared::quarantine::{CRASHES, Digest, Evidence, Table};
use yucca_own::site::target;

fn digest(name: &str) -> Digest {
    Digest::new(&[b"GET", b"host", name.as_bytes(), b""])
}

fn crash(name: &str, target: u32) -> Evidence {
    Evidence {
        digest: digest(name),
        targets: vec![target::Number(target)],
        age: time::Duration::ZERO,
    }
}

fn at(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

#[test]
fn the_third_instance_counts() {
    let mut table = Table::default();
    for target in 0..CRASHES as u32 {
        assert!(!table.is_refused(&digest("a"), at(1)));
        assert!(table.merge(&crash("a", target), at(1)).is_some());
    }
    assert!(table.is_refused(&digest("a"), at(1)));
    assert!(!table.is_refused(&digest("b"), at(1)));
    assert_eq!(table.refused_count(at(1)), 1);
}

/// Several copies of a request ran on an instance, or several hosts report the same crash.
#[test]
fn an_instance_counts_once() {
    let mut table = Table::default();
    assert!(table.merge(&crash("a", 1), at(1)).is_some());
    for _ in 0..10 {
        assert_eq!(table.merge(&crash("a", 1), at(1)), None);
    }
    assert!(!table.is_refused(&digest("a"), at(1)));
}

#[test]
fn an_answer_clears_a_request() {
    let mut table = Table::default();
    for target in 0..3 {
        table.merge(&crash("a", target), at(1));
    }
    assert!(table.clear(&digest("a")));
    assert!(!table.is_refused(&digest("a"), at(1)));
    assert!(!table.clear(&digest("a")));
    assert!(table.is_empty());
}

/// Hosts that have seen one crash each know of all once they have told each other, in any order.
#[test_case([0, 1, 2])]
#[test_case([2, 0, 1])]
#[test_case([1, 2, 0])]
fn hosts_that_tell_each_other_agree(order: [u32; 3]) {
    let mut seen = [Table::default(), Table::default(), Table::default()];
    for target in 0..3 {
        seen[target as usize].merge(&crash("a", target), at(1));
    }
    let mut heard = Table::default();
    for host in order {
        for evidence in seen[host as usize].all(at(2)) {
            heard.merge(&evidence, at(2));
        }
    }
    assert!(heard.is_refused(&digest("a"), at(2)));
    // Nothing is left to tell.
    for evidence in seen[0].all(at(3)) {
        assert_eq!(heard.merge(&evidence, at(3)), None);
    }
}

/// After some time one attempt shows whether the request still crashes targets. If it does, it is
/// refused for longer.
#[test]
fn a_refusal_ends_and_a_further_crash_renews_it() {
    let mut table = Table::default();
    for target in 0..3 {
        table.merge(&crash("a", target), at(0));
    }
    assert!(table.is_refused(&digest("a"), at(599)));
    assert!(!table.is_refused(&digest("a"), at(600)));
    table.merge(&crash("a", 9), at(700));
    assert!(table.is_refused(&digest("a"), at(700 + 1_199)));
    assert!(!table.is_refused(&digest("a"), at(700 + 1_200)));
}

/// A host that starts takes over the rest of the time, not a new one.
#[test]
fn time_counts_from_the_last_crash() {
    let mut table = Table::default();
    for target in 0..3 {
        table.merge(&crash("a", target), at(0));
    }
    let mut started = Table::default();
    for evidence in table.all(at(500)) {
        started.merge(&evidence, at(1_000));
    }
    assert!(started.is_refused(&digest("a"), at(1_099)));
    assert!(!started.is_refused(&digest("a"), at(1_100)));
}

#[test]
fn crashes_long_apart_do_not_add_up() {
    let mut table = Table::default();
    for target in 0..3 {
        table.merge(&crash("a", target), at(u64::from(target) * 600));
    }
    assert!(!table.is_refused(&digest("a"), at(1_200)));
}

/// Load pattern: many different requests run on targets that crash, none of which crashes three.
#[test]
fn the_table_is_bounded_and_keeps_what_is_refused() {
    let mut table = Table::default();
    for target in 0..3 {
        table.merge(&crash("a", target), at(0));
    }
    for number in 0..5_000 {
        table.merge(&crash(&format!("{number}"), 7), at(1));
    }
    assert!(table.all(at(2)).len() <= 1024);
    assert!(table.is_refused(&digest("a"), at(2)));
}

#[test]
fn parts_of_a_request_do_not_run_together() {
    let digests = [
        Digest::new(&[b"ab", b"c"]),
        Digest::new(&[b"a", b"bc"]),
        Digest::new(&[b"abc", b""]),
        Digest::new(&[b"abc"]),
    ];
    for (index, one) in digests.iter().enumerate() {
        for other in &digests[index + 1..] {
            assert_ne!(one, other);
        }
    }
}
