//! Chooses the target of a request to a pool service.
//!
//! In this host's domain and in the other domains, two targets are drawn at random and the less
//! loaded one is a candidate (power of two choices). The local candidate is chosen unless the
//! remote one is less loaded by more than one request, or the domain gets more than its share of
//! callers.
//!
//! A non-idempotent request with an id from the caller goes to the first target of [`rank`]. Every
//! host computes the same order, so that requests with the same id reach the same ledger.

use std::sync;

use indexmap::IndexMap;
use rand::Rng;
use xxhash_rust::xxh3;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::table;

/// Number of requests by which a target of another domain must be less loaded to be chosen. The
/// round trip between domains costs less than waiting for one request, and domains differ in their
/// numbers of targets and callers.
const SPILL_MARGIN: f64 = 1.0;

/// Loads of lanes, as known to this host.
#[derive(Default)]
pub struct Loads {
    // Last in the lock order: no other lock is taken while it is held.
    lanes: sync::Mutex<IndexMap<id::Target, Lane>>,
}

#[derive(Default, Clone, Copy)]
struct Lane {
    reported: head::Load,
    // Number of unanswered requests that this host sent. Without it, all requests between two
    // reports would go to the same lane.
    in_flight: u32,
}

impl Loads {
    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<id::Target, Lane>> {
        self.lanes
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Counts a request that is sent to a lane.
    pub fn begin(&self, target: &id::Target) {
        self.lock().entry(target.clone()).or_default().in_flight += 1;
    }

    /// Counts the end of a request and stores the load that the lane reported with its answer.
    pub fn end(&self, target: &id::Target, reported: Option<head::Load>) {
        let mut lanes = self.lock();
        let lane = lanes.entry(target.clone()).or_default();
        lane.in_flight = lane.in_flight.saturating_sub(1);
        if let Some(reported) = reported {
            lane.reported = reported;
        }
    }

    /// Removes the targets for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&id::Target) -> bool) {
        self.lock().retain(|target, _| keep(target));
    }

    fn load_per_slot(&self, name: &id::Target, target: &table::Target) -> f64 {
        let lane = self.lock().get(name).copied().unwrap_or_default();
        let reported = lane.reported.running + lane.reported.waiting;
        let slots = f64::from(target.slots.0.max(1)) * f64::from(target.warm.max(0.05));
        f64::from(reported.max(lane.in_flight)) / slots
    }
}

/// Target that can be chosen, with its name.
type Candidate<'a> = (&'a id::Target, &'a table::Target);

/// Chooses a target of a pool service for a request that enters in domain `here`.
///
/// Targets in `tried` are skipped. Returns `None` if no other target of the service accepts
/// requests.
pub fn choose(
    table: &table::Table,
    loads: &Loads,
    service: &id::Service,
    here: &id::Domain,
    tried: &[id::Target],
    rng: &mut impl Rng,
) -> Option<id::Target> {
    let local = candidates(table, service, tried, |domain| domain == here);
    let best_local = less_loaded(loads, &local, rng);
    let remote = candidates(table, service, tried, |domain| domain != here);
    let best_remote = less_loaded(loads, &remote, rng);
    if best_remote.is_some() && rng.random::<f64>() >= local_share(table, here, &local, &remote) {
        return best_remote.map(|(name, _, _)| name.clone());
    }
    let best = match (best_local, best_remote) {
        (Some(best_local), Some(best_remote)) if best_remote.1 + best_remote.2 < best_local.1 => {
            Some(best_remote)
        }
        (Some(best_local), _) => Some(best_local),
        (None, best_remote) => best_remote,
    };
    best.map(|(name, _, _)| name.clone())
}

/// Returns the share of this domain's requests that its own targets serve, from 0 to 1.
///
/// The platform's balancer distributes callers evenly over hosts. The targets of a domain with a
/// larger share of the hosts than of the slots would be overloaded, so the surplus goes to other
/// domains.
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
        !tried.contains(name) && accepts_requests(table, service, name, target)
    };
    let locals = table.locals.values().filter(|local| from(&local.domain));
    let targets = locals.flat_map(|local| local.targets.iter());
    targets.filter(wanted).collect()
}

/// Draws two targets and returns the less loaded one with its load and its margin, both per slot.
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
        (name, loads.load_per_slot(name, target), margin)
    };
    let first = weigh(first);
    let second = weigh(second);
    Some(if second.1 < first.1 { second } else { first })
}

/// Returns all targets of a service in any state, ordered by rendezvous hashing of the request id.
/// Adding or removing a target does not change the order of the others.
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

/// Returns whether a target accepts new requests.
pub fn accepts_requests(
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
