//! Record of the runs on mock targets: repeated and overlapping runs.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::sync;

use bytes::Bytes;
use test_case::test_case;
use yucca_dev::journal;

fn start(target: &str, key: Option<&'static str>, idempotent: bool) -> journal::Start {
    journal::Start {
        target: target.parse().unwrap(),
        service: "ticket-desk".parse().unwrap(),
        key: key.map(|key| Bytes::from_static(key.as_bytes())),
        request: Some("0a".into()),
        echo: Some(format!("echo-{target}")),
        idempotent,
    }
}

#[test_case("desk-1", "desk-2", Some("a"), Some("a"), true; "one key at two targets")]
#[test_case("desk-1", "desk-1", Some("a"), Some("a"), false; "one key at one target")]
#[test_case("desk-1", "desk-2", Some("a"), Some("b"), false; "two keys")]
#[test_case("desk-1", "desk-2", None, None, false; "no key")]
fn flags_overlapping_runs_of_a_key(
    first: &str,
    second: &str,
    first_key: Option<&'static str>,
    second_key: Option<&'static str>,
    flagged: bool,
) {
    let journal = sync::Arc::new(journal::Journal::default());
    let one = journal.begin(start(first, first_key, true));
    let two = journal.begin(start(second, second_key, true));
    one.finish(journal::End::Answered);
    two.finish(journal::End::Answered);
    assert_eq!(journal.totals().overlaps, u64::from(flagged));
    assert_eq!(journal.runs("echo-desk-1")[0].overlap, flagged);
}

#[test]
fn consecutive_runs_do_not_overlap() {
    let journal = sync::Arc::new(journal::Journal::default());
    journal
        .begin(start("desk-1", Some("a"), true))
        .finish(journal::End::Answered);
    journal
        .begin(start("desk-2", Some("a"), true))
        .finish(journal::End::Answered);
    assert_eq!(journal.totals().overlaps, 0);
}

#[test_case(true, 0; "idempotent")]
#[test_case(false, 1; "not idempotent")]
fn counts_repeats_unless_idempotent(idempotent: bool, repeats: u64) {
    let journal = sync::Arc::new(journal::Journal::default());
    drop(journal.begin(start("desk-1", None, idempotent)));
    let second = journal.begin(start("desk-1", None, idempotent));
    assert_eq!(second.count(), 2);
    assert_eq!(journal.totals().repeats, repeats);
    assert_eq!(journal.runs("echo-desk-1")[0].end, journal::End::Cancelled);
}
