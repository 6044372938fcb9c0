//! The end of requests that wait at an entry host.

use std::sync;
use std::time;

use yucca_fleet::clock;
use yucca_fleet::entry::dispatcher;
use yucca_lane::shared::{service, target, window};
use yucca_own::site::{item, target as site};

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Service of which all targets are gone.
fn lost() -> item::Name {
    item::Name("lost".into())
}

/// Service with events all the time.
fn busy() -> item::Name {
    item::Name("busy".into())
}

fn start() -> (clock::Clock, sync::Arc<dispatcher::Dispatcher>) {
    let clock = clock::Clock::default();
    let budget = window::Config {
        window: ms(10_000),
        ratio: 0.2,
        extra: 10.0,
    };
    let dispatcher = sync::Arc::new(dispatcher::Dispatcher::new(clock, budget));
    (clock, dispatcher)
}

fn request(now: time::Duration, limit: time::Duration) -> service::Request {
    service::Request {
        number: 0,
        key: None,
        priority: 1,
        arrived: now,
        objective_at: now + limit / 2,
        limit_at: now + limit,
        tried: Vec::new(),
    }
}

/// Guards against waiting requests that nobody answers: a request of one service was due in the same
/// turn of the event loop as an event of another one, which took the place of its timer.
#[tokio::test(start_paused = true)]
async fn a_request_is_refused_in_time_beside_events_of_another_service() {
    let (clock, dispatcher) = start();
    let loop_of = dispatcher.clone();
    tokio::spawn(async move { loop_of.run().await });
    let events = dispatcher.clone();
    tokio::spawn(async move {
        let hour = ms(3_600_000);
        let _waiting = events.submit(&busy(), request(clock.now(), hour), clock.now());
        let mut interval = tokio::time::interval(ms(1));
        loop {
            interval.tick().await;
            events.record_request(&busy(), clock.now());
        }
    });
    let limit = ms(800);
    for number in 0..100 {
        let started = clock.now();
        let mut waiter = dispatcher.submit(&lost(), request(started, limit), started);
        let decision = waiter.decision(started + limit).await;
        assert!(
            matches!(decision, Some(service::Decision::Refuse { .. })),
            "request {number}: {decision:?} after {:?}",
            clock.now() - started
        );
        tokio::time::sleep(ms(7)).await;
    }
}

/// Guards against a request that waits for good if nothing dispatches it.
#[tokio::test(start_paused = true)]
async fn a_request_without_a_decision_ends_at_its_limit() {
    let (clock, dispatcher) = start();
    let limit = ms(800);
    let started = clock.now();
    let mut waiter = dispatcher.submit(&lost(), request(started, limit), started);
    assert_eq!(waiter.decision(started + limit).await, None);
    assert_eq!(clock.now() - started, limit);
}

/// Guards against a free slot that nobody uses: the caller of a request left in the turn in which it
/// was to be sent.
#[tokio::test(start_paused = true)]
async fn the_slot_of_a_request_that_was_not_sent_goes_to_the_next() {
    let (clock, dispatcher) = start();
    let facts = target::Facts {
        number: site::Number(0),
        near: true,
        slots: 1,
        open: true,
    };
    let name = lost();
    dispatcher.update_service(&name, &[facts], false, clock.now());
    let limit = ms(3_600_000);
    let submit = || dispatcher.submit(&name, request(clock.now(), limit), clock.now());
    // One is processed and one queued at the target.
    let sent: Vec<dispatcher::Waiter> = (0..2).map(|_| submit()).collect();
    let mut next = submit();
    let early = next.decision(clock.now() + ms(100)).await;
    assert_eq!(early, None, "the target is full");
    drop(sent);
    let decision = next.decision(clock.now() + ms(100)).await;
    assert!(
        matches!(decision, Some(service::Decision::Send { .. })),
        "{decision:?}"
    );
}
