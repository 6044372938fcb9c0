//! Groups of entry hosts, and the targets that they prefer for requests without a key.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::time;

use indexmap::{IndexMap, IndexSet};
use test_case::test_case;
use yucca_lane::shared::{cell, service, target};
use yucca_own::site::target as site;

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

#[test_case(0, 1; "no host is known")]
#[test_case(1, 1; "one host")]
#[test_case(10, 1; "as many as a group holds")]
#[test_case(11, 2; "one more")]
#[test_case(57, 6; "a large domain")]
fn groups_are_even_and_bounded(hosts: usize, groups: usize) {
    let mut sizes: IndexMap<usize, usize> = IndexMap::new();
    for rank in 0..hosts.max(1) {
        let cell = cell::Cell::of(rank, hosts);
        assert_eq!(cell.count, groups);
        *sizes.entry(cell.index).or_default() += 1;
    }
    assert_eq!(sizes.len(), groups);
    let (least, most) = (sizes.values().min().unwrap(), sizes.values().max().unwrap());
    assert!(most - least <= 1 && *most <= 10, "{sizes:?}");
}

#[test]
fn a_rank_beyond_the_hosts_is_in_the_last_group() {
    assert_eq!(cell::Cell::of(99, 20), cell::Cell { index: 1, count: 2 });
}

fn facts(number: u32, near: bool) -> target::Facts {
    target::Facts {
        number: site::Number(number),
        near,
        slots: 3,
        open: true,
    }
}

fn request(number: u64) -> service::Request {
    service::Request {
        number,
        key: None,
        priority: 1,
        arrived: ms(0),
        objective_at: ms(600),
        limit_at: ms(1_500),
        tried: Vec::new(),
    }
}

fn in_group(index: usize, count: usize, targets: &[target::Facts]) -> service::Service {
    let mut service = service::Service::default();
    service.set_targets(targets);
    service.set_cell(cell::Cell { index, count });
    service
}

fn preferred(service: &service::Service, targets: &[target::Facts]) -> IndexSet<u32> {
    let numbers = targets.iter().map(|facts| facts.number);
    let preferred = numbers.filter(|number| service.target(*number).unwrap().preferred);
    preferred.map(|number| number.0).collect()
}

#[test]
fn each_near_target_is_preferred_by_one_group() {
    let targets: Vec<target::Facts> = (0..40).map(|number| facts(number, number < 24)).collect();
    let mut seen = IndexSet::new();
    for index in 0..4 {
        let group = preferred(&in_group(index, 4, &targets), &targets);
        assert_eq!(group.len(), 6);
        for number in group {
            assert!(seen.insert(number), "{number} is preferred by two groups");
        }
    }
    assert!(seen.iter().all(|number| *number < 24));
    assert_eq!(seen.len(), 24);
}

/// With few targets, groups share them, so that a lost one is a small part of a group's.
#[test]
fn a_group_prefers_several_targets() {
    let targets: Vec<target::Facts> = (0..6).map(|number| facts(number, true)).collect();
    for index in 0..6 {
        assert_eq!(preferred(&in_group(index, 6, &targets), &targets).len(), 6);
    }
}

/// Load pattern: the targets of a group are full for a while. Those of the other groups of the
/// domain, of which the host knows nothing, are assumed to be as loaded; those of other domains may
/// have room, until they turn out to be full, too.
#[test]
fn requests_go_to_other_domains_when_the_group_has_no_room_in_time() {
    let targets: Vec<target::Facts> = (0..10).map(|number| facts(number, number < 8)).collect();
    let mut service = in_group(0, 2, &targets);
    let own = preferred(&service, &targets);
    for number in 0..16 {
        let decisions = service.arrive(request(number), ms(0));
        let [service::Decision::Send { target, .. }] = decisions.as_slice() else {
            panic!("{decisions:?}");
        };
        assert!(own.contains(&target.0));
    }
    service.set_others(&IndexMap::new(), 0.0, ms(10));
    let decisions = service.arrive(request(16), ms(10));
    let [service::Decision::Send { target, .. }] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert!(target.0 >= 8, "sent to {target}");
    for _ in 0..4 {
        service.finish(*target, service::Outcome::Shed, ms(20));
    }
    let decisions = service.arrive(request(17), ms(20));
    assert_eq!(decisions, [], "sent to be late or refused");
}

/// Load pattern: all targets of the group leave, rest or state a limit that is used up, and a request
/// has waited for them past its objective. A target elsewhere can still serve it late.
#[test]
fn a_late_request_goes_elsewhere_if_no_target_of_the_group_may_be_used() {
    let targets: Vec<target::Facts> = (0..5).map(|number| facts(number, number < 4)).collect();
    for leaving in [true, false] {
        let mut service = in_group(0, 1, &targets);
        for number in 0..4 {
            if leaving {
                service.set_leaving(site::Number(number), ms(0));
            } else {
                service.set_rest(site::Number(number), ms(5_000), ms(0));
            }
        }
        let mut late = request(1);
        late.arrived = ms(2_000);
        late.objective_at = ms(2_050);
        late.limit_at = ms(3_500);
        let decisions = service.arrive(late, ms(2_000));
        let [service::Decision::Send { target, .. }] = decisions.as_slice() else {
            panic!("leaving: {leaving}, {decisions:?}");
        };
        assert_eq!(target.0, 4);
    }
}

/// Load pattern: a host knows the load of nine of 284 others. An owner with one request from those
/// is not full, and a request for its key must not wait.
#[test]
fn a_small_sample_of_the_load_is_not_extrapolated() {
    for (far, sent) in [(2.0, false), (27.0, true)] {
        let (mut service, key) = keyed();
        let loads = IndexMap::from([(site::Number(0), 2)]);
        for step in 0..300 {
            service.set_others(&loads, far, ms(step * 10));
        }
        let mut request = request(1);
        request.key = Some(key);
        request.arrived = ms(3_000);
        request.objective_at = ms(3_600);
        request.limit_at = ms(4_500);
        let decisions = service.arrive(request, ms(3_000));
        let is_sent = matches!(decisions.as_slice(), [service::Decision::Send { .. }]);
        assert_eq!(
            is_sent, sent,
            "{far} others for each known host: {decisions:?}"
        );
    }
}

/// Returns a service of one target that owns all keys, and a key.
fn keyed() -> (service::Service, u16) {
    use yucca_own::site::{delta, item, range};
    use yucca_wire::id;

    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true)]);
    service.set_keyed(true);
    let ranges = delta::Ranges {
        service: item::Name("s".into()),
        count: 4,
        owners: vec![(site::Number(0), range::Token::default(), vec![0, 1, 2, 3])],
    };
    service.update_owners(id::Version(1), &ranges);
    (service, 7)
}
