//! The load of each target of a service, as placement predicts it.

use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::table;

use crate::domain::rates::Rates;
use crate::domain::{Evidence, State};

/// What a shard is taken to cost besides its known work, in slot-microseconds a second, so that
/// shards without known work are divided evenly too.
const SHARD_BASE: f32 = 50.0;
/// The least share of its full rate that a cold target is taken to have.
const MIN_WARM: f32 = 0.1;
/// How long a leader must have heard of work before it calls a key cold.
const WARM_UP: time::Duration = time::Duration::from_secs(15);

/// The load of one target.
#[derive(Debug, Clone)]
pub(super) struct Load {
    /// The target.
    pub target: id::Target,
    /// Its slots, less while it is cold.
    pub weight: f32,
    /// The work of what it owns, in slot-microseconds a second.
    pub work: f32,
}

impl Load {
    /// Returns the work for each slot.
    pub fn relative(&self) -> f32 {
        self.work / self.weight
    }
}

/// The loads of the serving targets of one service.
#[derive(Debug)]
pub(super) struct Loads<'a> {
    /// The targets.
    pub targets: Vec<Load>,
    evidence: &'a Evidence,
    rates: Option<&'a Rates>,
    /// What the work of each shard differs from its rate: less the pinned keys, which its owner
    /// does not do, and more the keys that have just turned hot.
    corrections: IndexMap<id::Shard, f32>,
    now: time::Duration,
}

impl<'a> Loads<'a> {
    /// Sums up the work of what each target owns. What moves counts for where it goes.
    pub fn new(
        state: &State,
        service: &id::Service,
        evidence: &'a Evidence,
        now: time::Duration,
    ) -> Self {
        let targets = state.table.targets.iter();
        let serving = targets.filter(|(_, target)| {
            target.service == *service && target.state == table::State::Serving
        });
        let targets = serving.map(|(name, target)| Load {
            target: name.clone(),
            weight: f32::from(target.slots.0) * target.warm.max(MIN_WARM),
            work: 0.0,
        });
        let mut loads = Self {
            targets: targets.collect(),
            evidence,
            rates: evidence.rates.get(service),
            corrections: IndexMap::new(),
            now,
        };
        loads.add_keys(state, service);
        for index in 0..loads.targets.len() {
            let owned = evidence.owned(&loads.targets[index].target);
            let work: f32 = owned.map(|shard| loads.shard(shard)).sum();
            loads.targets[index].work += work;
        }
        let shifts = state.shifts.get(service);
        for (shard, to) in shifts.into_iter().flatten() {
            let work = loads.shard(*shard);
            if let Some(owner) = state.owner(service, *shard) {
                loads.shift(&owner.target, to, work);
            }
        }
        loads
    }

    /// Counts the work of pinned keys for their owners and not for those of their shards, and that
    /// of other hot keys by its rate over a short time.
    fn add_keys(&mut self, state: &State, service: &id::Service) {
        let Some(rates) = self.rates else {
            return;
        };
        let pins = state.table.pins.get(service);
        for (key, work) in rates.keys(self.now) {
            let Some(shard) = state.shard_of(service, key) else {
                continue;
            };
            let counted = rates.key_in_shard(key, self.now);
            let correction = self.corrections.entry(shard).or_insert(0.0);
            match pins.and_then(|pins| pins.get(key)) {
                Some(owner) => {
                    *correction -= counted;
                    let known = state.pins.get(service).and_then(|pins| pins.get(key));
                    let to = known.and_then(|known| known.to.as_ref());
                    self.add(to.unwrap_or(&owner.target), work);
                }
                None => *correction += work - counted,
            }
        }
    }

    /// Tells whether this leader has heard of work for long enough to call a key cold.
    pub fn is_warm(&self) -> bool {
        self.now.saturating_sub(self.evidence.since()) >= WARM_UP
    }

    /// Returns the predicted work of a shard without its pinned keys, in slot-microseconds a
    /// second.
    pub fn shard(&self, shard: id::Shard) -> f32 {
        let rate = self.rates.map_or(0.0, |rates| rates.shard(shard, self.now));
        let correction = self.corrections.get(&shard).copied().unwrap_or(0.0);
        (rate + correction).max(0.0) + SHARD_BASE
    }

    /// Returns the work of a key over a longer time, in slot-microseconds a second.
    pub fn key(&self, key: &Bytes) -> f32 {
        let rates = self.rates;
        rates.map_or(0.0, |rates| rates.key_in_shard(key, self.now))
    }

    /// Returns the keys with at least this work.
    pub fn hot(&self, least: f32) -> Vec<(Bytes, f32)> {
        let keys = self
            .rates
            .into_iter()
            .flat_map(|rates| rates.keys(self.now));
        let hot = keys.filter(|(_, rate)| *rate >= least);
        hot.map(|(key, rate)| (key.clone(), rate)).collect()
    }

    /// Returns the shards that a target owns.
    pub fn shards(&self, target: &id::Target) -> impl Iterator<Item = id::Shard> {
        self.evidence.owned(target)
    }

    /// Returns the load of a target.
    pub fn get(&self, target: &id::Target) -> Option<&Load> {
        self.targets.iter().find(|load| load.target == *target)
    }

    /// Returns the mean work for each slot.
    pub fn mean(&self) -> f32 {
        let work: f32 = self.targets.iter().map(|load| load.work).sum();
        let slots: f32 = self.targets.iter().map(|load| load.weight).sum();
        work / slots
    }

    /// Returns the mean work of a target.
    pub fn mean_work(&self) -> f32 {
        let work: f32 = self.targets.iter().map(|load| load.work).sum();
        work / self.targets.len() as f32
    }

    /// Returns the most loaded target.
    pub fn most(&self) -> Option<&Load> {
        let targets = self.targets.iter();
        targets.max_by(|a, b| a.relative().total_cmp(&b.relative()))
    }

    /// Returns the least loaded target.
    pub fn least(&self) -> Option<&Load> {
        let targets = self.targets.iter();
        targets.min_by(|a, b| a.relative().total_cmp(&b.relative()))
    }

    /// Moves work from one target to another.
    pub fn shift(&mut self, from: &id::Target, to: &id::Target, work: f32) {
        self.add(from, -work);
        self.add(to, work);
    }

    /// Gives work to the target that is then least loaded.
    pub fn place(&mut self, work: f32) -> Option<id::Target> {
        let after = |load: &Load| (load.work + work) / load.weight;
        let least = |a: &&mut Load, b: &&mut Load| after(a).total_cmp(&after(b));
        let load = self.targets.iter_mut().min_by(least)?;
        load.work += work;
        Some(load.target.clone())
    }

    fn add(&mut self, target: &id::Target, work: f32) {
        let load = self.targets.iter_mut().find(|load| load.target == *target);
        if let Some(load) = load {
            load.work += work;
        }
    }
}
