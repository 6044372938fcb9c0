//! Targets that want no requests from this host for a time.

use std::time;

use test_case::test_case;
use yucca_lane::shared::{service, target};
use yucca_own::site::{delta, item, range, target as site};
use yucca_wire::id;

const REST: time::Duration = ms(3_000);

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn facts(number: u32) -> target::Facts {
    target::Facts {
        number: site::Number(number),
        near: true,
        slots: 2,
        open: true,
    }
}

/// A service of which every key is owned by target 0, or one without keys.
fn service(keyed: bool, targets: u32) -> service::Service {
    let mut service = service::Service::default();
    let all: Vec<target::Facts> = (0..targets).map(facts).collect();
    service.set_targets(&all);
    service.set_keyed(keyed);
    if keyed {
        let owners = vec![(site::Number(0), range::Token::default(), vec![0, 1, 2, 3])];
        let ranges = delta::Ranges {
            service: item::Name("s".into()),
            count: 4,
            owners,
        };
        service.update_owners(id::Version(1), &ranges);
    }
    service
}

fn request(number: u64, arrived: time::Duration, limit: time::Duration) -> service::Request {
    service::Request {
        number,
        key: Some(7),
        priority: 1,
        arrived,
        objective_at: arrived + limit / 2,
        limit_at: arrived + limit,
        tried: Vec::new(),
    }
}

fn targets(decisions: &[service::Decision]) -> Vec<Option<u32>> {
    let targets = decisions.iter().map(|decision| match decision {
        service::Decision::Send { target, .. } => Some(target.0),
        service::Decision::Refuse { .. } => None,
    });
    targets.collect()
}

/// A request that can't wait for the end of the rest is refused at once.
#[test_case(true; "keyed")]
#[test_case(false; "without keys")]
fn requests_are_refused_while_all_targets_rest(keyed: bool) {
    let mut service = service(keyed, 1);
    assert!(service.set_rest(site::Number(0), REST, ms(0)));
    for (number, at) in [0, 100, 1_000, 1_900].into_iter().enumerate() {
        let decisions = service.arrive(request(number as u64, ms(at), ms(1_000)), ms(at));
        assert_eq!(targets(&decisions), [None], "at {at} ms");
        assert!(matches!(
            decisions[0],
            service::Decision::Refuse { retry_after, .. }
                if retry_after > ms(0) && retry_after <= ms(1_000) / 3
        ));
    }
}

/// A request that can wait is sent when the rest ends, without another event.
#[test_case(true; "keyed")]
#[test_case(false; "without keys")]
fn a_waiting_request_is_sent_after_the_rest(keyed: bool) {
    let mut service = service(keyed, 1);
    service.set_rest(site::Number(0), REST, ms(0));
    let decisions = service.arrive(request(0, ms(2_000), ms(8_000)), ms(2_000));
    assert!(decisions.is_empty());
    let mut now = ms(2_000);
    while let Some(next) = service.next_wake() {
        now = next;
        let decisions = service.dispatch(now);
        if !decisions.is_empty() {
            assert_eq!(targets(&decisions), [Some(0)]);
            break;
        }
    }
    assert_eq!(now, REST);
}

/// Requests that waited when the target said so are not sent either.
#[test]
fn requests_that_waited_before_are_not_sent() {
    let mut service = service(true, 1);
    let mut sent = 0;
    for number in 0..6 {
        let decisions = service.arrive(request(number, ms(0), ms(10_000)), ms(0));
        sent += targets(&decisions).iter().flatten().count();
    }
    assert!(sent >= 2);
    service.set_rest(site::Number(0), REST, ms(50));
    for _ in 0..sent {
        let decisions = service.finish(site::Number(0), service::Outcome::Shed, ms(50));
        assert!(targets(&decisions).iter().all(Option::is_none));
    }
    let later = service.dispatch(ms(2_900));
    assert!(targets(&later).iter().all(Option::is_none));
}

/// The answer to a request that the target got before, and a failure, don't end the rest; a further
/// statement may prolong it but not shorten it.
#[test]
fn other_outcomes_do_not_end_a_rest() {
    let mut service = service(false, 1);
    assert_eq!(
        targets(&service.arrive(request(0, ms(0), ms(1_000)), ms(0))),
        [Some(0)]
    );
    service.set_rest(site::Number(0), REST, ms(10));
    service.finish(site::Number(0), service::Outcome::Answered(ms(5)), ms(20));
    assert!(!service.set_rest(site::Number(0), ms(1), ms(30)));
    let decisions = service.arrive(request(1, ms(500), ms(1_000)), ms(500));
    assert_eq!(targets(&decisions), [None]);
    service.finish(site::Number(0), service::Outcome::Failed, ms(600));
    let decisions = service.arrive(request(2, ms(1_500), ms(1_000)), ms(1_500));
    assert_eq!(targets(&decisions), [None]);
    let decisions = service.arrive(request(3, ms(4_000), ms(1_000)), ms(4_000));
    assert_eq!(targets(&decisions), [Some(0)]);
}

/// Requests go to other targets where they may.
#[test]
fn other_targets_get_the_requests() {
    let mut service = service(false, 3);
    service.set_rest(site::Number(0), REST, ms(0));
    service.set_rest(site::Number(2), REST, ms(0));
    for number in 0..20 {
        let decisions = service.arrive(request(number, ms(number), ms(1_000)), ms(number));
        assert_eq!(targets(&decisions), [Some(1)]);
        service.finish(
            site::Number(1),
            service::Outcome::Answered(ms(1)),
            ms(number),
        );
    }
}

/// A rest ends with the instance: another one at the same place has another number.
#[test]
fn a_rest_ends_with_its_target() {
    let mut service = service(false, 1);
    service.set_rest(site::Number(0), REST, ms(0));
    service.set_targets(&[facts(1)]);
    let decisions = service.arrive(request(0, ms(10), ms(1_000)), ms(10));
    assert_eq!(targets(&decisions), [Some(1)]);
}
