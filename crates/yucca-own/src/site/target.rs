//! The targets that have announced themselves.

use std::fmt;
use std::net;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::site::item;

/// One instance of a target: a restart under the same name is another instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The name that the target gives itself.
    pub name: item::Name,
    /// When the instance began, as the target tells; a later instance has a greater number.
    pub started: u64,
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.started)
    }
}

/// The number of a instance, given once and never again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Number(pub u32);

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}", self.0)
    }
}

/// What a target is up to. It only goes forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Takes no new work.
    Draining,
    /// Has said that it leaves. It may still work and hold keys for a while.
    Left,
    /// Has surely ended: another instance or another target has its place.
    Gone,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Left => "left",
            Self::Gone => "gone",
        })
    }
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Which instance of which target.
    pub instance: Instance,
    /// The service that it serves.
    pub service: item::Name,
    /// Where it takes work.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: item::Name,
    /// How many requests it works on at once.
    pub slots: u32,
    /// What it is up to.
    pub phase: Phase,
}

/// A target that is record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it says of itself.
    pub target: Target,
    /// Its number.
    pub number: Number,
    /// The version of the state at which it changed.
    pub changed: id::Version,
}

/// All targets, in the order in which they came.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    record: IndexMap<Number, Record>,
    numbers: IndexMap<item::Name, Number>,
    next: u32,
}

impl Registry {
    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.record.values()
    }

    /// Returns a target by its number.
    pub fn get(&self, number: Number) -> Option<&Record> {
        self.record.get(&number)
    }

    /// Returns the latest instance of a target by its name.
    pub fn latest(&self, name: &item::Name) -> Option<&Record> {
        self.record.get(self.numbers.get(name)?)
    }

    /// Returns the target of exactly this instance.
    pub fn instance(&self, instance: &Instance) -> Option<&Record> {
        self.latest(&instance.name)
            .filter(|record| record.target.instance == *instance)
    }

    /// Tells whether the state would change by an announcement.
    pub fn would_change(&self, target: &Target) -> bool {
        match self.latest(&target.instance.name) {
            None => !self.is_succeeded(target),
            Some(record) if record.target.instance.started > target.instance.started => false,
            Some(record) if record.target.instance.started < target.instance.started => {
                !self.is_succeeded(target)
            }
            Some(record) => {
                let mut next = target.clone();
                next.phase = next.phase.max(record.target.phase);
                next != record.target
            }
        }
    }

    /// Takes an announcement. One of an earlier instance, or of a target whose address another one has
    /// got since, changes nothing.
    pub fn announce(&mut self, version: id::Version, mut target: Target) {
        if !self.would_change(&target) {
            return;
        }
        if let Some(record) = self.instance(&target.instance) {
            target.phase = target.phase.max(record.target.phase);
            let number = record.number;
            self.put(version, number, target);
            return;
        }
        self.bury_predecessors(version, &target);
        let number = Number(self.next);
        self.next += 1;
        self.numbers.insert(target.instance.name.clone(), number);
        self.put(version, number, target);
    }

    /// Takes a target's word that it leaves.
    pub fn leave(&mut self, version: id::Version, instance: &Instance) {
        if let Some(record) = self.instance(instance) {
            let number = record.number;
            self.advance(version, number, Phase::Left);
        }
    }

    /// Takes a target as it is record elsewhere.
    pub fn merge(&mut self, record: Record) {
        self.next = self.next.max(record.number.0 + 1);
        self.numbers
            .insert(record.target.instance.name.clone(), record.number);
        self.record.insert(record.number, record);
    }

    fn put(&mut self, version: id::Version, number: Number, target: Target) {
        let record = Record {
            target,
            number,
            changed: version,
        };
        self.record.insert(number, record);
    }

    /// Tells whether a younger target is known at the address.
    fn is_succeeded(&self, target: &Target) -> bool {
        self.record.values().any(|record| {
            record.target.address == target.address
                && record.target.instance.started > target.instance.started
        })
    }

    /// An earlier instance, and an earlier target at the same address, have surely ended.
    fn bury_predecessors(&mut self, version: id::Version, target: &Target) {
        let ended: Vec<Number> = self
            .record
            .values()
            .filter(|record| {
                let same = record.target.instance.name == target.instance.name
                    || record.target.address == target.address;
                same && record.target.instance.started < target.instance.started
            })
            .map(|record| record.number)
            .collect();
        for number in ended {
            self.advance(version, number, Phase::Gone);
        }
    }

    fn advance(&mut self, version: id::Version, number: Number, phase: Phase) {
        if let Some(record) = self.record.get_mut(&number)
            && record.target.phase < phase
        {
            record.target.phase = phase;
            record.changed = version;
        }
    }
}
