//! The load of each target of a service, as placement predicts it.

use std::time;

use yucca_wire::id;
use yucca_wire::table;

use crate::domain::evidence::Rates;
use crate::domain::{Evidence, State};

/// What a shard is taken to cost besides its known work, in slot-microseconds a second, so that
/// shards without known work are divided evenly too.
const SHARD_BASE: f32 = 50.0;
/// The least share of its full rate that a cold target is taken to have.
const MIN_WARM: f32 = 0.1;

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

/// The loads of the serving targets of one service.
#[derive(Debug)]
pub(super) struct Loads<'a> {
    /// The targets.
    pub targets: Vec<Load>,
    rates: Option<&'a Rates>,
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
        let rates = evidence.rates.get(service);
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
            rates,
            now,
        };
        for index in 0..loads.targets.len() {
            let owned = evidence.owned(&loads.targets[index].target);
            let work: f32 = owned.map(|shard| loads.shard(shard)).sum();
            loads.targets[index].work = work;
        }
        let shifts = state.shifts.get(service);
        for (shard, to) in shifts.into_iter().flatten() {
            let work = loads.shard(*shard);
            if let Some(owner) = state.owner(service, *shard) {
                loads.add(&owner.target, -work);
            }
            loads.add(to, work);
        }
        loads
    }

    /// Returns the predicted work of a shard, in slot-microseconds a second.
    pub fn shard(&self, shard: id::Shard) -> f32 {
        let rate = self.rates.map_or(0.0, |rates| rates.shard(shard, self.now));
        rate + SHARD_BASE
    }

    /// Adds work to a target.
    pub fn add(&mut self, target: &id::Target, work: f32) {
        let load = self.targets.iter_mut().find(|load| load.target == *target);
        if let Some(load) = load {
            load.work += work;
        }
    }

    /// Gives work to the target that is then least loaded.
    pub fn place(&mut self, work: f32) -> Option<id::Target> {
        let after = |load: &Load| (load.work + work) / load.weight;
        let least = |a: &&mut Load, b: &&mut Load| after(a).total_cmp(&after(b));
        let load = self.targets.iter_mut().min_by(least)?;
        load.work += work;
        Some(load.target.clone())
    }
}
