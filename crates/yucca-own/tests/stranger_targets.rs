//! Announcements that may come from a target of another deployment: what they change for targets
//! that are up.
#![allow(clippy::unwrap_used)]

use std::time;

use test_case::test_case;
use yucca_own::site::{Command, State, admission, item, lease, range, target};
use yucca_wire::id;

const CONFIG: lease::Config = lease::Config {
    duration: time::Duration::from_secs(3),
    contact_timeout: time::Duration::from_secs(3),
    claim_delay: time::Duration::from_secs(1),
};

fn at(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn target(name: &str, service: &str, started: u64, port: u16) -> target::Target {
    target::Target {
        instance: target::Instance {
            name: item::Name(name.into()),
            started,
        },
        service: item::Name(service.into()),
        address: ([10, 0, 0, 1], port).into(),
        domain: item::Name("d".into()),
        slots: 3,
        phase: target::Phase::Ready,
    }
}

/// A leader with the services `keyed` and `plain`, long after its election.
struct Leader {
    state: State,
    version: u64,
    leases: lease::Registry,
    sequence: u64,
}

impl Leader {
    fn new() -> Self {
        let mut leader = Self {
            state: State::default(),
            version: 0,
            leases: lease::Registry::new(CONFIG, at(0)),
            sequence: 0,
        };
        let items = [("keyed", true), ("plain", false)].map(|(name, keyed)| item::Item {
            key: item::Key {
                kind: item::Kind::Service,
                name: item::Name(name.into()),
            },
            revision: item::Revision(1),
            body: Some(item::Body::Service(item::Service {
                keyed,
                connections: 10,
                warmup: time::Duration::ZERO,
            })),
            source: bytes::Bytes::new(),
        });
        leader.apply(Command::Change(item::Patch {
            items: items.into(),
        }));
        leader
    }

    fn apply(&mut self, command: Command) {
        self.version += 1;
        self.state.apply(id::Version(self.version), command);
    }

    fn admit(&self, target: &target::Target, now: time::Duration) -> admission::Admission {
        admission::admit(&self.state, &self.leases, target, now)
    }

    fn record(&self, name: &str) -> target::Record {
        self.state
            .targets
            .latest(&item::Name(name.into()))
            .unwrap()
            .clone()
    }

    /// Registers a target without a check.
    fn announce(&mut self, target: target::Target) {
        self.apply(Command::Announce(target));
    }

    /// Handles a heartbeat of a keyed target, which gets free keys. Returns the number of stripes
    /// that it owns then.
    fn heartbeat(&mut self, name: &str, now: time::Duration) -> usize {
        self.sequence += 1;
        let record = self.record(name);
        let service = &record.target.service;
        self.leases.record_contact(record.number, service, now);
        let digest = lease::Digest::empty(self.sequence);
        self.leases
            .record_heartbeat(&self.state, &record, &digest, now);
        if let Some(assignment) = self.leases.claim(&self.state, &record, now) {
            self.apply(Command::Assign(assignment.clone()));
            self.leases.finish_claim(&assignment, true);
        }
        self.leases.renew(&self.state, &record, now);
        let map = self.state.ranges.get(service);
        map.map_or(0, |map| map.owned(record.number).count())
    }
}

fn occupied_by(target: &target::Target) -> admission::Admission {
    admission::Admission::Occupied(target.instance.clone())
}

/// Guards against targets that count as gone, and lose their keys, since another deployment
/// announced a target at their address.
#[test]
fn a_target_of_an_unknown_service_ends_no_other() {
    let mut leader = Leader::new();
    leader.announce(target("a", "keyed", 1, 80));
    let stranger = target("x", "staging", 2, 80);
    let unknown = admission::Admission::UnknownService(item::Name("staging".into()));
    assert_eq!(leader.admit(&stranger, at(60_000)), unknown);
}

/// The same, if the other deployment has services of the same names.
#[test_case("keyed", target("x", "keyed", 2, 80); "another name at the address")]
#[test_case("keyed", target("x", "plain", 2, 80); "another service at the address")]
#[test_case("keyed", target("a", "keyed", 2, 81); "the name at another address")]
#[test_case("plain", target("x", "plain", 2, 80); "without keys")]
fn a_target_that_is_up_is_not_replaced(service: &str, stranger: target::Target) {
    let mut leader = Leader::new();
    let up = target("a", service, 1, 80);
    leader.announce(up.clone());
    for second in 10..40 {
        leader.heartbeat("a", at(second * 1_000));
        let admission = leader.admit(&stranger, at(second * 1_000 + 900));
        assert_eq!(admission, occupied_by(&up), "second {second}");
    }
    // Once it has been silent for the time of a lease, its address may have another target.
    let silent = at(39_000) + CONFIG.expiry();
    assert_eq!(leader.admit(&stranger, silent - at(1)), occupied_by(&up));
    let admission = leader.admit(&stranger, silent);
    assert_eq!(admission, admission::Admission::Register);
}

/// A leader does not know how long a target was silent before its election.
#[test]
fn a_new_leader_waits_before_it_replaces_a_target() {
    let mut leader = Leader::new();
    let up = target("a", "plain", 1, 80);
    leader.announce(up.clone());
    let stranger = target("x", "plain", 2, 80);
    let known = CONFIG.expiry();
    assert_eq!(leader.admit(&stranger, known - at(1)), occupied_by(&up));
    let admission = leader.admit(&stranger, known);
    assert_eq!(admission, admission::Admission::Register);
}

#[test]
fn a_target_that_starts_again_is_registered_at_once() {
    let mut leader = Leader::new();
    leader.announce(target("a", "keyed", 1, 80));
    assert!(leader.heartbeat("a", at(10_000)) == 0);
    assert!(leader.heartbeat("a", at(11_000)) > 0);
    let restarted = target("a", "keyed", 2, 80);
    let admission = leader.admit(&restarted, at(11_100));
    assert_eq!(admission, admission::Admission::Register);
    leader.announce(restarted);
    assert!(leader.heartbeat("a", at(11_200)) > 0, "the keys are free");
}

#[test]
fn a_registered_target_may_drain_without_its_service() {
    let mut leader = Leader::new();
    let mut drained = target("a", "removed", 1, 80);
    leader.announce(drained.clone());
    drained.phase = target::Phase::Draining;
    let admission = leader.admit(&drained, at(1));
    assert_eq!(admission, admission::Admission::Register);
}

/// Guards against two owners of a key: a target that was replaced without being asked may be up, and
/// holds its keys until its lease has expired.
#[test]
fn keys_of_a_replaced_target_are_free_after_its_lease() {
    let mut leader = Leader::new();
    leader.announce(target("a", "keyed", 1, 80));
    leader.announce(target("b", "keyed", 1, 90));
    assert_eq!(leader.heartbeat("a", at(10_000)), 0);
    let mut owned = 0;
    for millis in [11_000, 12_000, 13_000] {
        owned = leader.heartbeat("a", at(millis));
    }
    assert!(owned > 0);
    leader.announce(target("x", "plain", 2, 80));
    assert_eq!(leader.record("a").target.phase, target::Phase::Gone);
    let number = leader.record("a").number;
    let owns_all = |leader: &Leader| {
        let map: &range::Map = &leader.state.ranges[&item::Name("keyed".into())];
        map.owned(number).count() == owned
    };
    let expired = at(13_000) + CONFIG.expiry();
    leader.heartbeat("b", expired - at(1));
    assert!(
        owns_all(&leader),
        "keys were assigned before the lease ended"
    );
    leader.heartbeat("b", expired);
    assert!(!owns_all(&leader), "keys stay without an owner");
}
