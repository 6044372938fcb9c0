//! Targets that have announced themselves.

use std::fmt;
use std::net;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;
use yucca_wire::id;

use crate::site::item;

/// Prefix of addresses that reach no host (RFC 6666).
const DISCARD_PREFIX: u128 = 0x0100 << 112;

/// One start of a target: a restart under the same name is another instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Name that the target announces.
    pub name: item::Name,
    /// Start time as reported by the target; a later instance has a greater number.
    pub started: u64,
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.started)
    }
}

/// Number of an instance, assigned once and never reused.
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

/// Phase of a target. It only advances, in the order given here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts work.
    Ready,
    /// Accepts no new work.
    Draining,
    /// Has deregistered. It may still process requests and hold keys for a while.
    Left,
    /// Is known to have ended: a later instance, or a later target at its address, has replaced it.
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

/// Properties that a target announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The instance.
    pub instance: Instance,
    /// The service that it serves.
    pub service: item::Name,
    /// Address at which it accepts requests.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: item::Name,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Its phase.
    pub phase: Phase,
}

impl Target {
    /// Returns the record of an instance that has deregistered before its first announcement. That
    /// announcement, if it arrives late, finds an instance that has left. Such a record has no
    /// service, and an address that no target can have and no other record has.
    pub fn departed(instance: Instance) -> Self {
        let unique = xxh3::xxh3_64(instance.name.0.as_bytes());
        let address = DISCARD_PREFIX | u128::from(unique);
        Self {
            instance,
            service: item::Name::default(),
            address: net::SocketAddr::new(net::Ipv6Addr::from_bits(address).into(), 0),
            domain: item::Name::default(),
            slots: 0,
            phase: Phase::Left,
        }
    }

    /// Returns whether another instance is this target, which has started again at its address. That
    /// shows that this instance has ended.
    pub fn is_restarted_as(&self, other: &Self) -> bool {
        self.instance.name == other.instance.name
            && self.instance.started < other.instance.started
            && self.address == other.address
    }
}

/// Stored state of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its announced properties.
    pub target: Target,
    /// Its number.
    pub number: Number,
    /// Version of the state at which it last changed.
    pub changed: id::Version,
}

/// All targets, in the order of their first announcement.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    records: IndexMap<Number, Record>,
    numbers: IndexMap<item::Name, Number>,
    next: u32,
}

impl Registry {
    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the target with a number.
    pub fn get(&self, number: Number) -> Option<&Record> {
        self.records.get(&number)
    }

    /// Returns the latest instance of the target with a name.
    pub fn latest(&self, name: &item::Name) -> Option<&Record> {
        self.records.get(self.numbers.get(name)?)
    }

    /// Returns an instance, if it is the latest of its target.
    pub fn instance(&self, instance: &Instance) -> Option<&Record> {
        self.latest(&instance.name)
            .filter(|record| record.target.instance == *instance)
    }

    /// Returns the number of instances that have deregistered and were never announced.
    pub fn departed_count(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| {
                let target = &record.target;
                target.phase == Phase::Left && target.service == item::Name::default()
            })
            .count()
    }

    /// Returns the targets that the announcement of a new instance marks as gone: earlier instances
    /// with its name or its address.
    pub fn predecessors<'a>(&'a self, target: &'a Target) -> impl Iterator<Item = &'a Record> {
        self.records.values().filter(|record| {
            let same = record.target.instance.name == target.instance.name
                || record.target.address == target.address;
            same && record.target.phase < Phase::Gone
                && record.target.instance.started < target.instance.started
        })
    }

    /// Returns whether an announcement would change the state.
    pub fn would_change(&self, target: &Target) -> bool {
        match self.latest(&target.instance.name) {
            None => !self.is_superseded(target),
            Some(record) if record.target.instance.started > target.instance.started => false,
            Some(record) if record.target.instance.started < target.instance.started => {
                !self.is_superseded(target)
            }
            Some(record) => {
                let mut next = target.clone();
                next.phase = next.phase.max(record.target.phase);
                next != record.target
            }
        }
    }

    /// Applies an announcement. It has no effect if a later instance of the target is known, or a
    /// later target at the same address.
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
        self.end_predecessors(version, &target);
        let number = Number(self.next);
        self.next += 1;
        self.numbers.insert(target.instance.name.clone(), number);
        self.put(version, number, target);
    }

    /// Applies the deregistration of a target.
    pub fn leave(&mut self, version: id::Version, instance: &Instance) {
        if let Some(record) = self.instance(instance) {
            let number = record.number;
            self.advance(version, number, Phase::Left);
        }
    }

    /// Stores a target received from another host.
    pub fn merge(&mut self, record: Record) {
        self.next = self.next.max(record.number.0 + 1);
        self.numbers
            .insert(record.target.instance.name.clone(), record.number);
        self.records.insert(record.number, record);
    }

    fn put(&mut self, version: id::Version, number: Number, target: Target) {
        let record = Record {
            target,
            number,
            changed: version,
        };
        self.records.insert(number, record);
    }

    /// Returns whether a target with a later start time is known at the same address.
    fn is_superseded(&self, target: &Target) -> bool {
        self.records.values().any(|record| {
            record.target.address == target.address
                && record.target.instance.started > target.instance.started
        })
    }

    /// Marks earlier instances, and earlier targets at the same address, as gone.
    fn end_predecessors(&mut self, version: id::Version, target: &Target) {
        let ended: Vec<Number> = self
            .predecessors(target)
            .map(|record| record.number)
            .collect();
        for number in ended {
            self.advance(version, number, Phase::Gone);
        }
    }

    fn advance(&mut self, version: id::Version, number: Number, phase: Phase) {
        if let Some(record) = self.records.get_mut(&number)
            && record.target.phase < phase
        {
            record.target.phase = phase;
            record.changed = version;
        }
    }
}
