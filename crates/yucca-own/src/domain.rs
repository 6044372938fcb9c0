//! The state on one domain's log: its targets, lanes, and the owner of each shard and pin.

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

/// What one domain decided.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// What every host is told.
    table: sync::Arc<table::Local>,
    /// The newest global part that was taken in.
    global: sync::Arc<table::Global>,
    /// The domain's hosts that were heard.
    hosts: IndexMap<id::Host, Host>,
    /// What is known of each target besides the table.
    targets: IndexMap<id::Target, Target>,
    /// Where moving shards go; one without an entry goes wherever there is room.
    shifts: IndexMap<id::Service, IndexMap<id::Shard, id::Target>>,
    /// What is known of each pin besides the table.
    pins: IndexMap<id::Service, IndexMap<Bytes, PinState>>,
    /// Shards that leave the domain and that nobody here owns any more.
    given_up: IndexMap<id::Service, IndexSet<id::Shard>>,
}

/// An entry host of the domain.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Host {
    /// The start of its process that was heard last.
    incarnation: u64,
    /// Whether it may hold lanes.
    up: bool,
    /// Whether it asked for its lanes to be handed over.
    stopping: bool,
}

/// What is known of a target besides the table.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Target {
    /// It asked for no new work.
    draining: bool,
    /// It asked to be forgotten once its work is done.
    leaving: bool,
    /// It is silent.
    lost: bool,
    /// The host that was told to end the lane and has not said that it did.
    ending: Option<Ending>,
    /// The standby that has a whole copy of the lane's ledger.
    copied: Option<id::Host>,
}

/// A lane that was told to end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Ending {
    /// Its host.
    host: id::Host,
    /// The version of the table that told it.
    version: id::Version,
}

/// What is known of a pin besides the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct PinState {
    /// An operator set it.
    operator: bool,
    /// Where it goes while it moves; none where it ends.
    to: Option<id::Target>,
}

impl State {
    /// Returns the state of a domain about which nothing was decided.
    pub fn new(domain: id::Domain) -> Self {
        Self {
            table: sync::Arc::new(table::Local::new(domain)),
            global: sync::Arc::default(),
            hosts: IndexMap::new(),
            targets: IndexMap::new(),
            shifts: IndexMap::new(),
            pins: IndexMap::new(),
            given_up: IndexMap::new(),
        }
    }

    /// Returns what every host is told.
    pub fn table(&self) -> sync::Arc<table::Local> {
        sync::Arc::clone(&self.table)
    }

    /// Returns the newest global part that was taken in.
    pub fn global(&self) -> sync::Arc<table::Global> {
        sync::Arc::clone(&self.global)
    }

    /// Returns the command that takes in a newer global part: only what changed, so that the
    /// domain's log does not hold the whole part once a ticket.
    pub fn global_update(&self, newest: &table::Global) -> Option<Command> {
        if newest.version <= self.global.version {
            return None;
        }
        let first = self.global.version == id::Version::default();
        let held = (!first).then_some(&*self.global);
        let change = delta::diff(held, newest);
        Some(Command::GlobalChange(Box::new(change)))
    }

    /// Returns the domain.
    pub fn domain(&self) -> &id::Domain {
        &self.table.domain
    }

    /// Returns the generation of the domain that its newest global part states.
    pub fn generation(&self) -> u32 {
        let known = self.global.domains.get(&self.table.domain);
        known.map_or(0, |domain| domain.generation)
    }

    /// Tells whether a host may hold lanes: only then may a report of it be answered by a lease.
    pub fn is_up(&self, host: &id::Host, incarnation: u64) -> bool {
        let known = self.hosts.get(host);
        known.is_some_and(|known| known.up && known.incarnation == incarnation)
    }

    /// Returns what the domain's leader should tell the global log, where that is news there.
    pub fn global_commands(&self) -> Vec<global::Command> {
        let domain = self.table.domain.clone();
        let mut commands = vec![global::Command::Capacity {
            domain: domain.clone(),
            slots: self.capacity(),
        }];
        for (service, shards) in &self.given_up {
            commands.push(global::Command::Released {
                domain: domain.clone(),
                generation: self.generation(),
                service: service.clone(),
                shards: shards.iter().copied().collect(),
            });
        }
        commands
    }

    /// Returns the command by which the domain's leader renews its home lease; when it is done,
    /// tell `Evidence::record_renewal` when it was sent.
    pub fn renewal(&self, evidence: &Evidence) -> global::Command {
        let up = self.hosts.iter().filter(|(_, host)| host.up);
        let versions = up.map(|(name, _)| evidence.version_at(name));
        global::Command::Renew {
            domain: self.table.domain.clone(),
            generation: self.generation(),
            version: versions.min().unwrap_or_default().min(self.global.version),
        }
    }

    /// Returns how long each service that moves when cut may still be served here. Services that
    /// are not named may be served without end.
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

    /// Returns the slots of the serving targets, by service.
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

    /// Tells whether the shard has its home here and is not to leave.
    fn holds(&self, service: &id::Service, shard: id::Shard) -> bool {
        let homes = self.global.homes.get(service);
        let home = homes.and_then(|homes| homes.get(shard.0 as usize));
        let leaving = self.global.leaving.get(service);
        home == Some(&self.table.domain)
            && !leaving.is_some_and(|leaving| leaving.contains_key(&shard))
    }

    /// Tells whether a target of the service takes new shards.
    fn serves(&self, service: &id::Service, target: &id::Target) -> bool {
        let known = self.table.targets.get(target);
        known.is_some_and(|known| known.service == *service && known.state == table::State::Serving)
    }

    /// Returns the shard of a key of the service.
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
