//! Replicated state of one domain's log: its targets, their lanes, and the owners of shards and
//! pins.

mod apply;
mod command;
mod evidence;
mod index;
mod lanes;
mod owners;
mod pins;
mod plan;
mod rates;

use std::sync;
use std::time;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use yucca_wire::id;
use yucca_wire::key;
use yucca_wire::table;

use crate::delta;
use crate::global;
use crate::lease;

pub use command::{Announce, Command, Grant, Pin, Reply, Shift};
pub use evidence::Evidence;

/// Replicated state of a domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Part of the routing table that this domain decides; every host receives it.
    table: sync::Arc<table::Local>,
    /// Newest global part of the routing table that was applied.
    global: sync::Arc<table::Global>,
    /// Hosts of the domain that were up at some time.
    hosts: IndexMap<id::Host, Host>,
    /// Further state of each target, which is not part of the table.
    targets: IndexMap<id::Target, Target>,
    /// Destinations of moving shards. After its release, a shard without an entry is granted to the
    /// least loaded target.
    shifts: IndexMap<id::Service, IndexMap<id::Shard, id::Target>>,
    /// Further state of each pin, which is not part of the table.
    pins: IndexMap<id::Service, IndexMap<Bytes, PinState>>,
    /// Shards that move to another domain and no longer have an owner or pins here.
    vacated: IndexMap<id::Service, IndexSet<id::Shard>>,
}

/// An entry host of the domain.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Host {
    /// Incarnation of its process that was last marked as up.
    incarnation: u64,
    /// Whether it may hold lanes.
    up: bool,
    /// Whether its lanes are to be handed over: it stops, or is no longer in the settings.
    stopping: bool,
}

/// Further state of a target, which is not part of the table.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Target {
    /// Whether it asked for no new work.
    draining: bool,
    /// Whether it asked to be removed once its work is done.
    leaving: bool,
    /// Whether it was declared lost.
    lost: bool,
    /// Lane that was ended in the table and whose host has not confirmed that yet.
    ending: Option<Ending>,
    /// Standby that has a complete copy of the lane's ledger.
    copied: Option<id::Host>,
}

/// Lane that is ending.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Ending {
    /// Host of the lane.
    host: id::Host,
    /// Version of the table from which on the lane is ended.
    version: id::Version,
}

/// Further state of a pin, which is not part of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct PinState {
    /// Whether an operator set it.
    operator: bool,
    /// Next owner while the pin moves to another target; `None` if it stays or ends.
    to: Option<id::Target>,
}

impl State {
    /// Returns the empty state of a domain.
    pub fn new(domain: id::Domain) -> Self {
        Self {
            table: sync::Arc::new(table::Local::new(domain)),
            global: sync::Arc::default(),
            hosts: IndexMap::new(),
            targets: IndexMap::new(),
            shifts: IndexMap::new(),
            pins: IndexMap::new(),
            vacated: IndexMap::new(),
        }
    }

    /// Returns the part of the routing table that this domain decides.
    pub fn table(&self) -> sync::Arc<table::Local> {
        sync::Arc::clone(&self.table)
    }

    /// Returns the newest global part of the routing table that was applied.
    pub fn global(&self) -> sync::Arc<table::Global> {
        sync::Arc::clone(&self.global)
    }

    /// Returns the command that applies a newer global part, or `None` if `newest` is not newer.
    ///
    /// The command holds a delta, so that the domain's log does not store the whole global part
    /// for every ticket. The first one holds a snapshot.
    pub fn global_update(&self, newest: &table::Global) -> Option<Command> {
        if newest.version <= self.global.version {
            return None;
        }
        let first = self.global.version == id::Version::default();
        let held = (!first).then_some(&*self.global);
        let change = delta::diff(held, newest);
        Some(Command::GlobalChange(Box::new(change)))
    }

    /// Returns the name of the domain.
    pub fn domain(&self) -> &id::Domain {
        &self.table.domain
    }

    /// Returns the generation of the domain according to the newest applied global part.
    pub fn generation(&self) -> u32 {
        let known = self.global.domains.get(&self.table.domain);
        known.map_or(0, |domain| domain.generation)
    }

    /// Returns whether this incarnation of a host may hold lanes. Only then may a report of it be
    /// answered with a lease.
    pub fn is_up(&self, host: &id::Host, incarnation: u64) -> bool {
        let known = self.hosts.get(host);
        known.is_some_and(|known| known.up && known.incarnation == incarnation)
    }

    /// Returns the commands that the domain's leader proposes to the global log, except those for
    /// which [`global::State::needs`] returns false there.
    pub fn global_commands(&self) -> Vec<global::Command> {
        let domain = self.table.domain.clone();
        let mut commands = vec![global::Command::Capacity {
            domain: domain.clone(),
            slots: self.capacity(),
        }];
        for (service, shards) in &self.vacated {
            commands.push(global::Command::Released {
                domain: domain.clone(),
                generation: self.generation(),
                service: service.clone(),
                shards: shards.iter().copied().collect(),
            });
        }
        commands
    }

    /// Returns the command with which the domain's leader renews the domain's home lease.
    ///
    /// Once the global log has applied it, call [`Evidence::record_renewal`] with the time at
    /// which it was sent.
    pub fn renewal(&self, evidence: &Evidence) -> global::Command {
        let up = self.hosts.iter().filter(|(_, host)| host.up);
        let versions = up.map(|(name, _)| evidence.version_at(name));
        global::Command::Renew {
            domain: self.table.domain.clone(),
            generation: self.generation(),
            version: versions.min().unwrap_or_default().min(self.global.version),
        }
    }

    /// Returns the remaining time of the home lease of each service whose shards move to other
    /// domains when this domain is cut off. Services without an entry have no time limit.
    pub fn home_leases(
        &self,
        evidence: &Evidence,
        now: time::Duration,
    ) -> IndexMap<id::Service, time::Duration> {
        let services = self.global.services.iter();
        let leased = services.filter_map(|(name, service)| match service.on_cut {
            table::Cut::Hold => None,
            table::Cut::MoveAfter(after) => {
                let until = evidence
                    .home_renewed()
                    .map(|at| at + lease::holder(after.0));
                let left = until.unwrap_or_default().saturating_sub(now);
                Some((name.clone(), left))
            }
        });
        leased.collect()
    }

    /// Returns the number of slots of the serving targets, by service.
    fn capacity(&self) -> IndexMap<id::Service, u32> {
        let mut slots = IndexMap::new();
        for name in self.global.services.keys() {
            slots.insert(name.clone(), 0);
        }
        for target in self.table.targets.values() {
            if target.state == table::State::Serving
                && let Some(sum) = slots.get_mut(&target.service)
            {
                *sum += u32::from(target.slots.0);
            }
        }
        slots.sort_unstable_keys();
        slots
    }

    /// Returns whether the shard has its home in this domain and is not leaving it.
    fn is_home(&self, service: &id::Service, shard: id::Shard) -> bool {
        let homes = self.global.homes.get(service);
        let home = homes.and_then(|homes| homes.get(shard.0 as usize));
        let leaving = self.global.leaving.get(service);
        home == Some(&self.table.domain)
            && !leaving.is_some_and(|leaving| leaving.contains_key(&shard))
    }

    /// Returns whether the target belongs to the service and accepts new shards.
    fn is_serving(&self, service: &id::Service, target: &id::Target) -> bool {
        let known = self.table.targets.get(target);
        known.is_some_and(|known| known.service == *service && known.state == table::State::Serving)
    }

    /// Returns the shard of a key, or `None` if the service is unknown or not divided by key.
    fn shard_of(&self, service: &id::Service, key: &[u8]) -> Option<id::Shard> {
        match self.global.services.get(service)?.kind {
            table::Kind::Keyed { shards, .. } => Some(key::shard(key, shards)),
            table::Kind::Pool => None,
        }
    }

    fn table_mut(&mut self) -> &mut table::Local {
        sync::Arc::make_mut(&mut self.table)
    }
}
