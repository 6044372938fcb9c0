//! The owners of a service's keys.
//!
//! Keys are 16-bit numbers, cut into stripes of equal width. A stripe has one owner. The stripes
//! of one owner are scattered, so that a run of busy neighbouring keys falls on many targets.

use std::collections::BTreeSet;
use std::fmt;
use std::ops;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::site::{item, target};

/// How many keys there are.
pub const KEYS: u32 = 1 << 16;

/// The most stripes of a service: 8 keys each.
pub const MAX_STRIPES: u32 = 8192;

/// How many stripes there are for each target when a service is first shared out. Heartbeat answers
/// of 4 KiB have room for about 190 rows, so a third of the targets may be lost.
const STRIPES_PER_TARGET: u32 = 100;

/// A fencing token. It only rises for each key.
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

/// One stripe of keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stripe {
    /// The owner, where it ever had one.
    pub owner: Option<target::Number>,
    /// The token of the owner.
    pub token: Token,
    /// The version of the state at which it changed.
    pub changed: id::Version,
}

/// Gives stripes to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The service.
    pub service: item::Name,
    /// Into how many stripes the keys are cut, where this is the first assignment.
    pub count: u32,
    /// The new owner.
    pub owner: target::Number,
    /// The stripes, each with the token that it is presumed to have; where it has another, the
    /// stripe is left as it is.
    pub stripes: Vec<(u32, Token)>,
}

/// The stripes of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Kept", into = "Kept")]
pub struct Map {
    stripes: Vec<Stripe>,
    last: Token,
    /// The stripes of each owner.
    owned: IndexMap<target::Number, BTreeSet<u32>>,
}

/// A map as it is kept: the index of owners follows from the stripes.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Kept {
    stripes: Vec<Stripe>,
    last: Token,
}

impl From<Map> for Kept {
    fn from(map: Map) -> Self {
        Self {
            stripes: map.stripes,
            last: map.last,
        }
    }
}

impl From<Kept> for Map {
    fn from(kept: Kept) -> Self {
        let mut owned: IndexMap<target::Number, BTreeSet<u32>> = IndexMap::new();
        for (number, stripe) in (0..).zip(&kept.stripes) {
            if let Some(owner) = stripe.owner {
                owned.entry(owner).or_default().insert(number);
            }
        }
        Self {
            stripes: kept.stripes,
            last: kept.last,
            owned,
        }
    }
}

/// Returns into how many stripes the keys of a service with so many targets are cut.
pub fn stripe_count(targets: usize) -> u32 {
    let wanted = u32::try_from(targets)
        .unwrap_or(u32::MAX)
        .saturating_mul(STRIPES_PER_TARGET);
    wanted.clamp(1, MAX_STRIPES)
}

impl Map {
    /// Returns stripes that nobody owns.
    pub fn new(count: u32) -> Self {
        let count = count.clamp(1, MAX_STRIPES) as usize;
        Self {
            stripes: vec![Stripe::default(); count],
            last: Token(0),
            owned: IndexMap::new(),
        }
    }

    /// Returns the stripes of an owner.
    pub fn owned(&self, owner: target::Number) -> impl Iterator<Item = u32> + '_ {
        self.owned.get(&owner).into_iter().flatten().copied()
    }

    /// Returns how many stripes an owner has.
    pub fn owned_count(&self, owner: target::Number) -> u32 {
        self.owned.get(&owner).map_or(0, |owned| owned.len() as u32)
    }

    fn put(&mut self, number: u32, stripe: Stripe) {
        let Some(slot) = self.stripes.get_mut(number as usize) else {
            return;
        };
        let before = std::mem::replace(slot, stripe).owner;
        if let Some(owned) = before.and_then(|owner| self.owned.get_mut(&owner)) {
            owned.remove(&number);
        }
        if let Some(owner) = stripe.owner {
            self.owned.entry(owner).or_default().insert(number);
        }
    }

    /// Returns the number of stripes.
    pub fn count(&self) -> u32 {
        self.stripes.len() as u32
    }

    /// Returns the stripes with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Stripe)> {
        (0..).zip(&self.stripes)
    }

    /// Returns a stripe.
    pub fn get(&self, stripe: u32) -> Option<&Stripe> {
        self.stripes.get(stripe as usize)
    }

    /// Returns the stripe of a key.
    pub fn stripe_of(&self, key: u16) -> u32 {
        // The first key of stripe s is s * KEYS / count, rounded up.
        (u32::from(key) * self.count()) / KEYS
    }

    /// Returns the keys of a stripe, both ends included.
    pub fn keys(&self, stripe: u32) -> ops::RangeInclusive<u16> {
        let count = self.count();
        let first = (stripe * KEYS).div_ceil(count);
        let next = ((stripe + 1) * KEYS).div_ceil(count);
        first as u16..=(next - 1) as u16
    }

    /// Returns the stripes that lie wholly within a range of keys.
    pub fn within(&self, keys: ops::RangeInclusive<u16>) -> impl Iterator<Item = u32> + '_ {
        let (from, to) = (*keys.start(), *keys.end());
        let candidates = self.stripe_of(from)..=self.stripe_of(to);
        candidates.filter(move |stripe| {
            let own = self.keys(*stripe);
            *own.start() >= from && *own.end() <= to
        })
    }

    /// Returns the stripes that share a key with a range of keys.
    pub fn touching(&self, keys: ops::RangeInclusive<u16>) -> ops::RangeInclusive<u32> {
        self.stripe_of(*keys.start())..=self.stripe_of(*keys.end())
    }

    /// Gives stripes to their new owner under one new token.
    pub fn assign(&mut self, version: id::Version, wanted: &Assignment) -> (Token, Vec<u32>) {
        let token = Token(self.last.0 + 1);
        let mut assigned = Vec::new();
        for (number, presumed) in &wanted.stripes {
            if self
                .get(*number)
                .is_none_or(|stripe| stripe.token != *presumed)
            {
                continue;
            }
            let stripe = Stripe {
                owner: Some(wanted.owner),
                token,
                changed: version,
            };
            self.put(*number, stripe);
            assigned.push(*number);
        }
        if !assigned.is_empty() {
            self.last = token;
        }
        (token, assigned)
    }

    /// Takes a stripe as it is kept elsewhere.
    pub fn adopt(&mut self, number: u32, stripe: Stripe) {
        if self
            .get(number)
            .is_some_and(|own| own.token <= stripe.token)
        {
            self.put(number, stripe);
            self.last = self.last.max(stripe.token);
        }
    }
}
