//! Requests that crash the targets that run them: when they are refused, and when not.

use std::time;

use test_case::test_case;
use yucca_lane::shared::quarantine::{CRASHES, Digest, Evidence, TRIAL_DELAY, Table};
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

/// Evidence of a crash of an instance that was sent the request at one time and ended at another, as
/// seen at `now`.
fn run(
    target: u32,
    sent: time::Duration,
    ended: time::Duration,
    now: time::Duration,
) -> [Evidence; 2] {
    Evidence::crash(digest("a"), target::Number(target), now - sent, now - ended)
}

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Guards against a healthy request that all hosts refuse, since several targets that ran copies of
/// it ended together. Load pattern: a domain crashes while each of its targets runs the request.
#[test_case(4, 0; "at the same moment")]
#[test_case(8, 40; "one after the other, within the time of a request")]
#[test_case(60, 5; "a large domain")]
fn targets_that_end_together_are_one_crash(targets: u32, gap: u64) {
    let mut table = Table::default();
    for target in 0..targets {
        let sent = millis(9_000 + u64::from(target));
        let ended = millis(10_000 + u64::from(target) * gap);
        table.merge_all(&run(target, sent, ended, at(11)), at(11));
    }
    assert!(!table.is_refused(&digest("a"), at(11)));
    assert!(!table.concerns_all(&digest("a")));
    assert!(table.all(at(11)).len() <= 16);
}

/// The request is sent again after each crash, as fast as can be, beside copies that ran on each target
/// before.
#[test_case(false; "alone")]
#[test_case(true; "after a domain crashed")]
fn a_request_that_is_sent_again_is_refused_at_the_third_crash(domain: bool) {
    let mut table = Table::default();
    if domain {
        for target in 100..160 {
            table.merge_all(&run(target, at(1), at(2), at(3)), at(3));
        }
        table.clear(&digest("a"));
        for target in 200..260 {
            table.merge_all(&run(target, at(4), at(5), at(6)), at(6));
        }
    }
    let before = u64::from(domain);
    for crash in before..CRASHES as u64 {
        assert!(!table.is_refused(&digest("a"), at(10)), "crash {crash}");
        let sent = millis(7_000 + crash * 50);
        table.merge_all(&run(crash as u32, sent, sent + millis(49), at(10)), at(10));
    }
    assert!(table.is_refused(&digest("a"), at(10)));
}

/// Hosts see different targets of the same event, and learn of each other's later, or start after it.
#[test]
fn hosts_count_an_event_of_which_each_sees_a_part_once() {
    let mut control = Table::default();
    for target in 0..4 {
        let told = run(target, millis(8_000), millis(9_000), at(9));
        control.merge_all(&told, at(9));
    }
    // The clock of a process starts with it.
    let mut started = Table::default();
    let known = control.all(at(20));
    started.merge_all(&known, millis(30));
    assert!(!started.is_refused(&digest("a"), millis(30)));
    // What a host is told later, and knows already, is no news.
    for later in [millis(40), millis(90)] {
        assert!(started.merge_all(&known, later).is_empty());
    }
    // Two further crashes in a row make three, for both.
    for (target, sent) in [(10, 21_000), (11, 22_000)] {
        let seen = run(target, millis(sent), millis(sent + 500), at(23));
        control.merge_all(&seen, at(23));
        started.merge_all(&seen, at(3));
    }
    assert!(control.is_refused(&digest("a"), at(23)));
    assert!(started.is_refused(&digest("a"), at(3)));
}

/// A host of an older build tells no start times, and counts instances.
#[test]
fn evidence_without_start_times_counts_as_before() {
    let mut table = Table::default();
    let targets = (0..3).map(target::Number).collect();
    let told = Evidence {
        digest: digest("a"),
        targets,
        age: at(1),
    };
    assert!(table.merge(&told, at(5)).is_some());
    assert!(table.is_refused(&digest("a"), at(5)));
}

/// While all hosts refuse a request, nobody learns that it is healthy. One of them may send it once.
#[test]
fn a_refused_request_is_tried_once_at_a_time() {
    let mut table = Table::default();
    for target in 0..3 {
        table.merge(&crash("a", target), at(0));
    }
    let delay = TRIAL_DELAY.as_secs();
    assert!(!table.start_trial(&digest("a"), at(delay - 1)));
    assert!(table.start_trial(&digest("a"), at(delay)));
    // There is no second trial before the first one may have ended, and the next ones get rarer.
    assert!(!table.start_trial(&digest("a"), at(2 * delay)));
    assert!(table.start_trial(&digest("a"), at(3 * delay)));
    assert!(!table.start_trial(&digest("a"), at(3 * delay + 59)));
    assert!(table.is_refused(&digest("a"), at(3 * delay + 59)));
    table.clear(&digest("a"));
    assert!(!table.start_trial(&digest("a"), at(4 * delay)));
}

/// A trial that crashes another target is the last one for long.
#[test]
fn a_trial_that_crashes_a_target_is_not_repeated() {
    let mut table = Table::default();
    for target in 0..3 {
        table.merge(&crash("a", target), at(0));
    }
    let delay = TRIAL_DELAY.as_secs();
    assert!(table.start_trial(&digest("a"), at(delay)));
    let crashed = run(7, at(delay), at(delay + 1), at(delay + 1));
    table.merge_all(&crashed, at(delay + 1));
    for second in delay + 2..delay + 1_201 {
        assert!(!table.start_trial(&digest("a"), at(second)));
        assert!(table.is_refused(&digest("a"), at(second)));
    }
}
