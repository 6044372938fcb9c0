//! What a token-checking target knows of its grants. Its memory is empty after a restart.

use std::fmt;

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_wire::grant;
use yucca_wire::id;

/// Why an order or a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It carries no token, or a malformed one.
    MissingToken,
    /// Its token is lower than one seen before.
    Stale {
        /// The token that it carries.
        given: id::Token,
        /// The highest token seen.
        highest: id::Token,
    },
    /// Neither the key nor its shard is granted.
    NotOwned {
        /// The key's shard.
        shard: id::Shard,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingToken => write!(f, "no well-formed {} header", grant::TOKEN_HEADER),
            Self::Stale { given, highest } => {
                write!(f, "token {given} is lower than {highest}, seen before")
            }
            Self::NotOwned { shard } => write!(f, "neither the key nor shard {shard} is granted"),
        }
    }
}

/// The grants of one target.
#[derive(Debug, Default)]
pub struct Grants {
    highest: id::Token,
    shards: IndexMap<id::Shard, id::Token>,
    pins: IndexMap<Bytes, id::Token>,
}

impl Grants {
    /// Checks the token of a lane, and remembers it where it is the highest.
    ///
    /// # Errors
    /// Refuses an absent token and one lower than the highest seen.
    pub fn check(&mut self, token: Option<id::Token>) -> Result<(), Refusal> {
        let given = token.ok_or(Refusal::MissingToken)?;
        if given < self.highest {
            return Err(Refusal::Stale {
                given,
                highest: self.highest,
            });
        }
        self.highest = given;
        Ok(())
    }

    /// Carries out an order.
    ///
    /// # Errors
    /// Refuses an order with a lower token than the highest seen.
    pub fn apply(&mut self, order: &grant::Order) -> Result<(), Refusal> {
        self.check(Some(order.token))?;
        for revoked in &order.revoked {
            remove(&mut self.shards, &revoked.shard, revoked.token);
        }
        for unpinned in &order.unpinned {
            remove(&mut self.pins, &unpinned.key, unpinned.token);
        }
        for granted in &order.granted {
            insert(&mut self.shards, granted.shard, granted.token);
        }
        for pinned in &order.pinned {
            insert(&mut self.pins, pinned.key.clone(), pinned.token);
        }
        Ok(())
    }

    /// Checks that a key, or the shard into which it falls, is granted.
    ///
    /// # Errors
    /// Refuses a key that is not.
    pub fn owns(&self, shard: id::Shard, key: &[u8]) -> Result<(), Refusal> {
        if self.pins.contains_key(key) || self.shards.contains_key(&shard) {
            return Ok(());
        }
        Err(Refusal::NotOwned { shard })
    }

    /// Returns how many shards and pins are granted.
    pub fn len(&self) -> usize {
        self.shards.len() + self.pins.len()
    }

    /// Returns whether nothing is granted.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn insert<K: std::hash::Hash + Eq>(grants: &mut IndexMap<K, id::Token>, item: K, token: id::Token) {
    let known = grants.entry(item).or_insert(token);
    *known = token.max(*known);
}

/// Takes a grant back, unless a newer one was made since.
fn remove<K: std::hash::Hash + Eq>(
    grants: &mut IndexMap<K, id::Token>,
    item: &K,
    token: id::Token,
) {
    if grants.get(item).is_some_and(|known| *known <= token) {
        grants.swap_remove(item);
    }
}
