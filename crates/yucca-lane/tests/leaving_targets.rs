//! Targets that say in their answers that they leave.
#![allow(clippy::unwrap_used)]

use std::time;

use test_case::test_case;
use yucca_lane::shared::{service, target};
use yucca_own::site::{delta, item, range, target as site};
use yucca_wire::id;

/// Time after a target's first word from which on no request may reach it.
const DRAIN: time::Duration = ms(2_000);

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

fn service(keyed: bool, targets: u32) -> service::Service {
    let mut service = service::Service::default();
    let all: Vec<target::Facts> = (0..targets).map(facts).collect();
    service.set_targets(&all);
    service.set_keyed(keyed);
    if keyed {
        service.update_owners(id::Version(1), &owned_by(0, 1));
    }
    service
}

fn owned_by(owner: u32, counter: u64) -> delta::Ranges {
    let token = range::Token(counter);
    delta::Ranges {
        service: item::Name("s".into()),
        count: 4,
        owners: vec![(site::Number(owner), token, vec![0, 1, 2, 3])],
    }
}

fn request(number: u64, arrived: time::Duration) -> service::Request {
    service::Request {
        number,
        key: Some(7),
        priority: 1,
        arrived,
        objective_at: arrived + ms(400),
        limit_at: arrived + ms(1_000),
        tried: Vec::new(),
    }
}

/// Sends a request each 20 ms, which is answered after 10 ms, and returns when each was sent to which
/// target.
fn play(service: &mut service::Service, from: u64, to: u64) -> Vec<(time::Duration, u32)> {
    let mut sent = Vec::new();
    for step in (from..to).step_by(20) {
        let now = ms(step);
        let mut decisions = service.arrive(request(step, now), now);
        while let Some(decision) = decisions.pop() {
            if let service::Decision::Send { target, .. } = decision {
                sent.push((now, target.0));
                let answered = service::Outcome::Answered(ms(10));
                decisions.extend(service.finish(target, answered, now + ms(10)));
            }
        }
    }
    sent
}

#[test]
fn others_get_the_requests_without_a_key_at_once() {
    let mut service = service(false, 2);
    assert!(service.set_leaving(site::Number(0), ms(0)));
    assert!(!service.set_leaving(site::Number(0), ms(100)));
    let sent = play(&mut service, 0, 4_000);
    assert_eq!(sent.len(), 200);
    assert!(sent.iter().all(|(_, target)| *target == 1));
}

/// The only target, or the owner of a key, goes on to be used for a while, and then gets nothing,
/// also if it repeats that it leaves, refuses, fails or is slow.
#[test_case(true; "keyed")]
#[test_case(false; "without keys")]
fn nothing_is_sent_once_it_has_left(keyed: bool) {
    let mut service = service(keyed, 1);
    service.set_leaving(site::Number(0), ms(0));
    let before = play(&mut service, 0, 1_000);
    assert!(before.len() > 40);
    for outcome in [
        service::Outcome::Shed,
        service::Outcome::Failed,
        service::Outcome::Dropped,
    ] {
        service.finish(site::Number(0), outcome, ms(1_500));
        service.set_leaving(site::Number(0), ms(1_500));
    }
    let after = play(&mut service, 1_600, 6_000);
    assert!(after.iter().all(|(at, _)| *at < DRAIN), "{after:?}");
}

#[test]
fn a_key_that_is_handed_over_is_served_again() {
    let mut service = service(true, 2);
    service.set_leaving(site::Number(0), ms(0));
    play(&mut service, 0, 3_000);
    service.update_owners(id::Version(2), &owned_by(1, 2));
    let sent = play(&mut service, 3_000, 4_000);
    assert!(sent.len() >= 45, "{sent:?}");
    assert!(sent.iter().all(|(_, target)| *target == 1), "{sent:?}");
}

/// A target that is replaced has another number; what the earlier one said does not count for it.
#[test]
fn an_instance_that_replaces_it_is_used() {
    let mut service = service(false, 1);
    service.set_leaving(site::Number(0), ms(0));
    service.set_targets(&[facts(5)]);
    assert!(!service.set_leaving(site::Number(0), ms(10)));
    let sent = play(&mut service, 2_500, 3_000);
    assert_eq!(sent.len(), 25);
    assert!(sent.iter().all(|(_, target)| *target == 5));
}
