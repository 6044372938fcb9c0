//! What changed since a version, for hosts that follow the state without taking part in the log.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::site::{State, item, range, target};

/// The owners of one service's keys that changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranges {
    /// The service.
    pub service: item::Name,
    /// Into how many stripes its keys are cut.
    pub count: u32,
    /// Owners with a token and the stripes that they have under it; short, as neighbours of one owner
    /// mostly came together.
    pub owners: Vec<(target::Number, range::Token, Vec<u32>)>,
}

/// All that changed between two versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the receiver must have at least.
    pub from: id::Version,
    /// The version that it has afterwards.
    pub to: id::Version,
    /// Items, without the operator's text.
    pub items: Vec<(item::Key, item::Revision, Option<item::Body>)>,
    /// Targets.
    pub targets: Vec<(target::Number, target::Target)>,
    /// Owners of keys.
    pub ranges: Vec<Ranges>,
}

impl State {
    /// Returns what changed since a version.
    pub fn delta(&self, from: id::Version) -> Delta {
        let items = self
            .items
            .iter()
            .filter(|(_, record)| record.changed > from);
        let targets = self.targets.iter().filter(|record| record.changed > from);
        Delta {
            from,
            to: self.version,
            items: items
                .map(|(key, record)| (key.clone(), record.revision, record.body.clone()))
                .collect(),
            targets: targets
                .map(|record| (record.number, record.target.clone()))
                .collect(),
            ranges: self
                .ranges
                .iter()
                .filter_map(|(service, map)| ranges_since(service, map, from))
                .collect(),
        }
    }

    /// Takes in what changed, where it fits; tells whether it did.
    pub fn apply_delta(&mut self, delta: Delta) -> bool {
        if delta.from > self.version || delta.to <= self.version {
            return false;
        }
        let changed = delta.to;
        for (key, revision, body) in delta.items {
            let record = item::Record {
                revision,
                body,
                source: bytes::Bytes::new(),
                changed,
            };
            self.items.merge(key, record);
        }
        for (number, target) in delta.targets {
            self.targets.merge(target::Record {
                target,
                number,
                changed,
            });
        }
        for ranges in delta.ranges {
            let map = self.ranges.entry(ranges.service);
            let map = map.or_insert_with(|| range::Map::new(ranges.count));
            map.apply_changes(changed, &ranges.owners);
        }
        self.version = delta.to;
        true
    }
}

fn ranges_since(service: &item::Name, map: &range::Map, from: id::Version) -> Option<Ranges> {
    let mut owners: IndexMap<(target::Number, range::Token), Vec<u32>> = IndexMap::new();
    for (number, stripe) in map.changed_since(from) {
        if let Some(owner) = stripe.owner {
            owners
                .entry((owner, stripe.token))
                .or_default()
                .push(number);
        }
    }
    let owners = owners.into_iter();
    (owners.len() > 0).then(|| Ranges {
        service: service.clone(),
        count: map.count(),
        owners: owners
            .map(|((owner, token), stripes)| (owner, token, stripes))
            .collect(),
    })
}
