//! The log file: torn writes, damage, full disks, folders of other hosts or logs and of newer
//! releases.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::fs;
use std::path;

use bytes::Bytes;
use proptest::prelude::*;
use test_case::test_case;
use yucca_log::storage::{Error, Record, Recovered, Store, Vote, file};
use yucca_log::{entry, membership};
use yucca_wire::id;

fn options() -> file::Options {
    file::Options {
        host: "a".parse().unwrap(),
        group: "till".into(),
        incarnation: 5,
        quota: 1 << 20,
    }
}

fn record(version: u64, text: &str) -> Record {
    Record::Append(vec![entry::Entry {
        position: entry::Position {
            term: entry::Term(1),
            version: id::Version(version),
        },
        body: entry::Body::Data(Bytes::from(text.to_owned())),
    }])
}

fn open(path: &path::Path) -> Result<(file::Folder, Recovered), Error> {
    file::Folder::open(path, &options())
}

/// Writes three records. Returns the size of the empty log and the offset at which each record ends.
fn fill(path: &path::Path) -> Vec<usize> {
    let (mut folder, _) = open(path).unwrap();
    let mut ends = vec![folder.bytes() as usize];
    for version in 1..=3 {
        folder.append(&[record(version, "a longer text")]).unwrap();
        ends.push(folder.bytes() as usize);
    }
    ends
}

fn versions(recovered: &Recovered) -> Vec<u64> {
    let entries = recovered.image.entries.iter();
    entries.map(|entry| entry.version().0).collect()
}

#[test]
fn stored_records_are_recovered() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered, Recovered::empty(5));
    let vote = Vote {
        term: entry::Term(3),
        candidate: Some(membership::Replica {
            host: "b".parse().unwrap(),
            incarnation: 2,
        }),
    };
    let cluster = entry::Cluster(8);
    store
        .append(&[Record::Cluster(cluster), Record::Vote(vote.clone())])
        .unwrap();
    store.append(&[record(1, "x"), record(2, "y")]).unwrap();
    store.append(&[record(2, "z")]).unwrap();
    drop(store);
    let mut other = options();
    other.incarnation = 6;
    let (_, recovered) = file::Folder::open(folder.path(), &other).unwrap();
    assert_eq!(recovered.incarnation, 5, "a folder keeps its incarnation");
    assert_eq!(recovered.image.vote, vote);
    assert_eq!(recovered.image.cluster, Some(cluster));
    let last = &recovered.image.entries[1];
    assert_eq!(last.body, entry::Body::Data(Bytes::from("z")));
}

#[test]
fn a_tail_torn_at_any_byte_is_removed() {
    let folder = tempfile::tempdir().unwrap();
    let ends = fill(folder.path());
    let log = folder.path().join("log");
    let intact = fs::read(&log).unwrap();
    for length in ends[2]..ends[3] {
        fs::write(&log, &intact[..length]).unwrap();
        let (mut store, recovered) = open(folder.path()).unwrap();
        assert_eq!(versions(&recovered), [1, 2], "cut at {length}");
        store.append(&[record(3, "again")]).unwrap();
        drop(store);
        let (_, recovered) = open(folder.path()).unwrap();
        assert_eq!(versions(&recovered), [1, 2, 3]);
    }
}

#[test]
fn a_tail_of_zeros_is_removed() {
    let folder = tempfile::tempdir().unwrap();
    let ends = fill(folder.path());
    let log = folder.path().join("log");
    let mut bytes = fs::read(&log).unwrap();
    bytes[ends[2] + 4..].fill(0);
    bytes.resize(ends[3] + 4096, 0);
    fs::write(&log, bytes).unwrap();
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(versions(&recovered), [1, 2]);
}

#[test]
fn any_changed_byte_is_detected() {
    let folder = tempfile::tempdir().unwrap();
    fill(folder.path());
    let log = folder.path().join("log");
    let intact = fs::read(&log).unwrap();
    for offset in 0..intact.len() {
        let mut bytes = intact.clone();
        bytes[offset] ^= 0x41;
        fs::write(&log, bytes).unwrap();
        let error = open(folder.path()).unwrap_err();
        let stops = matches!(error, Error::Corrupt { .. } | Error::Newer { .. });
        assert!(stops, "byte {offset}: {error}");
    }
}

#[test]
fn a_folder_set_aside_starts_a_new_replica() {
    let folder = tempfile::tempdir().unwrap();
    let ends = fill(folder.path());
    let log = folder.path().join("log");
    let mut bytes = fs::read(&log).unwrap();
    bytes[ends[1] + 20] ^= 1;
    fs::write(&log, bytes).unwrap();
    let error = open(folder.path()).unwrap_err().to_string();
    assert!(error.contains(&format!("byte {}", ends[1])), "{error}");
    assert!(error.contains("rejoins as a learner"), "{error}");
    file::Folder::set_aside(folder.path()).unwrap();
    let mut fresh = options();
    fresh.incarnation = 6;
    let (_, recovered) = file::Folder::open(folder.path(), &fresh).unwrap();
    assert_eq!(recovered, Recovered::empty(6));
}

#[test]
fn a_full_disk_loses_no_stored_record() {
    let folder = tempfile::tempdir().unwrap();
    let mut small = options();
    small.quota = 400;
    let (mut store, _) = file::Folder::open(folder.path(), &small).unwrap();
    let mut stored = 0;
    let error = loop {
        match store.append(&[record(stored + 1, "some text")]) {
            Ok(()) => stored += 1,
            Err(error) => break error,
        }
    };
    assert!(matches!(error, Error::Full { .. }), "{error}");
    drop(store);
    let (mut store, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.image.entries.len() as u64, stored);
    store.append(&[record(stored + 1, "some text")]).unwrap();
}

#[test]
fn a_snapshot_replaces_the_log_file() {
    let folder = tempfile::tempdir().unwrap();
    fill(folder.path());
    let (mut store, recovered) = open(folder.path()).unwrap();
    let before = store.bytes();
    let mut image = recovered.image;
    image.snapshot = Some(entry::Snapshot {
        position: image.entries[1].position,
        members: membership::Members::default(),
        state: Bytes::from("s"),
    });
    image.entries.remove(0);
    image.entries.remove(0);
    store
        .append(&[record(4, "dropped"), Record::Image(Box::new(image.clone()))])
        .unwrap();
    assert!(store.bytes() < before);
    store.append(&[record(4, "kept")]).unwrap();
    drop(store);
    fs::write(folder.path().join("log.next"), "left by a crash").unwrap();
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.image.snapshot, image.snapshot);
    assert_eq!(versions(&recovered), [3, 4]);
}

#[test_case("b", "till"; "of another host")]
#[test_case("a", "shelf"; "of another log")]
fn a_foreign_folder_is_refused(host: &str, group: &str) {
    let folder = tempfile::tempdir().unwrap();
    fill(folder.path());
    let mut other = options();
    other.host = host.parse().unwrap();
    other.group = group.into();
    let error = file::Folder::open(folder.path(), &other).unwrap_err();
    match error {
        Error::OtherHost { .. } => assert_eq!(host, "b"),
        Error::OtherGroup { .. } => assert_eq!(group, "shelf"),
        error => panic!("{error}"),
    }
}

#[test]
fn a_newer_folder_is_refused_and_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    fill(folder.path());
    let log = folder.path().join("log");
    let mut bytes = fs::read(&log).unwrap();
    bytes[4] = 2;
    bytes.truncate(50);
    fs::write(&log, &bytes).unwrap();
    let error = open(folder.path()).unwrap_err();
    assert!(
        matches!(
            error,
            Error::Newer {
                found: 2,
                supported: 1,
                ..
            }
        ),
        "{error}"
    );
    assert_eq!(fs::read(&log).unwrap(), bytes);
}

#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let _held = open(folder.path()).unwrap();
    let error = open(folder.path()).unwrap_err();
    assert!(matches!(error, Error::Locked { .. }), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A file with arbitrary bytes is read without a panic, and yields only the first records.
    #[test]
    fn garbage_is_never_read_as_records(
        at in 0_usize..300,
        garbage in proptest::collection::vec(any::<u8>(), 1..80),
    ) {
        let folder = tempfile::tempdir().unwrap();
        fill(folder.path());
        let log = folder.path().join("log");
        let mut bytes = fs::read(&log).unwrap();
        let at = at.min(bytes.len());
        bytes.splice(at.., garbage);
        fs::write(&log, bytes).unwrap();
        if let Ok((_, recovered)) = open(folder.path()) {
            let read = versions(&recovered);
            prop_assert!([1, 2, 3].starts_with(&read));
        }
    }
}
