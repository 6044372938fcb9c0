//! Chooses the target of a request to a pool service.
//!
//! Two targets are drawn at random and the less loaded one is taken, among those of this host's
//! domain and among those of others. The local one is kept unless the other is lighter by one
//! request, or the domain has more than its share of callers.
//!
//! Work that runs once only and whose id the caller chose goes to the target that [`rank`] puts
//! first, at whatever host it enters, so that the same id meets the same ledger.

use std::sync;

use indexmap::IndexMap;
use rand::Rng;
use xxhash_rust::xxh3;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::table;

/// How many requests less a target of another domain must hold before it is taken: the trip between
/// domains costs less than a wait behind one request, and domains differ in targets and callers.
const SPILL_MARGIN: f64 = 1.0;

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
    let near = less_loaded(loads, &local, rng);
    let remote = candidates(table, service, tried, |domain| domain != here);
    let far = less_loaded(loads, &remote, rng);
    if far.is_some() && rng.random::<f64>() >= local_share(table, here, &local, &remote) {
        return far.map(|(name, _, _)| name.clone());
    }
    let best = match (near, far) {
        (Some(near), Some(far)) if far.1 + far.2 < near.1 => Some(far),
        (Some(near), _) => Some(near),
        (None, far) => far,
    };
    best.map(|(name, _, _)| name.clone())
}

/// Returns the share of this domain's requests that its own targets take.
///
/// The platform's balancer spreads callers evenly over hosts. A domain with a larger share of the
/// hosts than of the slots would load its targets more than others, so that it passes the surplus
/// on.
fn local_share(
    table: &table::Table,
    here: &id::Domain,
    local: &[Candidate<'_>],
    remote: &[Candidate<'_>],
) -> f64 {
    let slots = |candidates: &[Candidate<'_>]| -> f64 {
        let slots = candidates.iter().map(|(_, target)| target.slots.0);
        slots.map(f64::from).sum()
    };
    let domains = &table.global.domains;
    let hosts: usize = domains.values().map(|domain| domain.hosts.len()).sum();
    let own_hosts = domains.get(here).map_or(0, |domain| domain.hosts.len());
    if own_hosts == 0 {
        return 1.0;
    }
    let share_of_slots = slots(local) / (slots(local) + slots(remote)).max(1.0);
    let share_of_hosts = own_hosts as f64 / hosts as f64;
    (share_of_slots / share_of_hosts).min(1.0)
}

fn candidates<'a>(
    table: &'a table::Table,
    service: &id::Service,
    tried: &[id::Target],
    from: impl Fn(&id::Domain) -> bool,
) -> Vec<Candidate<'a>> {
    let wanted = |(name, target): &Candidate<'a>| {
        !tried.contains(name) && takes_work(table, service, name, target)
    };
    let locals = table.locals.values().filter(|local| from(&local.domain));
    let targets = locals.flat_map(|local| local.targets.iter());
    targets.filter(wanted).collect()
}

/// Draws two and returns the lighter one with its load per slot and its margin.
fn less_loaded<'a>(
    loads: &Loads,
    candidates: &[Candidate<'a>],
    rng: &mut impl Rng,
) -> Option<(&'a id::Target, f64, f64)> {
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[rng.random_range(0..candidates.len())];
    let second = candidates[rng.random_range(0..candidates.len())];
    let weigh = |(name, target): Candidate<'a>| {
        let margin = SPILL_MARGIN / f64::from(target.slots.0.max(1));
        (name, loads.per_slot(name, target), margin)
    };
    let first = weigh(first);
    let second = weigh(second);
    Some(if second.1 < first.1 { second } else { first })
}

/// Returns all targets of a service, whatever their state, in the order in which they answer for a
/// request id. A target that comes or goes changes the order of no others.
pub fn rank<'a>(
    table: &'a table::Table,
    service: &id::Service,
    request: id::Request,
) -> Vec<(&'a id::Target, &'a table::Target)> {
    let locals = table.locals.values();
    let targets = locals.flat_map(|local| local.targets.iter());
    let mut ranked: Vec<Candidate<'a>> = targets
        .filter(|(_, target)| target.service == *service)
        .collect();
    ranked.sort_by_cached_key(|(name, _)| {
        let mut hasher = xxh3::Xxh3::with_seed(request.0 as u64);
        hasher.update(&request.0.to_le_bytes());
        hasher.update(name.as_str().as_bytes());
        std::cmp::Reverse(hasher.digest())
    });
    ranked
}

/// Tells whether a target takes new work.
pub fn takes_work(
    table: &table::Table,
    service: &id::Service,
    name: &id::Target,
    target: &table::Target,
) -> bool {
    let drained = table.global.drains.get(service);
    target.service == *service
        && target.state == table::State::Serving
        && target.lane.is_some()
        && !drained.is_some_and(|drained| drained.contains(name))
}
