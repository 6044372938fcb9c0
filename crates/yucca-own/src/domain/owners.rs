//! Owners of shards: grants, moves and releases.
//!
//! A shard changes its owner only through a release by the current lane of the old one. That lane
//! is the only sender to its target, so after the release nothing of the shard reaches it.

use indexmap::IndexSet;
use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::table;

use super::apply::Mint;
use super::{Grant, Reply, Shift, State};

impl State {
    pub(super) fn own(
        &mut self,
        service: &id::Service,
        grants: &[Grant],
        mint: &mut Mint,
    ) -> Reply {
        let mut reply = Reply::Stale;
        for grant in grants {
            let free = self.owner(service, grant.shard).is_none();
            if !free || !self.holds(service, grant.shard) || !self.serves(service, &grant.target) {
                continue;
            }
            let owner = table::Owner {
                target: grant.target.clone(),
                token: mint.token(),
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
            if !current || owner.target == shift.to || !self.serves(service, &shift.to) {
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
        mint: &mut Mint,
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
                Some(key) => self.end_pin(&service, target, key, release.token, mint),
                None => self.end_grant(&service, target, release, mint),
            };
            if ended {
                reply = Reply::Done;
            }
        }
        if reply == Reply::Done {
            self.note_given_up(&service);
        }
        reply
    }

    fn end_grant(
        &mut self,
        service: &id::Service,
        target: &id::Target,
        release: &report::Release,
        mint: &mut Mint,
    ) -> bool {
        let Some(owner) = self.owner(service, release.shard) else {
            return false;
        };
        if owner.target != *target || owner.token != release.token || !owner.moving {
            return false;
        }
        let shifts = self.shifts.get_mut(service);
        let to = shifts.and_then(|shifts| shifts.swap_remove(&release.shard));
        let to = to.filter(|to| self.serves(service, to) && self.holds(service, release.shard));
        let Some(owners) = self.table_mut().owners.get_mut(service) else {
            return false;
        };
        match to {
            Some(target) => {
                let token = mint.token();
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

    /// Grants everything anew that a target owns, as its memory is empty.
    pub(super) fn renew_grants(&mut self, target: &id::Target, mint: &mut Mint) {
        for (service, shards) in self.shards_of(target) {
            let Some(owners) = self.table_mut().owners.get_mut(&service) else {
                continue;
            };
            for shard in shards {
                let token = mint.token();
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
                owner.token = mint.token();
            }
        }
    }

    /// Lets everything move that a target owns, wherever there is room.
    pub(super) fn evacuate(&mut self, target: &id::Target) {
        for (service, shards) in self.shards_of(target) {
            for shard in shards {
                self.start_move(&service, shard);
            }
        }
        self.evacuate_pins(target);
    }

    /// Tells whether a target owns a shard or pin.
    pub(super) fn owns_any(&self, target: &id::Target) -> bool {
        let pins = self.table.pins.values().flat_map(|pins| pins.values());
        let shards = self
            .table
            .owners
            .values()
            .flat_map(|owners| owners.values());
        pins.chain(shards).any(|owner| owner.target == *target)
    }

    /// Drops the owners of shards that have their home elsewhere: they were given away.
    pub(super) fn drop_foreign(&mut self) {
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
        self.drop_foreign_pins();
        let global = std::sync::Arc::clone(&self.global);
        self.given_up.retain(|service, shards| {
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

    /// Starts the move of everything that is to leave this domain.
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
            self.note_given_up(service);
        }
    }

    /// Notes the shards that are to leave and that nobody here owns any more.
    fn note_given_up(&mut self, service: &id::Service) {
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
            self.given_up.insert(service.clone(), free);
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
