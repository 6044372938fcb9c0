//! Applies the commands that change the homes of shards.

use std::sync;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::shards;
use yucca_wire::table;

use super::{Cause, Reply, State};

impl State {
    pub(super) fn assign(
        &mut self,
        version: id::Version,
        service: &id::Service,
        base: id::Version,
        homes: &shards::Homes,
        cause: &Cause,
    ) -> Reply {
        if base != self.table.version || !self.may_assign(service, homes, cause) {
            return Reply::Stale;
        }
        let old = self.table.homes.get(service).cloned().unwrap_or_default();
        let receivers = receivers(&old, homes);
        for domain in &receivers {
            self.raise_generation(domain);
        }
        if let Cause::Lapsed { domain, .. } = cause {
            // Renewals of the domain are refused until it knows that its shards were reassigned.
            self.raise_generation(domain);
        }
        let table = self.table_mut();
        table.homes.insert(service.clone(), homes.clone());
        if let Some(leaving) = table.leaving.get_mut(service) {
            let unchanged = |shard: &id::Shard| {
                let index = shard.0 as usize;
                old.get(index) == homes.get(index)
            };
            leaving.retain(|shard, _| unchanged(shard));
        }
        table.version = version;
        Reply::Done
    }

    /// Returns whether the homes may change without releases. That holds only if no host of the
    /// previous homes can still be serving the shards that change their home.
    fn may_assign(&self, service: &id::Service, homes: &shards::Homes, cause: &Cause) -> bool {
        let Some(found) = self.table.services.get(service) else {
            return false;
        };
        let table::Kind::Keyed { shards, .. } = found.kind else {
            return false;
        };
        let usable = |domain: &id::Domain| {
            let known = self.table.domains.get(domain);
            known.is_some_and(|domain| !domain.lost)
        };
        let lapsed = match cause {
            Cause::Unowned => None,
            Cause::Lapsed { domain, renewal } => {
                let last = self.renewal(service, domain);
                let allowed = matches!(found.on_cut, table::Cut::MoveAfter(_));
                if !allowed || last.is_none_or(|last| last.number != *renewal) {
                    return false;
                }
                Some(domain)
            }
        };
        let old = self.table.homes.get(service);
        let free = |domain: &id::Domain| !usable(domain) || lapsed == Some(domain);
        let moved = home_changes(old, homes);
        homes.len() == shards as usize
            && moved.iter().all(|change| change.from.is_none_or(free))
            && moved.iter().all(|change| usable(change.to))
    }

    pub(super) fn leave(
        &mut self,
        version: id::Version,
        service: &id::Service,
        base: id::Version,
        shards: &IndexMap<id::Shard, id::Domain>,
    ) -> Reply {
        if base != self.table.version {
            return Reply::Stale;
        }
        let Some(homes) = self.table.homes.get(service) else {
            return Reply::Stale;
        };
        let known = |domain: &id::Domain| self.table.domains.contains_key(domain);
        let fits = |(shard, to): (&id::Shard, &id::Domain)| {
            known(to) && homes.get(shard.0 as usize).is_some_and(|home| home != to)
        };
        if !shards.iter().all(fits) {
            return Reply::Stale;
        }
        let table = self.table_mut();
        let leaving = table.leaving.entry(service.clone()).or_default();
        for (shard, to) in shards {
            leaving.insert(*shard, to.clone());
        }
        table.version = version;
        Reply::Done
    }

    /// Assigns released shards to their next homes. If the next home was lost in the meantime, the
    /// shard returns to the home that released it, under a new generation.
    pub(super) fn released(
        &mut self,
        version: id::Version,
        domain: &id::Domain,
        generation: u32,
        service: &id::Service,
        shards: &[id::Shard],
    ) -> Reply {
        let table = sync::Arc::make_mut(&mut self.table);
        let known = table.domains.get(domain);
        let current = known.is_some_and(|known| known.generation == generation);
        let Some(homes) = table.homes.get_mut(service).filter(|_| current) else {
            return Reply::Stale;
        };
        let Some(leaving) = table.leaving.get_mut(service) else {
            return Reply::Stale;
        };
        let mut receivers = indexmap::IndexSet::new();
        for shard in shards {
            if homes.get(shard.0 as usize) != Some(domain) {
                continue;
            }
            let Some(to) = leaving.swap_remove(shard) else {
                continue;
            };
            let lost = table.domains.get(&to).is_none_or(|domain| domain.lost);
            let to = if lost { domain.clone() } else { to };
            homes.assign(shard.0..shard.0 + 1, &to);
            receivers.insert(to);
        }
        if leaving.is_empty() {
            table.leaving.shift_remove(service);
        }
        if receivers.is_empty() {
            return Reply::Stale;
        }
        table.version = version;
        for domain in &receivers {
            self.raise_generation(domain);
        }
        Reply::Done
    }

    /// Assigns a domain a generation above all others. As each domain that receives shards of another
    /// one gets such a generation, the tokens of a shard rise although they come from different logs.
    fn raise_generation(&mut self, domain: &id::Domain) {
        self.generation += 1;
        let generation = self.generation;
        if let Some(domain) = self.table_mut().domains.get_mut(domain) {
            domain.generation = generation;
        }
    }
}

/// Change of home of a run of shards.
struct Change<'a> {
    from: Option<&'a id::Domain>,
    to: &'a id::Domain,
}

/// Returns the changes between two assignments of homes, by a joint pass over their runs.
fn home_changes<'a>(old: Option<&'a shards::Homes>, new: &'a shards::Homes) -> Vec<Change<'a>> {
    let mut changes = Vec::new();
    let mut start = 0;
    for run in new.runs() {
        while start < run.end {
            let old_runs = old.map_or(&[][..], shards::Homes::runs);
            let at = old_runs.partition_point(|old| old.end <= start);
            let from = old_runs.get(at).map(|old| &old.domain);
            if from != Some(&run.domain) {
                let to = &run.domain;
                changes.push(Change { from, to });
            }
            let end = old_runs.get(at).map_or(run.end, |old| old.end);
            start = end.min(run.end);
        }
    }
    changes
}

fn receivers(old: &shards::Homes, new: &shards::Homes) -> indexmap::IndexSet<id::Domain> {
    let changes = home_changes(Some(old), new);
    changes.iter().map(|change| change.to.clone()).collect()
}
