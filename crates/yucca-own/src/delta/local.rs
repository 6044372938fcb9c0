//! Deltas of the part of the routing table that one domain decides.

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::shards;
use yucca_wire::table;

use super::{Error, Part, entries, path};

impl Part for table::Local {
    fn version(&self) -> id::Version {
        self.version
    }

    fn changed(&self, old: &Self, removed: &mut Vec<String>) -> Self {
        let mut part = Self::new(self.domain.clone());
        part.version = self.version;
        part.global = self.global;
        part.targets = entries(&self.targets, &old.targets, |target| {
            removed.push(format!("targets/{target}"));
        });
        part.owners = owners(&self.owners, &old.owners, removed);
        part.pins = pins(&self.pins, &old.pins, removed);
        part
    }

    fn merge(&mut self, changed: Self) {
        self.version = changed.version;
        self.global = changed.global;
        self.targets.extend(changed.targets);
        for (service, owners) in changed.owners {
            let held = self.owners.entry(service).or_default();
            for (shard, owner) in owners.iter() {
                held.insert(*shard, owner.clone());
            }
        }
        for (service, pins) in changed.pins {
            self.pins.entry(service).or_default().extend(pins);
        }
    }

    fn remove(&mut self, path: &str) -> Result<(), Error> {
        let malformed = || path::malformed(path);
        let (section, name, rest) = path::split(path).ok_or_else(malformed)?;
        match section {
            "targets" => {
                let target: id::Target = name.parse().map_err(|_| malformed())?;
                self.targets.shift_remove(&target);
            }
            "owners" => {
                let service: id::Service = name.parse().map_err(|_| malformed())?;
                let Some(shard) = rest else {
                    self.owners.shift_remove(&service);
                    return Ok(());
                };
                let shard: id::Shard = shard.parse().map_err(|_| malformed())?;
                if let Some(owners) = self.owners.get_mut(&service) {
                    owners.remove(&shard);
                }
            }
            "pins" => {
                let service: id::Service = name.parse().map_err(|_| malformed())?;
                let Some(digits) = rest else {
                    self.pins.shift_remove(&service);
                    return Ok(());
                };
                let key = path::key(digits).ok_or_else(malformed)?;
                if let Some(pins) = self.pins.get_mut(&service) {
                    pins.shift_remove(&key);
                }
            }
            _ => return Err(malformed()),
        }
        Ok(())
    }
}

fn owners(
    new: &IndexMap<id::Service, shards::Owners>,
    old: &IndexMap<id::Service, shards::Owners>,
    removed: &mut Vec<String>,
) -> IndexMap<id::Service, shards::Owners> {
    for service in old.keys().filter(|service| !new.contains_key(*service)) {
        removed.push(format!("owners/{service}"));
    }
    let none = shards::Owners::new();
    let mut parts = IndexMap::new();
    for (service, owners) in new {
        let before = old.get(service);
        let mut part = shards::Owners::new();
        owners.changes(before.unwrap_or(&none), |shard, owner| match owner {
            Some(owner) => {
                part.insert(shard, owner.clone());
            }
            None => removed.push(format!("owners/{service}/{shard}")),
        });
        if before.is_none() || !part.is_empty() {
            parts.insert(service.clone(), part);
        }
    }
    parts
}

type Pins<V> = IndexMap<id::Service, IndexMap<bytes::Bytes, V>>;

/// Returns the pins that differ, and adds the paths of removed ones to `removed`. Also used for the
/// pins of operators in the global part.
pub(super) fn pins<V: Clone + PartialEq>(
    new: &Pins<V>,
    old: &Pins<V>,
    removed: &mut Vec<String>,
) -> Pins<V> {
    for service in old.keys().filter(|service| !new.contains_key(*service)) {
        removed.push(format!("pins/{service}"));
    }
    let none = IndexMap::new();
    let mut parts = IndexMap::new();
    for (service, pins) in new {
        let before = old.get(service);
        let part = entries(pins, before.unwrap_or(&none), |key| {
            removed.push(path::pin("pins", service, key));
        });
        if before.is_none() || !part.is_empty() {
            parts.insert(service.clone(), part);
        }
    }
    parts
}
