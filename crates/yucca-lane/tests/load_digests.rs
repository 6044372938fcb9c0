//! Load digests of other hosts, and the end of what they say.
#![allow(clippy::unwrap_used)]

use std::net;
use std::time;

use indexmap::IndexMap;
use test_case::test_case;
use yucca_lane::shared::{digest, service, target};
use yucca_own::site::{delta, item, range, target as site};
use yucca_wire::id;

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

const SLOTS: u32 = 3;

/// Time after the last digest by which no load and no average of it counts any more: the time until
/// it expires, and a few time constants of the average.
const FORGOTTEN: time::Duration = ms(5_000);

fn host(number: u8) -> net::IpAddr {
    net::Ipv4Addr::new(10, 0, 0, number).into()
}

fn loads(load: u32) -> Vec<(site::Number, u32)> {
    vec![(site::Number(0), load)]
}

/// A service with one target, and the digests of other hosts.
struct Host {
    service: service::Service,
    digests: digest::Table,
    far: f64,
    now: time::Duration,
}

impl Host {
    fn new(keyed: bool, far: f64) -> Self {
        let mut service = service::Service::default();
        service.set_targets(&[target::Facts {
            number: site::Number(0),
            near: true,
            slots: SLOTS,
            open: true,
        }]);
        service.set_keyed(keyed);
        if keyed {
            let ranges = delta::Ranges {
                service: item::Name("s".into()),
                count: 1,
                owners: vec![(site::Number(0), range::Token(1), vec![0])],
            };
            service.update_owners(id::Version(1), &ranges);
        }
        Self {
            service,
            digests: digest::Table::default(),
            far,
            now: ms(0),
        }
    }

    /// Lets time pass, in which only what is due by itself happens.
    fn pass(&mut self, span: time::Duration) -> Vec<service::Decision> {
        let until = self.now + span;
        let mut decisions = Vec::new();
        loop {
            let apply = self.digests.next_apply();
            let next = self.service.next_wake().map_or(apply, |at| at.min(apply));
            if next > until {
                self.now = until;
                return decisions;
            }
            self.now = self.now.max(next);
            if apply <= self.now {
                let others = self.digests.apply(self.now);
                self.service.set_others(&others, self.far, self.now);
            }
            decisions.extend(self.service.dispatch(self.now));
        }
    }

    fn receive(&mut self, sequence: u64, load: u32) -> bool {
        let sequence = digest::Sequence(sequence);
        self.digests
            .insert(host(1), sequence, loads(load), self.now)
    }

    fn arrive(&mut self, number: u64, patience: time::Duration) -> Vec<service::Decision> {
        let request = service::Request {
            number,
            key: Some(7),
            priority: 1,
            arrived: self.now,
            objective_at: self.now + patience,
            limit_at: self.now + patience,
            tried: Vec::new(),
        };
        self.service.arrive(request, self.now)
    }

    fn target(&self) -> &target::Target {
        self.service.target(site::Number(0)).unwrap()
    }
}

fn is_sent(decisions: &[service::Decision]) -> bool {
    matches!(decisions, [service::Decision::Send { .. }])
}

/// Guards against a load that is never forgotten: the digest of a lost host counted until another one
/// arrived.
#[test_case(false; "without keys")]
#[test_case(true; "keyed")]
fn a_request_is_sent_once_the_digest_of_a_lost_host_has_expired(keyed: bool) {
    let mut host = Host::new(keyed, 0.0);
    assert!(host.receive(1, SLOTS + 1));
    host.pass(ms(50));
    assert_eq!(host.arrive(1, ms(4_000)), [], "the target is full");
    let early = host.pass(digest::EXPIRY - ms(51));
    assert_eq!(early, [], "the digest has not expired");
    let decisions = host.pass(ms(1));
    assert!(is_sent(&decisions), "{decisions:?} at {:?}", host.now);
    assert!(host.digests.is_empty());
}

/// Guards against averages of a load that stay after it has ended, by which requests for an idle owner
/// of keys were refused, and its slots seemed to be in use by hosts of other groups.
#[test]
fn averages_end_after_the_last_digest() {
    let mut host = Host::new(true, 2.0);
    for sequence in 1..50 {
        host.receive(sequence, SLOTS);
        host.pass(ms(100));
    }
    assert!(host.target().is_busy());
    assert!(host.target().load() > SLOTS, "the load elsewhere counts");
    host.pass(FORGOTTEN);
    assert!(!host.target().is_busy());
    assert_eq!(host.target().load(), 0);
    let decisions = host.arrive(1, ms(1_000));
    assert!(is_sent(&decisions), "{decisions:?}");
}

/// A load that begins after a long silence counts from its beginning, not for the time before.
#[test]
fn a_load_after_a_silence_is_not_averaged_over_it() {
    let mut host = Host::new(true, 2.0);
    host.pass(ms(60_000));
    host.receive(1, SLOTS);
    host.pass(ms(100));
    assert!(!host.target().is_busy());
}

/// Everything that makes a target seem unusable for a time ends with time alone.
#[test_case(service::Outcome::Failed; "failures")]
#[test_case(service::Outcome::Shed; "refusals")]
#[test_case(service::Outcome::NotOwner { key: 7, token: range::Token(1) }; "denials")]
fn a_pause_ends_without_an_event(outcome: service::Outcome) {
    let mut host = Host::new(true, 0.0);
    for _ in 0..20 {
        host.service.finish(site::Number(0), outcome, host.now);
    }
    host.service.set_rest(site::Number(0), ms(2_000), host.now);
    host.service.move_stripes(&[(0, range::Token(1))], host.now);
    host.receive(1, SLOTS + 1);
    host.pass(ms(10));
    // The longest pause is five seconds.
    host.pass(ms(5_000));
    let decisions = host.arrive(1, ms(1_000));
    assert!(is_sent(&decisions), "{decisions:?}");
}

/// The first digest of a host that has restarted is not taken for an old one.
#[test]
fn a_restarted_host_replaces_its_digest_at_once() {
    let mut host = Host::new(false, 0.0);
    let (before, after) = (digest::Sequence::first(9), digest::Sequence::first(4));
    assert!(host.receive(before.next().0, SLOTS + 1));
    assert!(host.receive(after.next().0, 0));
    host.pass(ms(50));
    assert!(is_sent(&host.arrive(1, ms(1_000))));
}

#[test]
fn a_late_digest_replaces_no_newer_one() {
    let mut host = Host::new(false, 0.0);
    assert!(host.receive(1_000, 0));
    assert!(!host.receive(1_000, SLOTS + 1), "the same once more");
    assert!(!host.receive(990, SLOTS + 1), "an earlier one");
    host.pass(digest::EXPIRY);
    assert!(host.receive(990, SLOTS + 1), "the known one has expired");
}

/// Processes of an older version begin with low numbers again. Their digests count once the last one
/// of the process before has expired.
#[test]
fn low_numbers_count_after_the_expiry_of_high_ones() {
    let mut table = digest::Table::default();
    let insert = |table: &mut digest::Table, sequence, now| {
        table.insert(host(1), digest::Sequence(sequence), loads(1), now)
    };
    assert!(insert(&mut table, 500, ms(0)));
    assert!(!insert(&mut table, 1, ms(900)));
    assert!(insert(&mut table, 2, ms(1_000)));
}

#[test]
fn loads_of_several_hosts_add_up() {
    let mut table = digest::Table::default();
    for (number, load) in [(1, 2), (2, u32::MAX), (3, 1)] {
        table.insert(host(number), digest::Sequence(1), loads(load), ms(0));
    }
    let sums = table.apply(ms(20));
    assert_eq!(sums, IndexMap::from([(site::Number(0), u32::MAX)]));
}
