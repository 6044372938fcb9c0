//! Chooses the target of a request to a pool service.
//!
//! Two targets are drawn at random and the less loaded one is taken: first among those of this
//! host's domain, then, where that one is busy, among those of other domains.

use std::sync;

use indexmap::IndexMap;
use rand::Rng;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::table;

/// The load per slot from which requests go to other domains: all slots busy and one wave waits.
const SPILL_LOAD: f64 = 2.0;

/// What this host knows of the load of lanes.
#[derive(Default)]
pub struct Loads {
    // A leaf in the lock order: no other lock is taken while it is held.
    lanes: sync::Mutex<IndexMap<id::Target, Lane>>,
}

#[derive(Default, Clone, Copy)]
struct Lane {
    reported: head::Load,
    // Requests that this host sent since the report and that are not answered yet; without them
    // all requests between two reports would go to the same lane.
    own: u32,
}

impl Loads {
    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<id::Target, Lane>> {
        self.lanes
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Counts a request that goes to a lane.
    pub fn begin(&self, target: &id::Target) {
        self.lock().entry(target.clone()).or_default().own += 1;
    }

    /// Counts its end, with the load that the lane reported.
    pub fn end(&self, target: &id::Target, reported: Option<head::Load>) {
        let mut lanes = self.lock();
        let lane = lanes.entry(target.clone()).or_default();
        lane.own = lane.own.saturating_sub(1);
        if let Some(reported) = reported {
            lane.reported = reported;
        }
    }

    /// Forgets the targets for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&id::Target) -> bool) {
        self.lock().retain(|target, _| keep(target));
    }

    fn per_slot(&self, name: &id::Target, target: &table::Target) -> f64 {
        let lane = self.lock().get(name).copied().unwrap_or_default();
        let reported = lane.reported.running + lane.reported.waiting;
        let slots = f64::from(target.slots.0.max(1)) * f64::from(target.warm.max(0.05));
        f64::from(reported.max(lane.own)) / slots
    }
}

/// A target that can be chosen.
type Candidate<'a> = (&'a id::Target, &'a table::Target);

/// Chooses a target of a pool service for a request that enters in domain `here`.
///
/// Targets that the request already tried are in `tried`. Returns none where no target of the
/// service takes work.
pub fn choose(
    table: &table::Table,
    loads: &Loads,
    service: &id::Service,
    here: &id::Domain,
    tried: &[id::Target],
    rng: &mut impl Rng,
) -> Option<id::Target> {
    let local = candidates(table, service, tried, |domain| domain == here);
    let near = lighter(loads, &local, rng);
    if let Some((name, load)) = near
        && load < SPILL_LOAD
    {
        return Some(name.clone());
    }
    let remote = candidates(table, service, tried, |domain| domain != here);
    let far = lighter(loads, &remote, rng);
    let best = match (near, far) {
        (Some(near), Some(far)) if far.1 < near.1 => Some(far),
        (Some(near), _) => Some(near),
        (None, far) => far,
    };
    best.map(|(name, _)| name.clone())
}

fn candidates<'a>(
    table: &'a table::Table,
    service: &id::Service,
    tried: &[id::Target],
    from: impl Fn(&id::Domain) -> bool,
) -> Vec<Candidate<'a>> {
    let drained = table.global.drains.get(service);
    let takes_work = |(name, target): &Candidate<'a>| {
        target.service == *service
            && target.state == table::State::Serving
            && target.lane.is_some()
            && !tried.contains(name)
            && !drained.is_some_and(|drained| drained.contains(name))
    };
    let locals = table.locals.values().filter(|local| from(&local.domain));
    let targets = locals.flat_map(|local| local.targets.iter());
    targets.filter(takes_work).collect()
}

fn lighter<'a>(
    loads: &Loads,
    candidates: &[Candidate<'a>],
    rng: &mut impl Rng,
) -> Option<(&'a id::Target, f64)> {
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[rng.random_range(0..candidates.len())];
    let second = candidates[rng.random_range(0..candidates.len())];
    let first = (first.0, loads.per_slot(first.0, first.1));
    let second = (second.0, loads.per_slot(second.0, second.1));
    Some(if second.1 < first.1 { second } else { first })
}
