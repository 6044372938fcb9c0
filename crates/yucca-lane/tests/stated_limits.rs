//! Limits that targets state, with many hosts that send to the same target.
#![allow(clippy::unwrap_used)]

use std::time;

use test_case::test_case;
use xxhash_rust::xxh3;
use yucca_lane::shared::{service, target};
use yucca_own::site::{balance, delta, item, range, target as site};
use yucca_wire::{id, unit};

const STEP: time::Duration = ms(10);
const SERVICE_TIME: time::Duration = ms(100);

/// Length of the windows in which requests are counted.
const WINDOW: time::Duration = ms(4_000);

/// Time after the first statement from which on the limit must hold.
const CONTACT: time::Duration = ms(3_000);

/// Time after which a host that got a statement must apply it.
const TOLD: time::Duration = ms(500);

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Number of requests that a target with this limit may get in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

fn facts(number: u32) -> target::Facts {
    target::Facts {
        number: site::Number(number),
        near: true,
        slots: 3,
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

/// One host of several that send to target 0.
struct Host {
    service: service::Service,
    phase: f64,
    told_at: Option<time::Duration>,
    running: Vec<(time::Duration, site::Number)>,
}

/// Hosts that share target 0, which states a limit.
struct Fleet {
    hosts: Vec<Host>,
    keyed: bool,
    limit: Option<f64>,
    now: time::Duration,
    number: u64,
    stated_at: Option<time::Duration>,
    /// When target 0 got requests, and whether their host counted by then.
    arrivals: Vec<(time::Duration, bool)>,
    refused: usize,
}

impl Fleet {
    fn new(hosts: usize, keyed: bool, limit: f64, seed: u64) -> Self {
        let phase = |host: usize| {
            let mixed = xxh3::xxh3_64_with_seed(&host.to_le_bytes(), seed);
            mixed as f64 / (u64::MAX as f64 + 1.0)
        };
        let host = |host| Host {
            service: service(keyed, 1),
            phase: phase(host),
            told_at: None,
            running: Vec::new(),
        };
        Self {
            hosts: (0..hosts).map(host).collect(),
            keyed,
            limit: Some(limit),
            now: time::Duration::ZERO,
            number: 0,
            stated_at: None,
            arrivals: Vec::new(),
            refused: 0,
        }
    }

    fn decide(&mut self, host: usize, decisions: Vec<service::Decision>) {
        for decision in decisions {
            match decision {
                service::Decision::Send { target, .. } => {
                    let known = &mut self.hosts[host];
                    known.running.push((self.now + SERVICE_TIME, target));
                    if target == site::Number(0) {
                        let counts = known.told_at.is_some_and(|at| at + TOLD <= self.now);
                        self.arrivals.push((self.now, counts));
                    }
                }
                service::Decision::Refuse { .. } => self.refused += 1,
            }
        }
    }

    /// A caller's request arrives at a host.
    fn arrive(&mut self, host: usize) {
        self.number += 1;
        let request = service::Request {
            number: self.number,
            key: self.keyed.then_some((self.number * 16_381 % 65_536) as u16),
            priority: 1,
            arrived: self.now,
            objective_at: self.now + ms(400),
            limit_at: self.now + ms(1_500),
            tried: Vec::new(),
        };
        let decisions = self.hosts[host].service.arrive(request, self.now);
        self.decide(host, decisions);
    }

    /// Runs for `time`, in which `per_s` requests a second arrive at the hosts in turn.
    fn run(&mut self, time: time::Duration, per_s: f64) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            due += per_s * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let host = (self.number % self.hosts.len() as u64) as usize;
                self.arrive(host);
            }
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for host in 0..self.hosts.len() {
            let running = std::mem::take(&mut self.hosts[host].running);
            for (at, target) in running {
                if at > self.now {
                    self.hosts[host].running.push((at, target));
                    continue;
                }
                self.answer(host, target);
            }
            if self.hosts[host].service.waiting() > 0 {
                let decisions = self.hosts[host].service.dispatch(self.now);
                self.decide(host, decisions);
            }
        }
    }

    fn answer(&mut self, host: usize, target: site::Number) {
        let all = self.hosts.len();
        let known = &mut self.hosts[host];
        if target == site::Number(0) {
            let stated = self.limit.map(unit::Rate);
            let hosts = service::Hosts {
                near: all,
                all,
                phase: known.phase,
            };
            known.service.set_limit(target, stated, hosts, self.now);
            if stated.is_some() {
                known.told_at.get_or_insert(self.now);
                self.stated_at.get_or_insert(self.now);
            }
        }
        let outcome = service::Outcome::Answered(SERVICE_TIME);
        let decisions = known.service.finish(target, outcome, self.now);
        self.decide(host, decisions);
    }

    /// Returns the most requests of hosts that count, in any window.
    fn peak(&self) -> usize {
        let from = self.stated_at.unwrap() + CONTACT;
        let counted: Vec<time::Duration> = self
            .arrivals
            .iter()
            .filter(|(at, counts)| *counts && *at >= from)
            .map(|(at, _)| *at)
            .collect();
        let within = |start: &time::Duration| {
            let window = counted.iter().filter(|at| *start <= **at);
            window.filter(|at| **at < *start + WINDOW).count()
        };
        counted.iter().map(within).max().unwrap_or(0)
    }

    /// Returns the requests a second that target 0 got from `from` on.
    fn rate(&self, from: time::Duration) -> f64 {
        let late = self.arrivals.iter().filter(|(at, _)| *at >= from);
        late.count() as f64 / (self.now - from).as_secs_f64()
    }
}

/// Callers send ten times what the target takes.
#[test_case(1, true)]
#[test_case(1, false)]
#[test_case(2, true)]
#[test_case(2, false)]
#[test_case(11, true)]
#[test_case(11, false)]
#[test_case(80, true)]
#[test_case(80, false)]
fn all_hosts_stay_within_a_limit_under_steady_load(hosts: usize, keyed: bool) {
    for limit in [2.5, 7.4, 25.0] {
        for seed in 0..10 {
            let mut fleet = Fleet::new(hosts, keyed, limit, seed);
            // From one request a second at each host on, a host sees every turn.
            fleet.run(ms(30_000), (limit * 10.0).max(hosts as f64));
            let (peak, allowed) = (fleet.peak(), allowed(limit));
            assert!(
                peak <= allowed,
                "limit {limit}, seed {seed}: {peak} requests, allowed {allowed}"
            );
            let rate = fleet.rate(ms(10_000));
            assert!(
                rate >= 0.5 * limit,
                "limit {limit}, seed {seed}: only {rate}/s used"
            );
        }
    }
}

/// Hosts that know of the limit have been idle when requests arrive at all of them.
#[test_case(11, 2.5)]
#[test_case(11, 7.4)]
#[test_case(33, 2.5)]
#[test_case(33, 7.4)]
#[test_case(80, 2.5)]
#[test_case(80, 7.4)]
fn a_sudden_load_stays_within_a_limit(hosts: usize, limit: f64) {
    for seed in 0..10 {
        let mut fleet = Fleet::new(hosts, true, limit, seed);
        for host in 0..hosts {
            fleet.arrive(host);
        }
        fleet.run(ms(12_000), 0.0);
        fleet.run(ms(10_000), hosts as f64 * 20.0);
        let (peak, allowed) = (fleet.peak(), allowed(limit));
        assert!(
            peak <= allowed,
            "seed {seed}: {peak} requests, allowed {allowed}"
        );
    }
}

/// A target is at full use again soon after its limit ended.
#[test]
fn a_limit_ends_with_the_first_answer_without_one() {
    let mut fleet = Fleet::new(2, true, 5.0, 0);
    fleet.run(ms(10_000), 20.0);
    fleet.limit = None;
    let ended = fleet.now;
    fleet.run(ms(6_000), 20.0);
    let rate = fleet.rate(ended + ms(2_000));
    assert!(rate >= 18.0, "{rate}/s of 20/s");
}

/// A request that the limit allows no longer in time is refused when it arrives, not at its
/// deadline.
#[test_case(true)]
#[test_case(false)]
fn requests_beyond_a_limit_are_refused_at_once(keyed: bool) {
    let mut fleet = Fleet::new(2, keyed, 1.0, 0);
    fleet.run(ms(10_000), 2.0);
    fleet.refused = 0;
    for _ in 0..40 {
        fleet.arrive(0);
    }
    assert!(fleet.refused >= 38, "{} of 40", fleet.refused);
}

/// Without keys, other targets serve what a limited one doesn't take.
#[test]
fn requests_go_to_targets_without_a_limit() {
    let mut fleet = Fleet::new(2, false, 1.0, 0);
    for host in &mut fleet.hosts {
        host.service = service(false, 2);
    }
    fleet.run(ms(20_000), 16.0);
    let (peak, allowed) = (fleet.peak(), allowed(1.0));
    assert!(peak <= allowed, "{peak} requests, allowed {allowed}");
    assert_eq!(fleet.refused, 0);
}

/// The balance of keys learns from the reports that a target has less capacity, once its limit has
/// lasted.
#[test_case(ms(10_000), ms(1_000); "a limit that lasts")]
#[test_case(ms(4_000), SERVICE_TIME; "a limit that may end soon")]
fn reports_show_what_a_lasting_limit_leaves(time: time::Duration, expected: time::Duration) {
    // Three slots that take three requests a second are in use for a second each.
    let mut fleet = Fleet::new(1, true, 3.0, 0);
    fleet.run(time, 6.0);
    let mut report = balance::Report::default();
    let name = item::Name("s".into());
    fleet.hosts[0].service.report(&name, &mut report, fleet.now);
    let (target, count, micros) = report.times[0];
    assert_eq!(target, site::Number(0));
    let mean = time::Duration::from_micros(micros / u64::from(count));
    assert!(mean.abs_diff(expected) < ms(10), "{mean:?}");
}

/// When the requests arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// All the time.
    Steady,
    /// At all hosts at once, after these were idle.
    Sudden,
}

/// With many hosts and a low limit, random phases may put too many turns into one window.
#[test_case(Load::Sudden, 2.5, 250)]
#[test_case(Load::Sudden, 2.5, 317)]
#[test_case(Load::Sudden, 2.5, 521)]
#[test_case(Load::Sudden, 7.4, 659)]
#[test_case(Load::Steady, 2.5, 560)]
#[test_case(Load::Steady, 2.5, 664)]
fn unlucky_phases_of_many_hosts_stay_within_a_limit(load: Load, limit: f64, seed: u64) {
    let hosts = 80;
    let mut fleet = Fleet::new(hosts, true, limit, seed);
    match load {
        Load::Steady => fleet.run(ms(30_000), (limit * 10.0).max(hosts as f64)),
        Load::Sudden => {
            for host in 0..hosts {
                fleet.arrive(host);
            }
            fleet.run(ms(12_000), 0.0);
            fleet.run(ms(10_000), hosts as f64 * 20.0);
        }
    }
    let (peak, allowed) = (fleet.peak(), allowed(limit));
    assert!(peak <= allowed, "{peak} requests, allowed {allowed}");
}
