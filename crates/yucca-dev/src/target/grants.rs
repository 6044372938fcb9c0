//! Grants of a target that checks tokens. They are kept in memory only and are lost on a restart.

use std::fmt;

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_wire::grant;
use yucca_wire::id;

/// Reason why an order or a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The token is missing or malformed.
    MissingToken,
    /// The token is lower than the highest one received.
    Stale {
        /// Token of the order or request.
        given: id::Token,
        /// Highest token received before.
        highest: id::Token,
    },
    /// Neither the key nor its shard is granted.
    NotOwned {
        /// Shard of the key.
        shard: id::Shard,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingToken => write!(f, "{} header missing or malformed", grant::TOKEN_HEADER),
            Self::Stale { given, highest } => {
                write!(f, "token {given} is lower than {highest}, received before")
            }
            Self::NotOwned { shard } => write!(f, "neither the key nor shard {shard} is granted"),
        }
    }
}

/// Grants of one target.
#[derive(Debug, Default)]
pub struct Grants {
    highest: id::Token,
    shards: IndexMap<id::Shard, id::Token>,
    pins: IndexMap<Bytes, id::Token>,
}

impl Grants {
    /// Checks the token of a lane and stores it if it is the highest one received.
    ///
    /// # Errors
    /// Refuses a missing token and one that is lower than the highest one received.
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

    /// Applies an order.
    ///
    /// # Errors
    /// Refuses an order whose token is lower than the highest one received.
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

    /// Checks that a key or its shard is granted.
    ///
    /// # Errors
    /// Refuses a key if neither is granted.
    pub fn check_owned(&self, shard: id::Shard, key: &[u8]) -> Result<(), Refusal> {
        if self.pins.contains_key(key) || self.shards.contains_key(&shard) {
            return Ok(());
        }
        Err(Refusal::NotOwned { shard })
    }

    /// Returns the number of granted shards and pins.
    pub fn len(&self) -> usize {
        self.shards.len() + self.pins.len()
    }

    /// Returns whether no shard and no pin is granted.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn insert<K: std::hash::Hash + Eq>(grants: &mut IndexMap<K, id::Token>, item: K, token: id::Token) {
    let known = grants.entry(item).or_insert(token);
    *known = token.max(*known);
}

/// Revokes a grant, unless it was granted again with a higher token.
fn remove<K: std::hash::Hash + Eq>(
    grants: &mut IndexMap<K, id::Token>,
    item: &K,
    token: id::Token,
) {
    if grants.get(item).is_some_and(|known| *known <= token) {
        grants.swap_remove(item);
    }
}
