//! State of a deployment with a single log group, which is replicated on the hosts with disks.
//!
//! It consists of the configuration items with their revisions, the targets, and the owner of each
//! range of keys. [`State::apply`] is deterministic. State that only the leader has, such as the
//! leases, is in [`lease`].

pub mod admission;
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

/// Change of the state, as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Sets and removes items, all or none.
    Change(item::Patch),
    /// Registers a target or changes its announced properties.
    Announce(target::Target),
    /// Deregisters a target.
    Leave(target::Instance),
    /// Assigns stripes to an owner.
    Assign(range::Assignment),
    /// Splits busy stripes of a service into single keys.
    Split(item::Name, Vec<u32>),
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is in effect, or a newer one is.
    Done,
    /// The whole change was refused, for these reasons.
    Refused(Vec<item::Fault>),
    /// Stripes were assigned; those that had changed in the meantime were skipped.
    Assigned {
        /// The fencing token shared by all of them.
        token: range::Token,
        /// The stripes that were assigned.
        stripes: Vec<u32>,
    },
}

/// Replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Version of the last applied command.
    pub version: id::Version,
    /// The configuration.
    pub items: item::Store,
    /// The targets.
    pub targets: target::Registry,
    /// The owners of keys, by service.
    pub ranges: IndexMap<item::Name, range::Map>,
}

impl State {
    /// Applies a command at a version and returns its result.
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
    /// Fails if a part can't be encoded, which does not happen for the types used here.
    pub fn save(&self) -> Result<Bytes, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self).map(Bytes::from)
    }

    /// Decodes a state.
    ///
    /// # Errors
    /// Fails if the bytes are not an encoded state.
    pub fn restore(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
