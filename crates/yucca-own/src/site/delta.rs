//! Changes since a version, for hosts that follow the state without being members of the log.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::site::{State, item, range, target};

/// Changed key owners of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranges {
    /// The service.
    pub service: item::Name,
    /// Number of stripes of equal width into which the keys are divided.
    pub count: u32,
    /// Owners, each with a token and the stripes that it owns under that token. The list is short,
    /// because an owner usually got its neighbouring stripes in one assignment.
    pub owners: Vec<(target::Number, range::Token, Vec<u32>)>,
}

/// All changes between two versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Lowest version of the receiver to which the delta can be applied.
    pub from: id::Version,
    /// Version of the receiver afterwards.
    pub to: id::Version,
    /// Changed items, without the operator's text.
    pub items: Vec<(item::Key, item::Revision, Option<item::Body>)>,
    /// Changed targets.
    pub targets: Vec<(target::Number, target::Target)>,
    /// Changed owners of keys.
    pub ranges: Vec<Ranges>,
}

impl State {
    /// Returns the changes since a version.
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

    /// Applies a delta and returns true, if it starts at or before the own version and ends after
    /// it. Otherwise changes nothing and returns false.
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
