//! Predicted load of each target of a service.

use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::table;

use crate::domain::rates::Rates;
use crate::domain::{Evidence, State};

/// Work assumed for each shard in addition to its observed work, in slot-microseconds per second.
/// It distributes shards without observed work evenly too.
const BASE_SHARD_WORK: f32 = 50.0;
/// Minimum share of its full rate that a cold target is assumed to have.
const MIN_WARM: f32 = 0.1;
/// Minimum time for which a leader must have received reports before it treats a key as cold.
const MIN_HISTORY: time::Duration = time::Duration::from_secs(15);

/// Predicted load of one target.
#[derive(Debug, Clone)]
pub(super) struct Load {
    /// Name of the target.
    pub target: id::Target,
    /// Number of slots, reduced during warm-up.
    pub weight: f32,
    /// Work of what it owns, in slot-microseconds per second.
    pub work: f32,
}

impl Load {
    /// Returns the work per slot.
    pub fn relative(&self) -> f32 {
        self.work / self.weight
    }
}

/// Predicted loads of the serving targets of one service.
#[derive(Debug)]
pub(super) struct Loads<'a> {
    /// Loads of the targets.
    pub targets: Vec<Load>,
    evidence: &'a Evidence,
    rates: Option<&'a Rates>,
    /// Difference between the predicted work of each shard and its observed rate: minus the work of
    /// pinned keys, which the shard's owner does not do, plus that of keys that recently became
    /// hot.
    corrections: IndexMap<id::Shard, f32>,
    now: time::Duration,
}

impl<'a> Loads<'a> {
    /// Sums the work of what each target owns. Moving shards and pins count for their destinations.
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

    /// Counts the work of pinned keys for the owners of the pins instead of those of the shards,
    /// and that of other hot keys by their short-term rates.
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

    /// Returns whether this leader has observed work for long enough to treat a key as cold.
    pub fn has_history(&self) -> bool {
        self.now.saturating_sub(self.evidence.since()) >= MIN_HISTORY
    }

    /// Returns the predicted work of a shard without its pinned keys, in slot-microseconds per
    /// second.
    pub fn shard(&self, shard: id::Shard) -> f32 {
        let rate = self.rates.map_or(0.0, |rates| rates.shard(shard, self.now));
        let correction = self.corrections.get(&shard).copied().unwrap_or(0.0);
        (rate + correction).max(0.0) + BASE_SHARD_WORK
    }

    /// Returns the long-term rate of a key, in slot-microseconds per second.
    pub fn key(&self, key: &Bytes) -> f32 {
        let rates = self.rates;
        rates.map_or(0.0, |rates| rates.key_in_shard(key, self.now))
    }

    /// Returns the keys whose short-term rate is at least `least`, and their rates. Both are in
    /// slot-microseconds per second.
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

    /// Returns the load of a target, or `None` if it does not serve.
    pub fn get(&self, target: &id::Target) -> Option<&Load> {
        self.targets.iter().find(|load| load.target == *target)
    }

    /// Returns the mean work per slot.
    pub fn mean(&self) -> f32 {
        let work: f32 = self.targets.iter().map(|load| load.work).sum();
        let slots: f32 = self.targets.iter().map(|load| load.weight).sum();
        work / slots
    }

    /// Returns the mean work per target.
    pub fn mean_work(&self) -> f32 {
        let work: f32 = self.targets.iter().map(|load| load.work).sum();
        work / self.targets.len() as f32
    }

    /// Returns the target with the most work per slot.
    pub fn most(&self) -> Option<&Load> {
        let targets = self.targets.iter();
        targets.max_by(|a, b| a.relative().total_cmp(&b.relative()))
    }

    /// Returns the target with the least work per slot.
    pub fn least(&self) -> Option<&Load> {
        let targets = self.targets.iter();
        targets.min_by(|a, b| a.relative().total_cmp(&b.relative()))
    }

    /// Moves predicted work from one target to another.
    pub fn shift(&mut self, from: &id::Target, to: &id::Target, work: f32) {
        self.add(from, -work);
        self.add(to, work);
    }

    /// Assigns work to the target that then has the least work per slot, and returns that target.
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
