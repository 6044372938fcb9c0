//! The keys in heartbeats of targets and in the answers to them.

use std::ops;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::site::{range, target};

/// Keys that a target has released, and the token with which the next owner can take over their
/// warm state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The keys.
    pub keys: ops::RangeInclusive<u16>,
    /// Handover token for the next owner.
    pub handover: String,
}

/// Keys in a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sequence number, which increases with each heartbeat of an instance.
    pub sequence: u64,
    /// Keys that the target holds or still processes requests for, with their fencing tokens.
    pub holds: Vec<(ops::RangeInclusive<u16>, range::Token)>,
    /// Keys that it has released since the last acknowledged heartbeat.
    pub released: Vec<Release>,
}

/// Stripes that a target holds or still processes requests for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Held {
    /// At least all stripes that it owned in the state of the host that received the heartbeat.
    Owned,
    /// Exactly these stripes.
    Stripes(IndexSet<u32>),
}

/// Stripes in a heartbeat, as hosts forward it to the leader. It is short if nothing has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Sequence number, which increases with each heartbeat of an instance.
    pub sequence: u64,
    /// Stripes that the target holds.
    pub held: Held,
    /// Stripes that it has released, with their handover tokens.
    pub released: Vec<(Vec<u32>, String)>,
}

impl Digest {
    /// Returns the digest of a heartbeat, based on the state of the host that received it.
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

    /// Returns the digest of a heartbeat without keys, for a target that owns none.
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
    /// Handover token of the previous owner, if it released the keys.
    pub handover: Option<String>,
}

/// Stripes that a target may hold from now on: all that it owns in the state of this version, with
/// exceptions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Version of the state.
    pub version: id::Version,
    /// Stripes that it must not hold, although it owns them.
    pub without: Vec<u32>,
    /// Handover tokens of stripes that their previous owner released.
    pub handovers: Vec<(u32, String)>,
}

impl Renewal {
    /// Returns the granted keys, based on a state that is not older than that of the renewal.
    /// Stripes that have changed in a newer version are left out.
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

/// Adds keys, and merges them with the previous row if they are adjacent and equal in token and
/// handover token.
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
