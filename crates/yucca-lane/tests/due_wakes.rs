//! When waiting requests are dispatched without another event.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::collections::VecDeque;
use std::time;

use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner;
use test_case::test_case;
use yucca_lane::shared::{service, target};
use yucca_own::site::{delta, item, range, target as site};
use yucca_wire::{id, unit};

const TARGETS: u32 = 2;

/// All events are at multiples of this, and so are most times at which a dispatch is due.
const STEP_MILLIS: u64 = 50;

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// An event between two dispatches.
#[derive(Debug, Clone)]
enum Event {
    Arrive { key: u16, patience: u64 },
    Finish(Finish),
    Cancel,
    Rest(u64),
    Limit(Option<f64>),
    Move,
    Others(u32),
    Measure(u64),
}

#[derive(Debug, Clone, Copy)]
enum Finish {
    Answered,
    Shed,
    NotOwner,
    Failed,
}

/// An event after a pause. It may come in the same turn as a dispatch that is due, and go first.
#[derive(Debug, Clone)]
struct Step {
    pause: u64,
    event: Event,
    goes_first: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let finish = prop_oneof![
        Just(Finish::Answered),
        Just(Finish::Shed),
        Just(Finish::NotOwner),
        Just(Finish::Failed)
    ];
    let event = prop_oneof![
        6 => (any::<u16>(), 1..8_u64).prop_map(|(key, patience)| Event::Arrive {
            key,
            patience: 4 * patience,
        }),
        4 => finish.prop_map(Event::Finish),
        1 => Just(Event::Cancel),
        2 => (1..20_u64).prop_map(Event::Rest),
        2 => proptest::option::of(1.0..20.0).prop_map(Event::Limit),
        2 => Just(Event::Move),
        2 => (0..5_u32).prop_map(Event::Others),
        1 => (1..20_u64).prop_map(Event::Measure),
    ];
    let step = (0..6_u64, event, any::<bool>()).prop_map(|(pause, event, goes_first)| Step {
        pause,
        event,
        goes_first,
    });
    proptest::collection::vec(step, 1..60)
}

/// A service and its requests, driven as a host does.
struct Host {
    service: service::Service,
    keyed: bool,
    now: time::Duration,
    /// Limits of the requests that wait, by number.
    waiting: IndexMap<u64, (u16, time::Duration)>,
    sent: VecDeque<(u16, site::Number, Option<range::Token>)>,
    /// Whether there is a measurement since the latest dispatch. Another one follows soon.
    measured: bool,
}

impl Host {
    fn new(keyed: bool) -> Self {
        let mut service = service::Service::default();
        let facts = (0..TARGETS).map(|number| target::Facts {
            number: site::Number(number),
            near: true,
            slots: 2,
            open: true,
        });
        service.set_targets(&facts.collect::<Vec<_>>());
        service.set_keyed(keyed);
        if keyed {
            let ranges = delta::Ranges {
                service: item::Name("s".into()),
                count: TARGETS,
                owners: (0..TARGETS)
                    .map(|number| (site::Number(number), range::Token(1), vec![number]))
                    .collect(),
            };
            service.update_owners(id::Version(1), &ranges);
        }
        Self {
            service,
            keyed,
            now: ms(0),
            waiting: IndexMap::new(),
            sent: VecDeque::new(),
            measured: false,
        }
    }

    /// Checks that no decision is overdue.
    fn check(&self) {
        let mut overdue = self.service.clone().dispatch(self.now);
        let limited = (0..TARGETS).any(|number| {
            let target = self.service.target(site::Number(number));
            target.is_some_and(|target| target.limit().is_some())
        });
        if limited {
            // The turns of a limit pass without an event, and the refusals that follow from that may
            // be later.
            overdue.retain(|decision| matches!(decision, service::Decision::Send { .. }));
        }
        assert!(
            self.measured || overdue.is_empty(),
            "overdue at {:?}: {overdue:?}",
            self.now
        );
        for (number, (_, limit_at)) in &self.waiting {
            let late = self.now >= *limit_at;
            assert!(!late, "{number} still waits at {:?}", self.now);
        }
    }

    fn decide(&mut self, decisions: Vec<service::Decision>) {
        self.measured = false;
        for decision in decisions {
            match decision {
                service::Decision::Send {
                    number,
                    target,
                    token,
                } => {
                    let (key, _) = self.waiting.swap_remove(&number).unwrap();
                    self.sent.push_back((key, target, token));
                }
                service::Decision::Refuse { number, .. } => {
                    self.waiting.swap_remove(&number).unwrap();
                }
            }
        }
    }

    fn dispatch(&mut self) {
        let decisions = self.service.dispatch(self.now);
        self.decide(decisions);
        let next = self.service.next_wake();
        assert!(next.is_none_or(|next| next > self.now), "{next:?} is due");
    }

    fn apply(&mut self, number: u64, event: &Event) {
        let now = self.now;
        let decisions = match event {
            Event::Arrive { key, patience } => {
                let limit_at = now + ms(patience * STEP_MILLIS);
                let request = service::Request {
                    number,
                    key: Some(*key),
                    priority: 1,
                    arrived: now,
                    objective_at: now + ms(patience * STEP_MILLIS) / 2,
                    limit_at,
                    tried: Vec::new(),
                };
                self.waiting.insert(number, (*key, limit_at));
                self.service.arrive(request, now)
            }
            Event::Finish(finish) => {
                let Some((key, target, token)) = self.sent.pop_front() else {
                    return;
                };
                let outcome = match (finish, token) {
                    (Finish::Answered, _) => service::Outcome::Answered(ms(100)),
                    (Finish::NotOwner, Some(token)) => service::Outcome::NotOwner { key, token },
                    (Finish::Shed | Finish::NotOwner, _) => service::Outcome::Shed,
                    (Finish::Failed, _) => service::Outcome::Failed,
                };
                self.service.finish(target, outcome, now)
            }
            Event::Cancel => {
                if let Some((number, _)) = self.waiting.pop() {
                    self.service.cancel(number);
                }
                return;
            }
            Event::Rest(steps) => {
                let rest = ms(steps * STEP_MILLIS);
                self.service.set_rest(site::Number(0), rest, now);
                // The target asks for it in an answer, whose end follows.
                self.service.dispatch(now)
            }
            Event::Limit(rate) => {
                let hosts = service::Hosts {
                    near: 1,
                    all: 1,
                    phase: 0.5,
                };
                let rate = rate.map(unit::Rate);
                self.service.set_limit(site::Number(1), rate, hosts, now);
                self.service.dispatch(now)
            }
            Event::Move => {
                if self.keyed {
                    self.service.move_stripes(&[(0, range::Token(1))], now);
                }
                return;
            }
            Event::Others(load) => {
                let loads = IndexMap::from([(site::Number(0), *load)]);
                self.service.set_others(&loads, 1.0, now);
                self.service.dispatch(now)
            }
            Event::Measure(steps) => {
                let measurement = target::Measurement {
                    count: 4,
                    time: ms(steps * STEP_MILLIS) * 4,
                };
                self.service.add_measurement(site::Number(1), measurement);
                self.measured = true;
                return;
            }
        };
        self.decide(decisions);
    }

    /// Dispatches whenever that is due, as long as it is due before `until`, or at that time as well.
    fn run(&mut self, until: time::Duration, inclusive: bool) {
        while let Some(next) = self.service.next_wake() {
            if next > until || (next == until && !inclusive) {
                return;
            }
            self.now = self.now.max(next);
            self.dispatch();
        }
    }
}

/// Guards against waiting requests that nobody answers: if another event came in the same turn as a
/// dispatch that was due, the next dispatch was computed anew and left out what had just come due.
#[test_case(false; "without keys")]
#[test_case(true; "keyed")]
fn a_waiting_request_is_decided_by_its_limit(keyed: bool) {
    let config = test_runner::Config {
        cases: 512,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let result = runner.run(&steps(), |steps| {
        let mut host = Host::new(keyed);
        for (number, step) in steps.iter().enumerate() {
            let at = host.now + ms(step.pause * STEP_MILLIS);
            host.run(at, !step.goes_first);
            host.now = at;
            host.apply(number as u64, &step.event);
            host.run(at, true);
            host.check();
        }
        host.run(time::Duration::MAX, true);
        prop_assert!(host.waiting.is_empty(), "never decided: {:?}", host.waiting);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
