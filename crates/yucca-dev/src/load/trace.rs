//! Seeded arrivals: the same seed gives the same requests for every router.

use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::distr::Distribution;
use rand_distr::{Exp1, Zipf};
use yucca_wire::id;
use yucca_wire::table;

use crate::deployment;
use crate::work;

/// Number of slots of each target.
const SLOTS: f64 = 3.0;

/// Offset added to the number of every key each time that the hot keys change.
const HOT_KEY_OFFSET: u64 = 1009;

/// A request to send.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of arrival, since the start of the run.
    pub at: time::Duration,
    /// The service.
    pub service: id::Service,
    /// The work class.
    pub class: table::Class,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// Number of the key, if the path has one.
    pub key: Option<u64>,
    /// Service time at the target.
    pub work: time::Duration,
    /// Maximum time that the caller waits, from the arrival.
    pub deadline: time::Duration,
}

/// A kind of request, with its rate.
#[derive(Debug, Clone)]
pub struct Stream {
    /// The service.
    pub service: id::Service,
    /// The work class.
    pub class: table::Class,
    /// The method.
    pub method: &'static str,
    /// The path; `*` is replaced by the key.
    pub path: String,
    /// Mean rate, in requests per second.
    pub rate: f64,
    /// Distribution of the service times.
    pub service_time: work::Distribution,
    /// Maximum time that the caller waits, from the arrival.
    pub deadline: time::Duration,
}

/// A repeating cycle of demand: a period at the base rate, followed by a crest.
#[derive(Debug, Clone, Copy)]
pub struct Cycle {
    /// Duration of the period at the base rate, before each crest.
    pub base: time::Duration,
    /// Duration of a crest.
    pub crest: time::Duration,
    /// Factor by which the rate is multiplied during a crest.
    pub factor: f64,
}

/// Distribution of requests over keys.
#[derive(Debug, Clone, Copy)]
pub struct Keys {
    /// Number of keys of each service.
    pub count: u64,
    /// Exponent of the Zipf distribution; 0 gives a uniform distribution.
    pub exponent: f64,
    /// Interval at which the hot keys change.
    pub move_every: time::Duration,
}

/// Parameters that determine the arrivals of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The kinds of requests.
    pub streams: Vec<Stream>,
    /// Cycle of demand; `None` for a constant rate.
    pub cycle: Option<Cycle>,
    /// Distribution of requests over keys.
    pub keys: Keys,
    /// Time during which requests arrive.
    pub length: time::Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Load on the services of a deployment, as shares of each service's slots.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Share of all slots that short work occupies.
    pub short: f64,
    /// Share of all slots that long work occupies.
    pub long: f64,
}

/// Returns the capacity of a group of targets, in slot-seconds of work per second.
pub fn capacity(group: &deployment::Group) -> f64 {
    group.targets as f64 * SLOTS
}

/// Returns the streams that put a load on every service of a deployment.
pub fn streams(deployment: &deployment::Deployment, load: Load) -> Vec<Stream> {
    let groups = deployment.groups.iter();
    groups
        .flat_map(|group| group_streams(group, load))
        .collect()
}

/// Returns the streams that put a load on one service. If a service has one work class only, that
/// class gets the sum of both shares.
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

/// Deadline of requests for short work.
const SHORT_DEADLINE: time::Duration = time::Duration::from_millis(1000);

/// Deadline of requests for long work.
const LONG_DEADLINE: time::Duration = time::Duration::from_secs(10);

/// Iterator over the arrivals of a plan, in order of time.
#[derive(Debug)]
pub struct Trace {
    plan: Plan,
    total_rate: f64,
    now: time::Duration,
    rng: rand_chacha::ChaCha8Rng,
}

impl Trace {
    /// Returns an iterator over the arrivals of a plan.
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

    fn choose_stream(&mut self) -> Option<Stream> {
        let mut remaining = self.rng.random::<f64>() * self.total_rate;
        let streams = &self.plan.streams;
        let chosen = streams.iter().find(|stream| {
            remaining -= stream.rate;
            remaining <= 0.0
        });
        chosen.or(streams.last()).cloned()
    }

    fn choose_key(&mut self) -> u64 {
        let keys = self.plan.keys;
        let rank = match Zipf::new(keys.count as f64, keys.exponent) {
            Ok(zipf) => zipf.sample(&mut self.rng) as u64 - 1,
            Err(_) => self.rng.random_range(0..keys.count.max(1)),
        };
        let moves = self.now.as_secs_f64() / keys.move_every.as_secs_f64();
        (rank + moves as u64 * HOT_KEY_OFFSET) % keys.count.max(1)
    }
}

impl Cycle {
    /// Returns the factor by which the rate is multiplied at a time since the start of the run.
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
        let stream = self.choose_stream()?;
        let key = stream.path.contains('*').then(|| self.choose_key());
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
