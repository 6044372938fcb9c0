//! What targets say of their keys, and what they are answered.

use std::ops;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::site::{range, target};

/// Keys that a target says it has released, and the mark that hands them over warm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The keys.
    pub keys: ops::RangeInclusive<u16>,
    /// The mark for the next owner.
    pub handover: String,
}

/// What a heartbeat says of keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Rises with each heartbeat of a life.
    pub sequence: u64,
    /// The keys that the target holds or still works on.
    pub holds: Vec<(ops::RangeInclusive<u16>, range::Token)>,
    /// The keys that it has released since the last acknowledged heartbeat.
    pub released: Vec<Release>,
}

/// Which stripes a target holds or still works on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Held {
    /// At least all that it owned in the state of the host that heard it.
    Owned,
    /// These.
    Stripes(IndexSet<u32>),
}

/// What a heartbeat says of stripes; short where nothing changes, as hosts pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Rises with each heartbeat of a life.
    pub sequence: u64,
    /// The stripes that the target holds.
    pub held: Held,
    /// Stripes that it has released, with the mark that hands them over.
    pub released: Vec<(Vec<u32>, String)>,
}

impl Digest {
    /// Returns what a heartbeat says, by the state of the host that heard it.
    pub fn new(heartbeat: &Heartbeat, map: &range::Map, number: target::Number) -> Self {
        let rows = heartbeat.holds.iter();
        let held: IndexSet<u32> = rows
            .flat_map(|(keys, _)| map.overlapping(keys.clone()))
            .collect();
        let whole = map.owned(number).all(|stripe| held.contains(&stripe));
        let released = heartbeat.released.iter().map(|release| {
            let stripes = map.within(release.keys.clone()).collect();
            (stripes, release.handover.clone())
        });
        Self {
            sequence: heartbeat.sequence,
            held: if whole {
                Held::Owned
            } else {
                Held::Stripes(held)
            },
            released: released.collect(),
        }
    }

    /// Returns what a heartbeat says while nobody owns any key.
    pub fn empty(sequence: u64) -> Self {
        Self {
            sequence,
            held: Held::Owned,
            released: Vec::new(),
        }
    }
}

/// Keys that a target may hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub keys: ops::RangeInclusive<u16>,
    /// The fencing token.
    pub token: range::Token,
    /// The mark of the owner before, where it released them.
    pub handover: Option<String>,
}

/// What a target may hold from now on: all that it owns in the state of this version, but for some.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The version of the state.
    pub version: id::Version,
    /// Stripes that it is not to hold, though it owns them.
    pub without: Vec<u32>,
    /// The marks of stripes that were handed over.
    pub handovers: Vec<(u32, String)>,
}

impl Renewal {
    /// Returns the keys, by a state that is not older than the renewal's. What the target owns in a
    /// newer state only is left out.
    pub fn grants(&self, map: &range::Map, number: target::Number) -> Vec<Grant> {
        let without: IndexSet<u32> = self.without.iter().copied().collect();
        let handovers: IndexMap<u32, &String> = self
            .handovers
            .iter()
            .map(|(stripe, handover)| (*stripe, handover))
            .collect();
        let mut owned: Vec<u32> = map.owned(number).collect();
        owned.sort_unstable_by_key(|stripe| *map.keys(*stripe).start());
        let mut rows: Vec<Grant> = Vec::new();
        for number in owned {
            let Some(stripe) = map.get(number) else {
                continue;
            };
            if without.contains(&number) || stripe.changed > self.version {
                continue;
            }
            let handover = handovers.get(&number).map(|handover| (*handover).clone());
            push_row(
                &mut rows,
                Grant {
                    keys: map.keys(number),
                    token: stripe.token,
                    handover,
                },
            );
        }
        rows
    }
}

/// Adds keys, merged with the row before where they follow on it.
fn push_row(rows: &mut Vec<Grant>, grant: Grant) {
    if let Some(last) = rows.last_mut() {
        let follows = last.keys.end().checked_add(1) == Some(*grant.keys.start());
        if follows && last.token == grant.token && last.handover == grant.handover {
            last.keys = *last.keys.start()..=*grant.keys.end();
            return;
        }
    }
    rows.push(grant);
}
