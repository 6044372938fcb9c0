//! A fleet of entry hosts that send to the same targets, in virtual time and seeded: each host makes
//! the product's own decisions, with the digests of its domain as they arrive, or with full knowledge
//! of all targets.
#![allow(dead_code, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use yucca_lane::shared::{cell, service, target};
use yucca_own::site::{delta, item, range, target as site};
use yucca_wire::id;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const SLOTS: u32 = 3;
/// Requests that a target queues beyond its slots; it refuses more.
const TARGET_QUEUE: usize = 12;
const WORK_MEAN: f64 = 0.150;
const WORK_SIGMA: f64 = 0.3;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
const OBJECTIVE: Duration = ms(600);
const LIMIT: Duration = ms(1_000);
/// Time that a caller waits in all, over its first request and its return.
const PATIENCE: Duration = ms(2_000);
/// Value of an answer after its objective.
const LATE_WORTH: f64 = 0.3;
const TRIP: Duration = Duration::from_micros(600);
/// Datagrams that a host sends in a second, and the limits of their interval.
const DIGEST_RATE: f64 = 120.0;
const DIGEST_CHECK: Duration = ms(40);
const DIGEST_EXPIRY: Duration = ms(1_000);
/// Number of stripes into which the keys are divided.
const STRIPES: u32 = 4_096;
/// Share of the requests that the hottest keys get while keys are hot.
const HOT_SHARE: f64 = 0.35;

/// What hosts know of the load of other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// Nothing.
    Own,
    /// The digests of their own domain, as old as they are.
    Digests,
    /// The load of all hosts at once: the bound of what knowledge of load could reach.
    All,
}

/// The load and the deployment.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub hosts: usize,
    pub domains: usize,
    /// Number of targets for each ten hosts.
    pub targets_per_ten: usize,
    /// Offered work as a share of what all targets can do.
    pub load: f64,
    pub keyed: bool,
    /// Number of keys that share [`HOT_SHARE`] of the requests; 0 for none.
    pub hot_keys: u16,
    pub knowledge: Knowledge,
    pub span: Duration,
    pub seed: u64,
}

/// What callers got. Shares are of all callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub callers: f64,
    pub in_time: f64,
    pub late: f64,
    /// Requests refused, each time.
    pub refused: f64,
    /// Part of those that were refused after a tenth of their objective.
    pub refused_late: f64,
    /// Requests that a target refused.
    pub shed: f64,
    pub digests_per_s: f64,
}

impl Outcome {
    pub fn worth(&self) -> f64 {
        self.in_time + LATE_WORTH * self.late
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        host: usize,
        caller: usize,
    },
    AtTarget {
        target: usize,
        job: usize,
    },
    Finished {
        target: usize,
        job: usize,
    },
    Answered {
        job: usize,
        shed: bool,
    },
    Wake {
        host: usize,
    },
    Digest {
        host: usize,
    },
    Apply {
        host: usize,
        from: usize,
        digest: usize,
    },
}

struct Caller {
    started: Duration,
    key: u16,
    done: bool,
    returned: bool,
}

struct Job {
    host: usize,
    caller: usize,
    number: u64,
    target: usize,
    sent: Duration,
}

struct Host {
    service: service::Service,
    sent: Vec<(site::Number, u32)>,
    sent_at: Duration,
    others: IndexMap<usize, (Duration, usize)>,
    pending: IndexMap<u64, (usize, Duration)>,
    wake_at: Option<Duration>,
}

struct Target {
    speed: f64,
    running: usize,
    queue: std::collections::VecDeque<usize>,
}

pub struct Fleet {
    setup: Setup,
    now: Duration,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    callers: Vec<Caller>,
    jobs: Vec<Job>,
    digests: Vec<Vec<(site::Number, u32)>>,
    times: Vec<Vec<(site::Number, target::Measurement)>>,
    outcome: Outcome,
}

pub fn run(setup: Setup) -> Outcome {
    let mut fleet = Fleet::new(setup);
    fleet.play();
    fleet.finish()
}

impl Fleet {
    fn new(setup: Setup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let count = setup.hosts * setup.targets_per_ten / 10;
        let targets = (0..count).map(|_| Target {
            speed: SPEEDS[rng.random_range(0..SPEEDS.len())],
            running: 0,
            queue: std::collections::VecDeque::new(),
        });
        let targets: Vec<Target> = targets.collect();
        let ranges = owners(&targets);
        let hosts = (0..setup.hosts).map(|host| {
            let mut service = service::Service::default();
            let facts = (0..count).map(|number| target::Facts {
                number: site::Number(number as u32),
                near: number % setup.domains == host % setup.domains,
                slots: SLOTS,
                open: true,
            });
            service.set_targets(&facts.collect::<Vec<_>>());
            service.set_keyed(setup.keyed);
            let near = (setup.hosts - host % setup.domains).div_ceil(setup.domains);
            service.set_cell(cell::Cell::of(host / setup.domains, near));
            if setup.keyed {
                service.update_owners(id::Version(1), &ranges);
            }
            Host {
                service,
                sent: Vec::new(),
                sent_at: Duration::ZERO,
                others: IndexMap::new(),
                pending: IndexMap::new(),
                wake_at: None,
            }
        });
        let hosts = hosts.collect();
        Self {
            setup,
            now: Duration::ZERO,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            hosts,
            targets,
            callers: Vec::new(),
            jobs: Vec::new(),
            digests: Vec::new(),
            times: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        let due = (self.now + after, self.sequence, event);
        self.events.push(Reverse(due));
    }

    fn play(&mut self) {
        let capacity: f64 = self
            .targets
            .iter()
            .map(|t| f64::from(SLOTS) * t.speed)
            .sum();
        let rate = self.setup.load * capacity / WORK_MEAN;
        let mut at = 0.0;
        while at < self.setup.span.as_secs_f64() {
            let gap: f64 = rand_distr::Exp1.sample(&mut self.rng);
            at += gap / rate;
            let host = self.rng.random_range(0..self.setup.hosts);
            let hot = self.setup.hot_keys > 0 && self.rng.random_bool(HOT_SHARE);
            let key = if hot {
                // Busy keys are neighbours.
                30_000 + self.rng.random_range(0..self.setup.hot_keys)
            } else {
                self.rng.random()
            };
            let started = Duration::from_secs_f64(at);
            self.callers.push(Caller {
                started,
                key,
                done: false,
                returned: false,
            });
            let caller = self.callers.len() - 1;
            self.push(started, Event::Arrive { host, caller });
        }
        if self.setup.knowledge == Knowledge::Digests {
            for host in 0..self.setup.hosts {
                let phase = DIGEST_CHECK.mul_f64(self.rng.random());
                self.push(phase, Event::Digest { host });
            }
        }
        let end = self.setup.span + PATIENCE;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { host, caller } => self.arrive(host, caller),
            Event::AtTarget { target, job } => self.at_target(target, job),
            Event::Finished { target, job } => self.finished(target, job),
            Event::Answered { job, shed } => self.answered(job, shed),
            Event::Wake { host } => {
                if self.hosts[host].wake_at == Some(self.now) {
                    self.hosts[host].wake_at = None;
                    self.learn(host);
                    let decisions = self.hosts[host].service.dispatch(self.now);
                    self.decide(host, &decisions);
                }
            }
            Event::Digest { host } => self.digest(host),
            Event::Apply { host, from, digest } => self.apply(host, from, digest),
        }
    }

    /// With full knowledge, tells a host the load of all others before it decides.
    fn learn(&mut self, host: usize) {
        if self.setup.knowledge != Knowledge::All {
            return;
        }
        let own: IndexMap<site::Number, u32> = self.hosts[host].service.loads().collect();
        let loads = self.targets.iter().enumerate().map(|(number, target)| {
            let number = site::Number(number as u32);
            let all = (target.running + target.queue.len()) as u32;
            (
                number,
                all.saturating_sub(own.get(&number).copied().unwrap_or(0)),
            )
        });
        let loads: IndexMap<site::Number, u32> = loads.collect();
        self.hosts[host].service.set_others(&loads, 0.0, self.now);
    }

    fn arrive(&mut self, host: usize, caller: usize) {
        self.learn(host);
        let number = self.sequence << 20 | caller as u64;
        self.sequence += 1;
        let known = &self.callers[caller];
        let request = service::Request {
            number,
            key: self.setup.keyed.then_some(known.key),
            priority: 1,
            arrived: self.now,
            objective_at: self.now.max(known.started) + OBJECTIVE,
            limit_at: (self.now + LIMIT).min(known.started + PATIENCE),
            tried: Vec::new(),
        };
        self.hosts[host].pending.insert(number, (caller, self.now));
        let decisions = self.hosts[host].service.arrive(request, self.now);
        self.decide(host, &decisions);
    }

    fn decide(&mut self, host: usize, decisions: &[service::Decision]) {
        for decision in decisions {
            match decision {
                service::Decision::Send { number, target, .. } => {
                    let Some((caller, _)) = self.hosts[host].pending.swap_remove(number) else {
                        continue;
                    };
                    let target = target.0 as usize;
                    self.jobs.push(Job {
                        host,
                        caller,
                        number: *number,
                        target,
                        sent: self.now,
                    });
                    let job = self.jobs.len() - 1;
                    self.push(TRIP, Event::AtTarget { target, job });
                }
                service::Decision::Refuse {
                    number,
                    retry_after,
                } => {
                    let Some((caller, arrived)) = self.hosts[host].pending.swap_remove(number)
                    else {
                        continue;
                    };
                    self.refuse(caller, self.now - arrived, *retry_after);
                }
            }
        }
        self.schedule(host);
    }

    fn refuse(&mut self, caller: usize, waited: Duration, retry_after: Duration) {
        self.outcome.refused += 1.0;
        self.outcome.refused_late += f64::from(u8::from(waited > OBJECTIVE / 10));
        let known = &mut self.callers[caller];
        let back = self.now + retry_after;
        if !known.returned && back < known.started + PATIENCE {
            known.returned = true;
            let host = self.rng.random_range(0..self.setup.hosts);
            self.push(retry_after, Event::Arrive { host, caller });
        }
    }

    fn schedule(&mut self, host: usize) {
        let Some(at) = self.hosts[host].service.next_wake() else {
            return;
        };
        let at = at.max(self.now);
        if self.hosts[host].wake_at.is_none_or(|known| at < known) {
            self.hosts[host].wake_at = Some(at);
            self.push(at - self.now, Event::Wake { host });
        }
    }

    fn at_target(&mut self, number: usize, job: usize) {
        let target = &mut self.targets[number];
        if target.running < SLOTS as usize {
            target.running += 1;
            self.begin(number, job);
        } else if target.queue.len() < TARGET_QUEUE {
            target.queue.push_back(job);
        } else {
            self.outcome.shed += 1.0;
            self.push(TRIP, Event::Answered { job, shed: true });
        }
    }

    fn begin(&mut self, target: usize, job: usize) {
        let mu = WORK_MEAN.ln() - WORK_SIGMA * WORK_SIGMA / 2.0;
        let work = rand_distr::LogNormal::new(mu, WORK_SIGMA).unwrap();
        let took = work.sample(&mut self.rng) / self.targets[target].speed;
        self.push(
            Duration::from_secs_f64(took),
            Event::Finished { target, job },
        );
    }

    fn finished(&mut self, number: usize, job: usize) {
        self.push(TRIP, Event::Answered { job, shed: false });
        match self.targets[number].queue.pop_front() {
            Some(next) => self.begin(number, next),
            None => self.targets[number].running -= 1,
        }
    }

    fn answered(&mut self, job: usize, shed: bool) {
        let Job {
            host,
            caller,
            target,
            sent,
            ..
        } = self.jobs[job];
        self.learn(host);
        let outcome = if shed {
            service::Outcome::Shed
        } else {
            service::Outcome::Answered(self.now - sent)
        };
        let number = site::Number(target as u32);
        let decisions = self.hosts[host].service.finish(number, outcome, self.now);
        if shed {
            let left = (self.callers[caller].started + PATIENCE).saturating_sub(self.now);
            let after = self.hosts[host].service.retry_after(number, left);
            self.refuse(caller, Duration::ZERO, after);
        } else {
            let known = &mut self.callers[caller];
            let took = self.now - known.started;
            if !known.done && took <= PATIENCE {
                known.done = true;
                if took <= OBJECTIVE {
                    self.outcome.in_time += 1.0;
                } else {
                    self.outcome.late += 1.0;
                }
            }
        }
        self.decide(host, &decisions);
    }

    /// Returns the other hosts of the group of a host.
    fn near(&self, host: usize) -> impl Iterator<Item = usize> + use<> {
        let (domains, hosts) = (self.setup.domains, self.setup.hosts);
        let near = (hosts - host % domains).div_ceil(domains);
        let cell = move |host: usize| cell::Cell::of(host / domains, near);
        (host % domains..hosts)
            .step_by(domains)
            .filter(move |other| *other != host && cell(*other) == cell(host))
    }

    fn digest(&mut self, host: usize) {
        self.push(DIGEST_CHECK, Event::Digest { host });
        let near = self.near(host).count();
        let pause = Duration::from_secs_f64(near as f64 / DIGEST_RATE);
        let now = self.now;
        let known = &mut self.hosts[host];
        if now < known.sent_at + pause {
            return;
        }
        let loads: Vec<(site::Number, u32)> = known.service.loads().collect();
        let again = !loads.is_empty() && now > known.sent_at + DIGEST_EXPIRY / 3;
        if loads == known.sent && !again {
            return;
        }
        known.sent_at = now;
        known.sent.clone_from(&loads);
        self.times.push(known.service.take_unshared());
        self.digests.push(loads);
        let digest = self.digests.len() - 1;
        for other in self.near(host) {
            self.outcome.digests_per_s += 1.0;
            let event = Event::Apply {
                host: other,
                from: host,
                digest,
            };
            self.push(TRIP, event);
        }
    }

    fn apply(&mut self, host: usize, from: usize, digest: usize) {
        let now = self.now;
        let near = self.near(host).count() + 1;
        let known = &mut self.hosts[host];
        for (number, measurement) in &self.times[digest] {
            known.service.add_measurement(*number, *measurement);
        }
        known.others.insert(from, (now, digest));
        known.others.retain(|_, (at, _)| now < *at + DIGEST_EXPIRY);
        let mut others: IndexMap<site::Number, u32> = IndexMap::new();
        for (_, digest) in known.others.values() {
            for (number, load) in &self.digests[*digest] {
                *others.entry(*number).or_default() += load;
            }
        }
        let far = (self.setup.hosts - near) as f64 / near as f64;
        known.service.set_others(&others, far, now);
        let decisions = known.service.dispatch(now);
        self.decide(host, &decisions);
    }

    fn finish(mut self) -> Outcome {
        let callers = self.callers.len() as f64;
        let outcome = &mut self.outcome;
        for count in [
            &mut outcome.in_time,
            &mut outcome.late,
            &mut outcome.refused,
            &mut outcome.refused_late,
            &mut outcome.shed,
        ] {
            *count /= callers;
        }
        outcome.callers = callers;
        outcome.digests_per_s /= self.setup.span.as_secs_f64();
        self.outcome
    }
}

/// Divides the keys evenly over the targets by their speed, in scattered stripes, as the control
/// hosts do from measurements.
fn owners(targets: &[Target]) -> delta::Ranges {
    let mut owned: Vec<Vec<u32>> = vec![Vec::new(); targets.len()];
    for stripe in 0..STRIPES {
        let work = |number: &usize| (owned[*number].len() + 1) as f64 / targets[*number].speed;
        let least = (0..targets.len()).min_by(|one, other| work(one).total_cmp(&work(other)));
        owned[least.unwrap_or(0)].push(stripe);
    }
    let owners = owned.into_iter().enumerate();
    delta::Ranges {
        service: item::Name("s".into()),
        count: STRIPES,
        owners: owners
            .map(|(owner, stripes)| (site::Number(owner as u32), range::Token::default(), stripes))
            .collect(),
    }
}
