//! Scheduling of a host that shares its targets with others.
#![allow(clippy::unwrap_used)]

use std::time;

use indexmap::IndexMap;
use yucca_lane::shared::{service, target, window};
use yucca_own::site::{delta, item, range, target as site};
use yucca_wire::id;

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn facts(number: u32, near: bool) -> target::Facts {
    target::Facts {
        number: site::Number(number),
        near,
        slots: 2,
        open: true,
    }
}

fn request(number: u64) -> service::Request {
    service::Request {
        number,
        key: None,
        priority: 1,
        arrived: ms(0),
        objective_at: ms(400),
        limit_at: ms(900),
        tried: Vec::new(),
    }
}

fn sent(decisions: &[service::Decision]) -> Vec<(u64, u32)> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            service::Decision::Send { number, target, .. } => Some((*number, target.0)),
            service::Decision::Refuse { .. } => None,
        })
        .collect()
}

/// Updates a service with the owners of its keys.
fn update_owners(service: &mut service::Service, map: &range::Map) {
    let stripes = map.iter();
    let ranges = delta::Ranges {
        service: item::Name("s".into()),
        count: map.count(),
        owners: stripes
            .filter_map(|(number, stripe)| Some((stripe.owner?, stripe.token, vec![number])))
            .collect(),
    };
    service.set_keyed(true);
    service.update_owners(id::Version(1), &ranges);
}

/// Waiting at a near target costs no traffic between domains, so it is preferred until the answer
/// would be late.
#[test]
fn near_queues_go_before_far_targets_while_in_time() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, false), facts(1, true)]);
    let mut targets = Vec::new();
    for number in 0..3 {
        targets.extend(sent(&service.arrive(request(number), ms(0))));
    }
    let mut urgent = request(3);
    urgent.objective_at = ms(160);
    targets.extend(sent(&service.arrive(urgent, ms(0))));
    assert_eq!(targets, [(0, 1), (1, 1), (2, 1), (3, 0)]);
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, false), facts(1, true)]);
    for number in 0..2 {
        service.arrive(request(number), ms(0));
    }
    let mut urgent = request(2);
    urgent.objective_at = ms(160);
    assert_eq!(sent(&service.arrive(urgent, ms(0))), [(2, 0)]);
}

/// Load pattern: a hundred hosts share targets whose speeds differ by a factor of more than two,
/// and each host gets a few answers from each. Other hosts' measurements show which are fast.
#[test]
fn measurements_of_other_hosts_identify_fast_targets() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true), facts(1, true)]);
    let measure = |millis| target::Measurement {
        count: 4,
        time: ms(millis) * 4,
    };
    for _ in 0..3 {
        service.add_measurement(site::Number(0), measure(300));
        service.add_measurement(site::Number(1), measure(100));
    }
    let mut to_fast = 0;
    for number in 0..20 {
        let (_, target) = sent(&service.arrive(request(number), ms(0)))[0];
        to_fast += usize::from(target == 1);
        service.cancel_send(site::Number(target));
    }
    assert!(to_fast >= 12, "{to_fast} of 20 to the fast target");
}

/// Load pattern: a target becomes five times slower under its usual load, so that from then on a
/// request always waits there. The times of its answers must still raise the estimate.
#[test]
fn a_target_that_turns_slow_is_measured() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true)]);
    let time = |service: &service::Service| {
        let target = service.target(site::Number(0)).unwrap();
        target.service_time(target::DEFAULT_SERVICE_TIME)
    };
    for number in 0..10 {
        service.arrive(request(number), ms(0));
        let answered = service::Outcome::Answered(ms(100));
        service.finish(site::Number(0), answered, ms(100));
    }
    let before = time(&service);
    for number in 10..13 {
        service.arrive(request(number), ms(100));
    }
    for number in 13..40 {
        let answered = service::Outcome::Answered(ms(750));
        service.finish(site::Number(0), answered, ms(100));
        service.arrive(request(number), ms(100));
    }
    let after = time(&service);
    assert!(after > before * 2, "{before:?} before, {after:?} after");
}

/// Load pattern: all hosts together send ten times what the owner of a key can process. One request
/// waits here for a slot; later ones would wait for nothing and are refused.
#[test]
fn only_one_request_waits_for_a_busy_owner() {
    let (mut service, _) = keyed(1);
    let full = IndexMap::from([(site::Number(1), 3)]);
    for step in 0..300 {
        service.set_others(&full, 0.0, ms(step * 10));
    }
    let at = |number| {
        let mut request = with_key(number, 7);
        request.arrived = ms(3_000);
        request.objective_at = ms(3_400);
        request.limit_at = ms(3_900);
        request
    };
    assert!(service.arrive(at(0), ms(3_000)).is_empty());
    assert_eq!(
        service.arrive(at(1), ms(3_000)),
        [service::Decision::Refuse {
            number: 1,
            retry_after: ms(300),
        }]
    );
    assert_eq!(service.waiting(), 1);
}

/// An owner that is full only for a moment: both requests wait.
#[test]
fn requests_wait_for_a_briefly_full_owner() {
    let (mut service, _) = keyed(1);
    service.set_others(&IndexMap::from([(site::Number(1), 3)]), 0.0, ms(10));
    for number in 0..2 {
        assert!(service.arrive(with_key(number, 7), ms(10)).is_empty());
    }
}

#[test]
fn waiting_requests_are_sent_by_priority() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true)]);
    for number in 0..3 {
        assert_eq!(sent(&service.arrive(request(number), ms(0))).len(), 1);
    }
    assert!(service.arrive(request(3), ms(0)).is_empty());
    let mut urgent = request(4);
    urgent.priority = 0;
    assert!(service.arrive(urgent, ms(0)).is_empty());
    let answered = service::Outcome::Answered(ms(50));
    let freed = service.finish(site::Number(0), answered, ms(50));
    assert_eq!(sent(&freed), [(4, 0)]);
}

#[test]
fn the_load_of_other_hosts_counts() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true), facts(1, true)]);
    let others = IndexMap::from([(site::Number(0), 3)]);
    service.set_others(&others, 0.0, ms(0));
    assert_eq!(sent(&service.arrive(request(0), ms(0))), [(0, 1)]);
}

#[test]
fn a_request_without_targets_is_refused_once_late() {
    let mut service = service::Service::default();
    service.set_targets(&[]);
    assert!(service.arrive(request(0), ms(0)).is_empty());
    let wake = service.next_wake();
    assert_eq!(wake, Some(ms(400)), "from then on it cannot be in time");
    let decisions = service.dispatch(ms(400));
    assert!(matches!(
        decisions.as_slice(),
        [service::Decision::Refuse { number: 0, .. }]
    ));
    assert_eq!(service.waiting(), 0);
}

/// Load pattern: the owner of a busy key is full, and a request could be sent to it again each
/// millisecond. The pause after a refusal limits the retries.
#[test]
fn a_full_target_is_paused() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true)]);
    service.set_others(&IndexMap::from([(site::Number(0), 2)]), 0.0, ms(0));
    let mut arrivals = 0;
    let mut number = 0;
    for millis in 0..500 {
        number += 1;
        let again = if millis == 0 {
            service.arrive(request(number), ms(millis))
        } else {
            service.dispatch(ms(millis))
        };
        for (sent, target) in sent(&again) {
            arrivals += 1;
            service.finish(site::Number(target), service::Outcome::Shed, ms(millis));
            let _ = service.arrive(request(sent), ms(millis));
        }
    }
    assert!(arrivals <= 5, "{arrivals} arrivals in half a second");
}

/// Load pattern: a faulty target refuses half of its requests while its slots are free.
#[test]
fn a_target_that_sheds_with_free_slots_is_retried_soon() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true)]);
    for round in 0..6u64 {
        let now = ms(round * 30);
        assert_eq!(sent(&service.arrive(request(round), now)), [(round, 0)]);
        service.finish(site::Number(0), service::Outcome::Shed, now);
    }
}

/// Load pattern: a faulty target refuses half of its requests while its slots are free, and the
/// retry budget is used up. A caller that retries soon can still be in time; with a full target, an
/// early retry does not help.
#[test]
fn callers_shed_with_free_slots_retry_soon() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true)]);
    service.arrive(request(0), ms(0));
    service.finish(site::Number(0), service::Outcome::Shed, ms(5));
    assert_eq!(service.retry_after(site::Number(0), ms(900)), ms(25));
    service.set_others(&IndexMap::from([(site::Number(0), 2)]), 0.0, ms(30));
    service.arrive(request(1), ms(31));
    service.finish(site::Number(0), service::Outcome::Shed, ms(35));
    assert_eq!(service.retry_after(site::Number(0), ms(900)), ms(225));
}

fn keyed(owner: u32) -> (service::Service, range::Map) {
    let mut map = range::Map::new(16);
    map.assign(
        id::Version(1),
        &range::Assignment {
            service: item::Name("s".into()),
            count: 16,
            owner: site::Number(owner),
            stripes: (0..16).map(|stripe| (stripe, range::Token(0))).collect(),
        },
    );
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true), facts(1, true)]);
    update_owners(&mut service, &map);
    (service, map)
}

fn with_key(number: u64, key: u16) -> service::Request {
    service::Request {
        key: Some(key),
        ..request(number)
    }
}

#[test]
fn a_key_goes_to_its_owner_only() {
    let (mut service, _) = keyed(1);
    assert_eq!(sent(&service.arrive(with_key(0, 7), ms(0))), [(0, 1)]);
}

/// Load pattern: two requests of this domain arrive together at an owner that is idle on average.
/// Hosts of other domains are unlikely to have requests there at that moment; at a busy owner they
/// have some all the time.
#[test]
fn far_load_follows_the_average() {
    let (mut idle, _) = keyed(1);
    idle.set_others(&IndexMap::from([(site::Number(1), 1)]), 2.0, ms(10));
    assert_eq!(sent(&idle.arrive(with_key(0, 7), ms(10))), [(0, 1)]);
    let (mut busy, _) = keyed(1);
    for step in 0..300 {
        busy.set_others(&IndexMap::from([(site::Number(1), 1)]), 2.0, ms(step * 10));
    }
    let mut request = with_key(0, 7);
    request.arrived = ms(3_000);
    request.objective_at = ms(3_400);
    request.limit_at = ms(3_900);
    assert!(busy.arrive(request, ms(3_000)).is_empty());
}

#[test]
fn requests_wait_while_their_stripe_moves() {
    let (mut service, mut map) = keyed(1);
    service.move_stripes(&[(0, range::Token(1))], ms(0));
    assert!(service.arrive(with_key(0, 7), ms(0)).is_empty());
    map.assign(
        id::Version(2),
        &range::Assignment {
            service: item::Name("s".into()),
            count: 16,
            owner: site::Number(0),
            stripes: vec![(0, range::Token(1))],
        },
    );
    update_owners(&mut service, &map);
    assert_eq!(sent(&service.dispatch(ms(10))), [(0, 0)]);
}

/// Load pattern: an owner releases a stripe, and the next owner takes it with its own heartbeat,
/// later than the objective. If requests were refused at the objective, all would be retried at
/// once.
#[test]
fn a_request_for_a_moving_stripe_is_not_refused_early() {
    let (mut service, _) = keyed(1);
    service.move_stripes(&[(0, range::Token(1))], ms(0));
    service.arrive(with_key(0, 7), ms(0));
    assert!(service.dispatch(ms(500)).is_empty());
    assert_eq!(service.waiting(), 1);
}

/// Load pattern: a load peak. Requests that can no longer be in time are refused long before their
/// limit.
#[test]
fn waiting_requests_are_refused_once_late() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true)]);
    for number in 0..4 {
        service.arrive(request(number), ms(0));
    }
    let decisions = service.dispatch(ms(300));
    assert!(
        matches!(
            decisions.as_slice(),
            [service::Decision::Refuse { number: 3, .. }]
        ),
        "{decisions:?}"
    );
}

/// Load pattern: a domain is cut off, and owners in other domains cannot be reached. Requests for
/// their keys are refused at once instead of waiting until they are late.
#[test]
fn a_key_whose_owner_is_out_of_reach_is_refused_at_once() {
    let (mut service, _) = keyed(1);
    for number in 0..2 {
        let now = service.target(site::Number(1)).unwrap().paused_until;
        service.arrive(with_key(number, 7), now);
        service.finish(site::Number(1), service::Outcome::Failed, now);
    }
    let now = ms(410);
    let mut late = with_key(2, 7);
    late.arrived = now;
    late.objective_at = now + ms(400);
    late.limit_at = now + ms(900);
    let decisions = service.arrive(late, now);
    assert!(
        matches!(
            decisions.as_slice(),
            [service::Decision::Refuse { number: 2, .. }]
        ),
        "{decisions:?}"
    );
}

#[test]
fn a_denied_stripe_waits_longer_each_time() {
    let (mut service, _) = keyed(1);
    let mut arrivals = 0;
    let mut now = ms(0);
    let mut decisions = service.arrive(with_key(0, 7), now);
    while now < ms(850) {
        for (number, target) in sent(&decisions) {
            arrivals += 1;
            let not_owner = service::Outcome::NotOwner {
                key: 7,
                token: range::Token(1),
            };
            service.finish(site::Number(target), not_owner, now);
            service.arrive(with_key(number, 7), now);
        }
        now += ms(5);
        decisions = service.dispatch(now);
    }
    assert!((2..=6).contains(&arrivals), "{arrivals} arrivals");
}

#[test]
fn an_unreachable_target_is_paused_for_longer_each_time() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true), facts(1, false)]);
    service.arrive(request(0), ms(0));
    service.finish(site::Number(0), service::Outcome::Failed, ms(0));
    assert_eq!(sent(&service.arrive(request(1), ms(1))), [(1, 1)]);
    assert!(service.target(site::Number(0)).unwrap().is_usable(ms(450)));
    service.finish(site::Number(0), service::Outcome::Failed, ms(450));
    assert!(
        !service
            .target(site::Number(0))
            .unwrap()
            .is_usable(ms(1_000))
    );
}

#[test]
fn one_target_is_tried_after_all_have_failed() {
    let mut service = service::Service::default();
    service.set_targets(&[facts(0, true), facts(1, true)]);
    for number in 0..2 {
        let now = ms(number);
        let (_, target) = sent(&service.arrive(request(number), now))[0];
        service.finish(site::Number(target), service::Outcome::Failed, now);
    }
    assert_eq!(sent(&service.arrive(request(2), ms(3))).len(), 1);
}

#[test]
fn the_budget_holds_in_every_window_over_all_hosts() {
    let config = window::Config {
        window: ms(10_000),
        ratio: 0.2,
        extra: 60.0,
    };
    let hosts = 6;
    let mut windows = vec![window::Window::new(config); hosts];
    let mut events: Vec<(time::Duration, bool)> = Vec::new();
    for step in 0..6_000u64 {
        let now = ms(step * 5);
        let window = &mut windows[(step % 6) as usize];
        // Requests arrive in waves; each of them asks for three retries.
        if (step / 800).is_multiple_of(2) {
            window.record_request(now);
            events.push((now, false));
        }
        for _ in 0..3 {
            if window.try_retry(hosts, now) {
                events.push((now, true));
            }
        }
    }
    for start in (0..30_000).step_by(250).map(ms) {
        let inside = |at: &time::Duration| *at >= start && *at < start + config.window;
        let count = |repeat: bool| {
            let all = events.iter();
            all.filter(|(at, is)| *is == repeat && inside(at)).count() as f64
        };
        let before = events
            .iter()
            .filter(|(at, is)| !is && *at + config.window >= start && *at < start);
        let requests = count(false).max(before.count() as f64);
        let allowed = config.ratio * requests + config.extra;
        assert!(
            count(true) <= allowed,
            "from {start:?}: {} of {allowed}",
            count(true)
        );
    }
}

/// The sum of the slots and the queue must not overflow.
#[test]
fn a_target_with_the_greatest_number_of_slots_has_room() {
    let mut service = service::Service::default();
    service.set_targets(&[target::Facts {
        slots: u32::MAX,
        ..facts(1, true)
    }]);
    assert_eq!(sent(&service.arrive(request(0), ms(0))), [(0, 1)]);
}
