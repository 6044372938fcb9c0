//! The whole state of a deployment that has one log group, on the hosts with disks.
//!
//! It holds the configuration as items with a revision each, the targets, and the owner of each
//! range of keys. [`State::apply`] is deterministic; what the leader alone knows, such as leases,
//! is in [`lease`].

pub mod balance;
pub mod delta;
pub mod item;
pub mod lease;
pub mod range;
pub mod target;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

/// A change of the state, as the log carries it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Sets and drops items, all or none.
    Change(item::Patch),
    /// A target announces itself, or its state has changed.
    Announce(target::Target),
    /// A target has left.
    Leave(target::Instance),
    /// Ranges get an owner.
    Assign(range::Assignment),
    /// Busy stripes of a service are split into their keys.
    Split(item::Name, Vec<u32>),
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is in force, or something newer is.
    Done,
    /// It was refused whole, for these reasons.
    Refused(Vec<item::Fault>),
    /// Ranges were assigned, with this token; those that had changed meanwhile were left out.
    Assigned {
        /// The fencing token of all of them.
        token: range::Token,
        /// The stripes that were assigned.
        stripes: Vec<u32>,
    },
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The version of the last command applied.
    pub version: id::Version,
    /// The configuration.
    pub items: item::Store,
    /// The targets.
    pub targets: target::Registry,
    /// The owners of keys, by service.
    pub ranges: IndexMap<item::Name, range::Map>,
}

impl State {
    /// Applies a command at a version and returns what came of it.
    pub fn apply(&mut self, version: id::Version, command: Command) -> Outcome {
        self.version = version;
        match command {
            Command::Change(patch) => match self.items.change(version, patch) {
                Ok(()) => Outcome::Done,
                Err(faults) => Outcome::Refused(faults),
            },
            Command::Announce(target) => {
                self.targets.announce(version, target);
                Outcome::Done
            }
            Command::Leave(instance) => {
                self.targets.leave(version, &instance);
                Outcome::Done
            }
            Command::Assign(assignment) => self.assign(version, assignment),
            Command::Split(service, stripes) => {
                if let Some(map) = self.ranges.get_mut(&service) {
                    map.split(version, &stripes);
                }
                Outcome::Done
            }
        }
    }

    fn assign(&mut self, version: id::Version, assignment: range::Assignment) -> Outcome {
        let map = self
            .ranges
            .entry(assignment.service.clone())
            .or_insert_with(|| range::Map::new(assignment.count));
        let (token, stripes) = map.assign(version, &assignment);
        Outcome::Assigned { token, stripes }
    }

    /// Encodes the state.
    ///
    /// # Errors
    /// Fails where a part can't be encoded, which none of the types here brings about.
    pub fn save(&self) -> Result<Bytes, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self).map(Bytes::from)
    }

    /// Decodes a state.
    ///
    /// # Errors
    /// Fails where the bytes are no state.
    pub fn restore(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
