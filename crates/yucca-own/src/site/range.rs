//! Owners of a service's keys.
//!
//! Keys are 16-bit numbers, divided into stripes of equal width. A stripe has one owner. The stripes
//! of one owner are scattered, so that a run of busy neighbouring keys falls on many targets. A busy
//! stripe can be split into single keys, each of which is a separate stripe from then on.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::ops;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::site::{item, target};

/// Number of keys.
pub const KEYS: u32 = 1 << 16;

/// Maximum number of stripes of equal width of a service: 8 keys each.
pub const MAX_STRIPES: u32 = 8192;

/// Number of stripes per target when the keys of a service are first assigned. Heartbeat answers of
/// 4 KiB have room for about 190 rows, so the targets can take over the stripes of a lost third.
const STRIPES_PER_TARGET: u32 = 100;

/// Number of the single-key stripe of key 0; the others follow in the order of their keys.
const FIRST_SINGLE: u32 = KEYS;

/// Number of latest changes retained in order, for followers that lack only these.
const RECENT_CHANGES: usize = 4096;

/// Fencing token. The token of a key only increases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Token(pub u64);

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Owner of one stripe.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stripe {
    /// The owner; none if the stripe never had one.
    pub owner: Option<target::Number>,
    /// The token of the owner.
    pub token: Token,
    /// Version of the state at which it last changed.
    pub changed: id::Version,
}

/// Assignment of stripes to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The service.
    pub service: item::Name,
    /// Number of stripes into which the keys are divided, if this is the first assignment.
    pub count: u32,
    /// The new owner.
    pub owner: target::Number,
    /// The stripes, each with its expected token; a stripe whose token differs is skipped.
    pub stripes: Vec<(u32, Token)>,
}

/// The stripes of one service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Map {
    /// The stripes of equal width; entries of split stripes are unused.
    stripes: Vec<Stripe>,
    /// The single-key stripes that replace split stripes.
    singles: BTreeMap<u16, Stripe>,
    last: Token,
    /// Index of the stripes by owner, including those without one.
    owned: IndexMap<Option<target::Number>, BTreeSet<u32>>,
    recent: Recent,
}

/// The latest changes in the order of their versions.
#[derive(Debug, Clone, Default)]
struct Recent {
    changes: VecDeque<(id::Version, u32)>,
    /// All changes after this version are retained.
    complete_after: id::Version,
}

impl Recent {
    fn push(&mut self, version: id::Version, number: u32) {
        self.changes.push_back((version, number));
        if self.changes.len() > RECENT_CHANGES
            && let Some((version, _)) = self.changes.pop_front()
        {
            self.complete_after = self.complete_after.max(version);
        }
    }
}

/// Serialized form of a map. The index by owner is rebuilt from the stripes.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Stored {
    stripes: Vec<Stripe>,
    singles: BTreeMap<u16, Stripe>,
    last: Token,
}

/// Ignores the index by owner, which is derived from the stripes, and the recent changes, which are
/// not part of the replicated state.
impl PartialEq for Map {
    fn eq(&self, other: &Self) -> bool {
        let own = (&self.stripes, &self.singles, self.last);
        own == (&other.stripes, &other.singles, other.last)
    }
}

impl Eq for Map {}

impl From<Map> for Stored {
    fn from(map: Map) -> Self {
        Self {
            stripes: map.stripes,
            singles: map.singles,
            last: map.last,
        }
    }
}

impl From<Stored> for Map {
    fn from(stored: Stored) -> Self {
        let mut map = Self {
            stripes: stored.stripes,
            singles: stored.singles,
            last: stored.last,
            ..Self::default()
        };
        let mut owned: IndexMap<Option<target::Number>, BTreeSet<u32>> = IndexMap::new();
        for (number, stripe) in map.iter() {
            owned.entry(stripe.owner).or_default().insert(number);
        }
        let newest = map.iter().map(|(_, stripe)| stripe.changed).max();
        map.owned = owned;
        map.recent.complete_after = newest.unwrap_or_default();
        map
    }
}

/// Returns the number of stripes for a service with this number of targets.
pub fn stripe_count(targets: usize) -> u32 {
    let wanted = u32::try_from(targets)
        .unwrap_or(u32::MAX)
        .saturating_mul(STRIPES_PER_TARGET);
    wanted.clamp(1, MAX_STRIPES)
}

impl Map {
    /// Returns a map of stripes without owners.
    pub fn new(count: u32) -> Self {
        let count = count.clamp(1, MAX_STRIPES);
        Self {
            stripes: vec![Stripe::default(); count as usize],
            owned: IndexMap::from([(None, (0..count).collect())]),
            ..Self::default()
        }
    }

    /// Returns the stripes of an owner.
    pub fn owned(&self, owner: target::Number) -> impl Iterator<Item = u32> + '_ {
        self.owned.get(&Some(owner)).into_iter().flatten().copied()
    }

    /// Returns the stripes that never had an owner.
    pub fn unowned(&self) -> impl Iterator<Item = u32> + '_ {
        self.owned.get(&None).into_iter().flatten().copied()
    }

    /// Returns all present and former owners.
    pub fn owners(&self) -> impl Iterator<Item = target::Number> + '_ {
        self.owned.keys().copied().flatten()
    }

    fn replace(&mut self, number: u32, stripe: Stripe) {
        let slot = match number.checked_sub(FIRST_SINGLE) {
            Some(key) => self.singles.get_mut(&(key as u16)),
            None => self.stripes.get_mut(number as usize),
        };
        let Some(slot) = slot else {
            return;
        };
        let before = std::mem::replace(slot, stripe).owner;
        if before != stripe.owner {
            if let Some(owned) = self.owned.get_mut(&before) {
                owned.remove(&number);
            }
            self.owned.entry(stripe.owner).or_default().insert(number);
        }
        self.recent.push(stripe.changed, number);
    }

    /// Returns the number of stripes of equal width into which the keys were divided.
    pub fn count(&self) -> u32 {
        self.stripes.len() as u32
    }

    /// Returns the stripes with their numbers, without those that were split.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Stripe)> {
        let whole = (0..).zip(&self.stripes);
        let whole = whole.filter(|(number, _)| !self.is_split(*number));
        let singles = self.singles.iter();
        whole.chain(singles.map(|(key, stripe)| (FIRST_SINGLE + u32::from(*key), stripe)))
    }

    /// Returns the stripes that changed after a version.
    pub fn changed_since(&self, version: id::Version) -> Vec<(u32, &Stripe)> {
        if version < self.recent.complete_after {
            let changed = self.iter().filter(|(_, stripe)| stripe.changed > version);
            return changed.collect();
        }
        let changes = self.recent.changes.iter().rev();
        let numbers: BTreeSet<u32> = changes
            .take_while(|(changed, _)| *changed > version)
            .map(|(_, number)| *number)
            .collect();
        let numbers = numbers.into_iter();
        numbers
            .filter(|number| !self.is_split(*number))
            .filter_map(|number| Some((number, self.get(number)?)))
            .collect()
    }

    /// Returns a stripe.
    pub fn get(&self, number: u32) -> Option<&Stripe> {
        match number.checked_sub(FIRST_SINGLE) {
            Some(key) => self.singles.get(&u16::try_from(key).ok()?),
            None => self.stripes.get(number as usize),
        }
    }

    /// Returns the number of the stripe that contains a key.
    pub fn stripe_of(&self, key: u16) -> u32 {
        if self.singles.contains_key(&key) {
            return FIRST_SINGLE + u32::from(key);
        }
        self.unsplit_stripe_of(key)
    }

    /// Returns the number of the equal-width stripe that contains a key, even if it was split.
    fn unsplit_stripe_of(&self, key: u16) -> u32 {
        // The first key of stripe s is s * KEYS / count, rounded up.
        (u32::from(key) * self.count()) / KEYS
    }

    /// Returns whether a stripe was split into single keys.
    fn is_split(&self, number: u32) -> bool {
        number < FIRST_SINGLE
            && !self.singles.is_empty()
            && self.singles.contains_key(self.keys(number).start())
    }

    /// Returns whether a stripe consists of a single key, by a split or by its width.
    pub fn is_single(&self, number: u32) -> bool {
        number >= FIRST_SINGLE || self.keys(number).len() == 1
    }

    /// Returns the range of keys of a stripe.
    pub fn keys(&self, number: u32) -> ops::RangeInclusive<u16> {
        if let Some(key) = number.checked_sub(FIRST_SINGLE) {
            return key as u16..=key as u16;
        }
        let count = self.count();
        let first = (number * KEYS).div_ceil(count);
        let next = ((number + 1) * KEYS).div_ceil(count);
        first as u16..=(next - 1) as u16
    }

    /// Returns the stripes that are fully contained in a range of keys.
    pub fn within(&self, keys: ops::RangeInclusive<u16>) -> impl Iterator<Item = u32> + '_ {
        let (from, to) = (*keys.start(), *keys.end());
        self.overlapping(keys).filter(move |stripe| {
            let own = self.keys(*stripe);
            *own.start() >= from && *own.end() <= to
        })
    }

    /// Returns the stripes that have a key in common with a range of keys.
    pub fn overlapping(&self, keys: ops::RangeInclusive<u16>) -> impl Iterator<Item = u32> + '_ {
        let whole = self.unsplit_stripe_of(*keys.start())..=self.unsplit_stripe_of(*keys.end());
        let whole = whole.filter(|number| !self.is_split(*number));
        let singles = self.singles.range(keys);
        whole.chain(singles.map(|(key, _)| FIRST_SINGLE + u32::from(*key)))
    }

    /// Splits stripes into single keys with the same owner and token.
    pub fn split(&mut self, version: id::Version, numbers: &[u32]) {
        for number in numbers {
            let Some(stripe) = self.get(*number).copied() else {
                continue;
            };
            if !self.is_split(*number) && !self.is_single(*number) {
                self.split_one(
                    *number,
                    Stripe {
                        changed: version,
                        ..stripe
                    },
                );
            }
        }
    }

    fn split_one(&mut self, number: u32, stripe: Stripe) {
        let owned = self.owned.entry(stripe.owner).or_default();
        owned.remove(&number);
        for key in self.keys(number) {
            let single = FIRST_SINGLE + u32::from(key);
            self.singles.insert(key, stripe);
            self.owned.entry(stripe.owner).or_default().insert(single);
            self.recent.push(stripe.changed, single);
        }
    }

    /// Assigns stripes to their new owner under one new token. Returns the token and the stripes
    /// that were assigned.
    pub fn assign(&mut self, version: id::Version, wanted: &Assignment) -> (Token, Vec<u32>) {
        let token = Token(self.last.0 + 1);
        let mut assigned = Vec::new();
        for (number, expected) in &wanted.stripes {
            let unchanged = self.get(*number).is_some_and(|s| s.token == *expected);
            if !unchanged || self.is_split(*number) {
                continue;
            }
            let stripe = Stripe {
                owner: Some(wanted.owner),
                token,
                changed: version,
            };
            self.replace(*number, stripe);
            assigned.push(*number);
        }
        if !assigned.is_empty() {
            self.last = token;
        }
        (token, assigned)
    }

    /// Applies owners and tokens of stripes received from another host.
    pub fn apply_changes(
        &mut self,
        changed: id::Version,
        owners: &[(target::Number, Token, Vec<u32>)],
    ) {
        for (owner, token, stripes) in owners {
            let stripe = Stripe {
                owner: Some(*owner),
                token: *token,
                changed,
            };
            for number in stripes {
                self.merge(*number, stripe);
            }
        }
    }

    /// Applies one stripe received from another host, which may have split the stripe around it.
    fn merge(&mut self, number: u32, stripe: Stripe) {
        if let Some(key) = number.checked_sub(FIRST_SINGLE)
            && !self.singles.contains_key(&(key as u16))
        {
            let whole = self.unsplit_stripe_of(key as u16);
            if let Some(before) = self.get(whole).copied() {
                self.split_one(whole, before);
            }
        }
        let known = self.get(number);
        if !self.is_split(number) && known.is_some_and(|own| own.token <= stripe.token) {
            self.replace(number, stripe);
            self.last = self.last.max(stripe.token);
        }
    }
}
