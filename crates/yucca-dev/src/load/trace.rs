//! Seeded arrivals: the same seed gives the same requests, whoever routes them.

use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::distr::Distribution;
use rand_distr::{Exp1, Zipf};
use yucca_wire::id;
use yucca_wire::table;

use crate::deployment;
use crate::work;

/// The slots of each target.
const SLOTS: f64 = 3.0;

/// How far the ranking of keys shifts when hot keys move.
const MOVE_STEP: u64 = 1009;

/// One request to come.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrives, since the start of the run.
    pub at: time::Duration,
    /// The service.
    pub service: id::Service,
    /// The work class.
    pub class: table::Class,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The number of the key, where the service is divided by key.
    pub key: Option<u64>,
    /// How long the target works on it.
    pub work: time::Duration,
    /// How long the caller waits.
    pub deadline: time::Duration,
}

/// A kind of request among the arrivals.
#[derive(Debug, Clone)]
pub struct Stream {
    /// The service.
    pub service: id::Service,
    /// The work class.
    pub class: table::Class,
    /// The method.
    pub method: &'static str,
    /// The path; `*` stands for the key.
    pub path: String,
    /// The mean rate, in requests a second.
    pub rate: f64,
    /// The service times.
    pub service_time: work::Distribution,
    /// How long the caller waits.
    pub deadline: time::Duration,
}

/// A cycle of demand: a time at the usual rate, then a crest.
#[derive(Debug, Clone, Copy)]
pub struct Cycle {
    /// When the first crest begins, and how long the time between two crests is.
    pub base: time::Duration,
    /// How long a crest lasts.
    pub crest: time::Duration,
    /// By how much demand is higher at the crest.
    pub factor: f64,
}

/// How keys are used.
#[derive(Debug, Clone, Copy)]
pub struct Keys {
    /// The number of keys of each service.
    pub count: u64,
    /// The exponent of Zipf's law; 0 uses all keys alike.
    pub exponent: f64,
    /// After how long other keys become the hot ones.
    pub move_every: time::Duration,
}

/// Everything that decides the arrivals of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The kinds of requests.
    pub streams: Vec<Stream>,
    /// The cycle of demand, where there is one.
    pub cycle: Option<Cycle>,
    /// How keys are used.
    pub keys: Keys,
    /// How long requests arrive.
    pub length: time::Duration,
    /// The seed.
    pub seed: u64,
}

/// The load of a deployment's services.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// The share of all slots that short work takes.
    pub short: f64,
    /// The share of all slots that long work takes.
    pub long: f64,
}

/// Returns how much work the targets of a group can do in a second, in slot-seconds.
pub fn capacity(group: &deployment::Group) -> f64 {
    group.targets as f64 * SLOTS
}

/// Returns the streams of a deployment's services under a load.
pub fn streams(deployment: &deployment::Deployment, load: Load) -> Vec<Stream> {
    let groups = deployment.groups.iter();
    groups
        .flat_map(|group| group_streams(group, load))
        .collect()
}

/// Returns the streams of one service under a load. A service with one class of work gets all of it.
pub fn group_streams(group: &deployment::Group, load: Load) -> Vec<Stream> {
    let prefix = &group.rules.prefix;
    let requests: &[(&'static str, &str, table::Class)] = match group.service.as_str() {
        "ticket-desk" => &[("GET", "/*", SHORT), ("GET", "/*/history", LONG)],
        "shelf" => &[("GET", "/*", SHORT), ("GET", "/*/movements", LONG)],
        "renewal-office" => &[("POST", "/renew", SHORT)],
        "till" => &[("POST", "/order", SHORT)],
        "records-vault" => &[("GET", "/search", LONG)],
        _ => &[("GET", "/catalogue", LONG)],
    };
    let both = load.short + load.long;
    let stream = |&(method, path, class): &(&'static str, &str, table::Class)| {
        let (share, service_time, deadline) = match class {
            table::Class::Short => (load.short, group.model.short, SHORT_DEADLINE),
            table::Class::Long => (load.long, group.model.long, LONG_DEADLINE),
        };
        let share = if requests.len() == 1 { both } else { share };
        Stream {
            service: group.service.clone(),
            class,
            method,
            path: format!("{prefix}{path}"),
            rate: share * capacity(group) / service_time.mean().as_secs_f64(),
            service_time,
            deadline,
        }
    };
    let streams = requests.iter().map(stream);
    streams.filter(|stream| stream.rate > 0.0).collect()
}

const SHORT: table::Class = table::Class::Short;
const LONG: table::Class = table::Class::Long;

/// How long callers wait for short work.
const SHORT_DEADLINE: time::Duration = time::Duration::from_millis(1000);

/// How long callers wait for long work.
const LONG_DEADLINE: time::Duration = time::Duration::from_secs(10);

/// The arrivals of a plan, in order of time.
#[derive(Debug)]
pub struct Trace {
    plan: Plan,
    total_rate: f64,
    now: time::Duration,
    rng: rand_chacha::ChaCha8Rng,
}

impl Trace {
    /// Returns the arrivals of a plan.
    pub fn new(plan: Plan) -> Self {
        Self {
            total_rate: plan.streams.iter().map(|stream| stream.rate).sum(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed),
            now: time::Duration::ZERO,
            plan,
        }
    }

    fn rate(&self) -> f64 {
        self.total_rate * self.plan.cycle.map_or(1.0, |cycle| cycle.at(self.now))
    }

    fn pick(&mut self) -> Option<Stream> {
        let mut left = self.rng.random::<f64>() * self.total_rate;
        let streams = &self.plan.streams;
        let chosen = streams.iter().find(|stream| {
            left -= stream.rate;
            left <= 0.0
        });
        chosen.or(streams.last()).cloned()
    }

    fn key(&mut self) -> u64 {
        let keys = self.plan.keys;
        let rank = match Zipf::new(keys.count as f64, keys.exponent) {
            Ok(law) => law.sample(&mut self.rng) as u64 - 1,
            Err(_) => self.rng.random_range(0..keys.count.max(1)),
        };
        let moves = self.now.as_secs_f64() / keys.move_every.as_secs_f64();
        (rank + moves as u64 * MOVE_STEP) % keys.count.max(1)
    }
}

impl Cycle {
    /// Returns the factor of demand at a time of the run.
    pub fn at(&self, now: time::Duration) -> f64 {
        let period = (self.base + self.crest).as_secs_f64();
        let phase = now.as_secs_f64() % period;
        if phase < self.base.as_secs_f64() {
            1.0
        } else {
            self.factor
        }
    }
}

impl Iterator for Trace {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.now += time::Duration::from_secs_f64(gap / rate);
        if self.now >= self.plan.length {
            return None;
        }
        let stream = self.pick()?;
        let key = stream.path.contains('*').then(|| self.key());
        let path = match key {
            Some(key) => stream.path.replace('*', &format!("k{key}")),
            None => stream.path,
        };
        Some(Arrival {
            at: self.now,
            service: stream.service,
            class: stream.class,
            method: stream.method,
            path,
            key,
            work: stream.service_time.sample(&mut self.rng),
            deadline: stream.deadline,
        })
    }
}
