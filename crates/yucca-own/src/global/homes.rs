//! Distributes the shards of a service among the domains that have targets of it.

use std::ops;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::shards;

/// Divisor of the fair share. Shards leave a domain only if it exceeds its share by more than the
/// share divided by this number.
const SLACK_DIVISOR: u32 = 4;

/// Number of slots of a service, by domain.
pub type Weights = IndexMap<id::Domain, u32>;

/// Returns each domain's fair share of the shards, by the method of largest remainders.
pub fn quotas(total: u32, weights: &Weights) -> IndexMap<id::Domain, u32> {
    let sum: u64 = weights.values().map(|weight| u64::from(*weight)).sum();
    if sum == 0 {
        return IndexMap::new();
    }
    let exact = |weight: u32| u64::from(total) * u64::from(weight);
    let mut quotas: IndexMap<id::Domain, u32> = weights
        .iter()
        .map(|(domain, weight)| (domain.clone(), (exact(*weight) / sum) as u32))
        .collect();
    let given: u32 = quotas.values().sum();
    let mut remainders: Vec<(u64, &id::Domain)> = weights
        .iter()
        .map(|(domain, weight)| (exact(*weight) % sum, domain))
        .collect();
    remainders.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    for (_, domain) in remainders.iter().take((total - given) as usize) {
        if let Some(quota) = quotas.get_mut(*domain) {
            *quota += 1;
        }
    }
    quotas
}

/// Assigns shards that have no home, or whose home is `gone`, to domains with fewer shards than
/// their share.
///
/// Returns `None` if there are no such shards or no domain can take any.
pub fn refill(
    homes: &shards::Homes,
    total: u32,
    weights: &Weights,
    gone: &dyn Fn(&id::Domain) -> bool,
) -> Option<shards::Homes> {
    let unassigned = unassigned(homes, total, gone);
    let quotas = quotas(total, weights);
    if unassigned.is_empty() || quotas.is_empty() {
        return None;
    }
    let mut room = shortfalls(homes, &quotas, gone);
    let mut refilled = homes.clone();
    for range in unassigned {
        let mut start = range.start;
        while start < range.end {
            let (domain, free) = room.last_mut()?;
            let end = range.end.min(start + *free);
            refilled.assign(start..end, domain);
            *free -= end - start;
            start = end;
            if *free == 0 {
                room.pop();
            }
        }
    }
    Some(refilled)
}

/// Chooses at most `limit` shards that leave domains with far more shards than their share, and
/// returns their next homes.
pub fn surplus(
    homes: &shards::Homes,
    weights: &Weights,
    limit: usize,
    may_leave: &dyn Fn(&id::Domain) -> bool,
) -> IndexMap<id::Shard, id::Domain> {
    let total = homes.len() as u32;
    let quotas = quotas(total, weights);
    let mut room = shortfalls(homes, &quotas, &|_| false);
    let mut excess: IndexMap<&id::Domain, u32> = IndexMap::new();
    for (domain, count) in counts(homes) {
        let quota = quotas.get(domain).copied().unwrap_or(0);
        if count > quota + quota / SLACK_DIVISOR && may_leave(domain) {
            excess.insert(domain, count - quota);
        }
    }
    let mut leaving = IndexMap::new();
    let mut end = total;
    for run in homes.runs().iter().rev() {
        let start = start_of(homes, end);
        for shard in (start..run.end).rev() {
            let Some(left) = excess.get_mut(&run.domain).filter(|left| **left > 0) else {
                break;
            };
            let Some((domain, free)) = room.last_mut().filter(|_| leaving.len() < limit) else {
                return leaving;
            };
            leaving.insert(id::Shard(shard), domain.clone());
            *left -= 1;
            *free -= 1;
            if *free == 0 {
                room.pop();
            }
        }
        end = start;
    }
    leaving
}

/// Returns the first shard of the run that ends at `end`.
fn start_of(homes: &shards::Homes, end: u32) -> u32 {
    let earlier = homes.runs().iter().rev().find(|run| run.end < end);
    earlier.map_or(0, |run| run.end)
}

/// Returns the ranges of shards that have no home, or whose home is `gone`.
fn unassigned(
    homes: &shards::Homes,
    total: u32,
    gone: &dyn Fn(&id::Domain) -> bool,
) -> Vec<ops::Range<u32>> {
    let mut ranges = Vec::new();
    let mut start = 0;
    for run in homes.runs() {
        if gone(&run.domain) {
            ranges.push(start..run.end);
        }
        start = run.end;
    }
    if start < total {
        ranges.push(start..total);
    }
    ranges
}

fn counts(homes: &shards::Homes) -> IndexMap<&id::Domain, u32> {
    let mut counts = IndexMap::new();
    let mut start = 0;
    for run in homes.runs() {
        *counts.entry(&run.domain).or_insert(0) += run.end - start;
        start = run.end;
    }
    counts
}

/// Returns the domains with fewer shards than their share and how many are missing, in ascending
/// order of the missing shards.
fn shortfalls(
    homes: &shards::Homes,
    quotas: &IndexMap<id::Domain, u32>,
    gone: &dyn Fn(&id::Domain) -> bool,
) -> Vec<(id::Domain, u32)> {
    let counts = counts(homes);
    let below = quotas.iter().filter(|(domain, _)| !gone(domain));
    let below = below.filter_map(|(domain, quota)| {
        let count = counts.get(domain).copied().unwrap_or(0);
        let missing = quota.checked_sub(count).filter(|missing| *missing > 0)?;
        Some((domain.clone(), missing))
    });
    let mut below: Vec<(id::Domain, u32)> = below.collect();
    below.sort_by(|a, b| a.1.cmp(&b.1).then_with(|| b.0.cmp(&a.0)));
    below
}
