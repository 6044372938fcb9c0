//! Applies grants, moves and releases of shards.
//!
//! A shard changes its owner only after the current lane of the old owner has released it. That
//! lane is the only sender to its target, so no request of the shard reaches the old owner after
//! the release.

use indexmap::IndexSet;
use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::table;

use super::apply::TokenSource;
use super::{Grant, Reply, Shift, State};

impl State {
    pub(super) fn own(
        &mut self,
        service: &id::Service,
        grants: &[Grant],
        tokens: &mut TokenSource,
    ) -> Reply {
        let mut reply = Reply::Stale;
        for grant in grants {
            let free = self.owner(service, grant.shard).is_none();
            if !free
                || !self.is_home(service, grant.shard)
                || !self.is_serving(service, &grant.target)
            {
                continue;
            }
            let owner = table::Owner {
                target: grant.target.clone(),
                token: tokens.next_token(),
                moving: false,
            };
            let owners = self.table_mut().owners.entry(service.clone()).or_default();
            owners.insert(grant.shard, owner);
            reply = Reply::Done;
        }
        reply
    }

    pub(super) fn shift(&mut self, service: &id::Service, shifts: &[Shift]) -> Reply {
        let mut reply = Reply::Stale;
        for shift in shifts {
            let Some(owner) = self.owner(service, shift.shard) else {
                continue;
            };
            let current = owner.token == shift.token && !owner.moving;
            if !current || owner.target == shift.to || !self.is_serving(service, &shift.to) {
                continue;
            }
            self.start_move(service, shift.shard);
            let shifts = self.shifts.entry(service.clone()).or_default();
            shifts.insert(shift.shard, shift.to.clone());
            reply = Reply::Done;
        }
        reply
    }

    pub(super) fn released(
        &mut self,
        target: &id::Target,
        token: id::Token,
        releases: &[report::Release],
        tokens: &mut TokenSource,
    ) -> Reply {
        let Some(found) = self.table.targets.get(target) else {
            return Reply::Stale;
        };
        if found.token != token {
            return Reply::Stale;
        }
        let service = found.service.clone();
        let mut reply = Reply::Stale;
        for release in releases {
            let ended = match &release.key {
                Some(key) => self.end_pin(&service, target, key, release.token, tokens),
                None => self.end_grant(&service, target, release, tokens),
            };
            if ended {
                reply = Reply::Done;
            }
        }
        if reply == Reply::Done {
            self.record_vacated(&service);
        }
        reply
    }

    fn end_grant(
        &mut self,
        service: &id::Service,
        target: &id::Target,
        release: &report::Release,
        tokens: &mut TokenSource,
    ) -> bool {
        let Some(owner) = self.owner(service, release.shard) else {
            return false;
        };
        if owner.target != *target || owner.token != release.token || !owner.moving {
            return false;
        }
        let shifts = self.shifts.get_mut(service);
        let to = shifts.and_then(|shifts| shifts.swap_remove(&release.shard));
        let to =
            to.filter(|to| self.is_serving(service, to) && self.is_home(service, release.shard));
        let Some(owners) = self.table_mut().owners.get_mut(service) else {
            return false;
        };
        match to {
            Some(target) => {
                let token = tokens.next_token();
                let owner = table::Owner {
                    target,
                    token,
                    moving: false,
                };
                owners.insert(release.shard, owner);
            }
            None => {
                owners.remove(&release.shard);
            }
        }
        true
    }

    /// Issues new tokens for everything that a restarted target owns, as it has no memory of its
    /// grants.
    pub(super) fn reissue_grants(&mut self, target: &id::Target, tokens: &mut TokenSource) {
        for (service, shards) in self.shards_of(target) {
            let Some(owners) = self.table_mut().owners.get_mut(&service) else {
                continue;
            };
            for shard in shards {
                let token = tokens.next_token();
                let Some(owner) = owners.get(&shard).filter(|owner| !owner.moving) else {
                    continue;
                };
                let owner = table::Owner {
                    token,
                    ..owner.clone()
                };
                owners.insert(shard, owner);
            }
        }
        for pins in self.table_mut().pins.values_mut() {
            let owned = pins.values_mut().filter(|owner| owner.target == *target);
            for owner in owned.filter(|owner| !owner.moving) {
                owner.token = tokens.next_token();
            }
        }
    }

    /// Starts to move everything that a target owns, without a fixed destination.
    pub(super) fn evacuate(&mut self, target: &id::Target) {
        for (service, shards) in self.shards_of(target) {
            for shard in shards {
                self.start_move(&service, shard);
            }
        }
        self.evacuate_pins(target);
    }

    /// Returns whether a target owns a shard or pin.
    pub(super) fn owns_any(&self, target: &id::Target) -> bool {
        let pins = self.table.pins.values().flat_map(|pins| pins.values());
        let shards = self
            .table
            .owners
            .values()
            .flat_map(|owners| owners.values());
        pins.chain(shards).any(|owner| owner.target == *target)
    }

    /// Removes the owners of shards whose home is now another domain.
    pub(super) fn remove_foreign(&mut self) {
        let services: Vec<id::Service> = self.table.owners.keys().cloned().collect();
        for service in services {
            let foreign = self.foreign(&service);
            let gone = !self.global.services.contains_key(&service);
            let Some(owners) = self.table_mut().owners.get_mut(&service) else {
                continue;
            };
            for shard in &foreign {
                owners.remove(shard);
            }
            if gone {
                self.table_mut().owners.shift_remove(&service);
            }
            if let Some(shifts) = self.shifts.get_mut(&service) {
                shifts.retain(|shard, _| !foreign.contains(shard));
            }
        }
        self.remove_foreign_pins();
        let global = std::sync::Arc::clone(&self.global);
        self.vacated.retain(|service, shards| {
            let leaving = global.leaving.get(service);
            shards.retain(|shard| leaving.is_some_and(|leaving| leaving.contains_key(shard)));
            !shards.is_empty()
        });
    }

    fn foreign(&self, service: &id::Service) -> IndexSet<id::Shard> {
        let Some(owners) = self.table.owners.get(service) else {
            return IndexSet::new();
        };
        let homes = self.global.homes.get(service);
        let here = Some(&self.table.domain);
        let elsewhere =
            |shard: &&id::Shard| homes.and_then(|homes| homes.get(shard.0 as usize)) != here;
        owners.keys().filter(elsewhere).copied().collect()
    }

    /// Starts to move the shards and pins that leave this domain.
    pub(super) fn mark_leaving(&mut self) {
        let global = std::sync::Arc::clone(&self.global);
        for (service, leaving) in &global.leaving {
            let homes = global.homes.get(service);
            for shard in leaving.keys() {
                let home = homes.and_then(|homes| homes.get(shard.0 as usize));
                if home != Some(&self.table.domain) {
                    continue;
                }
                if self.owner(service, *shard).is_some() {
                    self.start_move(service, *shard);
                }
                self.evacuate_pins_in(service, *shard);
            }
            self.record_vacated(service);
        }
    }

    /// Records the leaving shards that no longer have an owner or pins here.
    fn record_vacated(&mut self, service: &id::Service) {
        let Some(leaving) = self.global.leaving.get(service) else {
            return;
        };
        let homes = self.global.homes.get(service);
        let home = |shard: id::Shard| homes.and_then(|homes| homes.get(shard.0 as usize));
        let free: IndexSet<id::Shard> = leaving
            .keys()
            .copied()
            .filter(|shard| home(*shard) == Some(&self.table.domain))
            .filter(|shard| self.owner(service, *shard).is_none())
            .filter(|shard| !self.has_pins_in(service, *shard))
            .collect();
        if !free.is_empty() {
            self.vacated.insert(service.clone(), free);
        }
    }

    pub(super) fn owner(&self, service: &id::Service, shard: id::Shard) -> Option<&table::Owner> {
        self.table.owners.get(service)?.get(&shard)
    }

    fn start_move(&mut self, service: &id::Service, shard: id::Shard) {
        if let Some(shifts) = self.shifts.get_mut(service) {
            shifts.swap_remove(&shard);
        }
        let Some(owner) = self.owner(service, shard).cloned() else {
            return;
        };
        if owner.moving {
            return;
        }
        let owner = table::Owner {
            moving: true,
            ..owner
        };
        if let Some(owners) = self.table_mut().owners.get_mut(service) {
            owners.insert(shard, owner);
        }
    }

    fn shards_of(&self, target: &id::Target) -> Vec<(id::Service, Vec<id::Shard>)> {
        let services = self.table.owners.iter().map(|(service, owners)| {
            let owned = owners.iter().filter(|(_, owner)| owner.target == *target);
            let shards = owned.map(|(shard, _)| *shard).collect();
            (service.clone(), shards)
        });
        services.collect()
    }
}
