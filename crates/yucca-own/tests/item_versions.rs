//! Items with revisions: the highest revision wins, a change is applied as a whole, and a repeated
//! call is acknowledged again.

use bytes::Bytes;
use std::time;
use test_case::test_case;
use yucca_own::site::{Command, Outcome, State, item};
use yucca_wire::id;

fn service(name: &str, revision: u64) -> item::Item {
    item::Item {
        key: item::Key {
            kind: item::Kind::Service,
            name: item::Name(name.into()),
        },
        revision: item::Revision(revision),
        body: Some(item::Body::Service(item::Service {
            keyed: false,
            connections: 10,
            warmup: time::Duration::ZERO,
        })),
        source: Bytes::from(format!("{name}@{revision}")),
    }
}

fn route(name: &str, revision: u64, host: &str, to: &[(&str, u32)]) -> item::Item {
    let destinations = to.iter().map(|(service, weight)| item::Destination {
        service: item::Name((*service).into()),
        weight: *weight,
    });
    item::Item {
        key: item::Key {
            kind: item::Kind::Route,
            name: item::Name(name.into()),
        },
        revision: item::Revision(revision),
        body: Some(item::Body::Route(item::Route {
            host: host.into(),
            prefix: "/".into(),
            idempotent: true,
            timeout: time::Duration::from_secs(1),
            objective: time::Duration::from_millis(400),
            priority: 0,
            attempts: 2,
            destinations: destinations.collect(),
        })),
        source: Bytes::from(format!("{name}@{revision}")),
    }
}

fn removed(mut item: item::Item, revision: u64) -> item::Item {
    item.revision = item::Revision(revision);
    item.body = None;
    item
}

#[derive(Default)]
struct Log {
    state: State,
    version: u64,
}

impl Log {
    fn change(&mut self, items: Vec<item::Item>) -> Outcome {
        self.version += 1;
        let patch = item::Patch { items };
        self.state
            .apply(id::Version(self.version), Command::Change(patch))
    }

    fn active(&self) -> Vec<String> {
        let items = self.state.items.active();
        let mut sources: Vec<String> = items
            .map(|(_, record)| String::from_utf8_lossy(&record.source).into_owned())
            .collect();
        sources.sort();
        sources
    }
}

#[test]
fn the_highest_revision_wins_in_any_order() {
    let mut log = Log::default();
    assert_eq!(log.change(vec![service("a", 7)]), Outcome::Done);
    assert_eq!(log.change(vec![service("a", 5)]), Outcome::Done);
    assert_eq!(log.active(), ["a@7"]);
    assert_eq!(log.change(vec![removed(service("a", 0), 9)]), Outcome::Done);
    assert_eq!(log.change(vec![service("a", 8)]), Outcome::Done);
    assert!(log.active().is_empty());
    assert_eq!(log.change(vec![service("a", 10)]), Outcome::Done);
    assert_eq!(log.active(), ["a@10"]);
}

#[test]
fn other_content_under_the_same_revision_changes_nothing() {
    let mut log = Log::default();
    log.change(vec![service("a", 7)]);
    let mut other = service("a", 7);
    other.source = Bytes::from_static(b"other");
    assert_eq!(log.change(vec![other]), Outcome::Done);
    assert_eq!(log.active(), ["a@7"]);
}

#[test]
fn a_repeated_call_is_acknowledged_again() {
    let mut log = Log::default();
    let call = || vec![service("a", 1), route("r", 1, "h", &[("a", 1)])];
    assert_eq!(log.change(call()), Outcome::Done);
    let before = log.active();
    assert_eq!(log.change(call()), Outcome::Done);
    assert_eq!(log.active(), before);
}

#[test_case(vec![route("r", 2, "h", &[("b", 1)])]; "a service that never existed")]
#[test_case(vec![route("r", 2, "h", &[("a", 0)])]; "no weight")]
#[test_case(vec![route("r", 2, "", &[("a", 1)])]; "no host")]
#[test_case(vec![route("q", 2, "h", &[("a", 1)])]; "the host and prefix of another route")]
#[test_case(vec![removed(service("a", 0), 2)]; "a service that a route names is removed")]
fn an_invalid_call_changes_nothing(bad: Vec<item::Item>) {
    let mut log = Log::default();
    log.change(vec![service("a", 1), route("r", 1, "h", &[("a", 1)])]);
    let before = log.active();
    let mut call = vec![service("c", 2)];
    call.extend(bad);
    assert!(matches!(log.change(call), Outcome::Refused(_)));
    assert_eq!(log.active(), before);
}

#[test]
fn a_superseded_route_may_name_a_removed_service() {
    let mut log = Log::default();
    log.change(vec![service("a", 1), route("r", 1, "h", &[("a", 1)])]);
    log.change(vec![
        removed(route("r", 0, "h", &[("a", 1)]), 5),
        removed(service("a", 0), 5),
    ]);
    let late = vec![route("r", 3, "h", &[("a", 1)])];
    assert_eq!(log.change(late), Outcome::Done);
    assert!(log.active().is_empty());
}

/// A route that is superseded when it arrives has no effect, so its place is not checked when it is
/// applied. Whoever acknowledges it has to know that another route has the place.
#[test]
fn a_superseded_route_in_the_place_of_another_conflicts() {
    let mut log = Log::default();
    log.change(vec![
        service("a", 1),
        route("r", 1, "h", &[("a", 1)]),
        route("q", 7, "g", &[("a", 1)]),
    ]);
    let conflicts = |log: &Log, items: Vec<item::Item>| {
        let patch = item::Patch { items };
        log.state.items.conflicts(&patch).len()
    };
    let late = || vec![route("q", 5, "h", &[("a", 1)])];
    assert_eq!(conflicts(&log, late()), 1);
    let same_revision = vec![route("q", 7, "h", &[("a", 1)])];
    assert_eq!(conflicts(&log, same_revision), 1);
    // Its own place, or one that is free.
    assert_eq!(conflicts(&log, vec![route("q", 5, "g", &[("a", 1)])]), 0);
    assert_eq!(conflicts(&log, vec![route("q", 5, "f", &[("a", 1)])]), 0);
    // The stored revision again, and one that takes effect.
    assert_eq!(conflicts(&log, vec![route("q", 7, "g", &[("a", 1)])]), 0);
    assert_eq!(conflicts(&log, vec![route("q", 8, "f", &[("a", 1)])]), 0);
    // The other route leaves the place in the same call.
    let mut moving = late();
    moving.push(route("r", 2, "e", &[("a", 1)]));
    assert_eq!(conflicts(&log, moving), 0);
}

#[test_case(vec![route("r", 1, "h", &[("a", 1)]), route("q", 1, "h", &[("a", 1)])], 1; "two routes in one place")]
#[test_case(vec![route("r", 1, "h", &[("a", 1)]), route("q", 1, "g", &[("a", 1)])], 0; "two routes in two places")]
#[test_case(vec![route("r", 1, "h", &[("a", 1)]), route("r", 1, "h", &[("a", 1)])], 0; "a route twice")]
#[test_case(vec![route("r", 1, "h", &[("a", 1)]), route("r", 2, "g", &[("a", 1)]), route("q", 1, "h", &[("a", 1)])], 0; "a place that a newer revision leaves")]
#[test_case(vec![route("r", 1, "h", &[("a", 1)]), removed(route("q", 0, "h", &[("a", 1)]), 1)], 0; "a removed route")]
#[test_case(vec![route("r", 1, "", &[("a", 0)])], 2; "no host and no weight")]
fn a_call_has_faults_by_itself(items: Vec<item::Item>, count: usize) {
    let patch = item::Patch { items };
    assert_eq!(patch.faults().len(), count, "{:?}", patch.faults());
}

#[test]
fn a_follower_applies_only_newer_deltas() {
    let mut log = Log::default();
    log.change(vec![service("a", 1), route("r", 1, "h", &[("a", 1)])]);
    let old = log.state.delta(id::Version(0));
    log.change(vec![removed(route("r", 0, "h", &[("a", 1)]), 2)]);
    let mut follower = State::default();
    assert!(follower.apply_delta(log.state.delta(id::Version(0))));
    assert!(!follower.apply_delta(old));
    assert_eq!(follower.items.active().count(), 1);
    assert_eq!(follower.version, log.state.version);
}

#[test]
fn a_saved_state_is_restored() {
    let mut log = Log::default();
    log.change(vec![service("a", 1), route("r", 1, "h", &[("a", 1)])]);
    let bytes = log.state.save().unwrap();
    assert_eq!(State::restore(&bytes).unwrap(), log.state);
}
