//! The shards and hot keys that the lane's target owns.

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use yucca_wire::id;
use yucca_wire::report;

/// A shard, or a hot key that goes before its shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Scope {
    /// A shard, without its pinned keys.
    Shard(id::Shard),
    /// A pinned key.
    Pin {
        /// The key's shard.
        shard: id::Shard,
        /// The key.
        key: Bytes,
    },
}

impl Scope {
    /// Returns the shard, or the shard of the key.
    pub fn shard(&self) -> id::Shard {
        match self {
            Self::Shard(shard) | Self::Pin { shard, .. } => *shard,
        }
    }
}

/// How an owned scope stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Its requests are sent.
    Serving,
    /// It moves: its requests wait and what runs ends.
    Moving,
    /// It moves and nothing of it runs; this was told.
    Released,
    /// A pin of a key whose shard is owned here while the key is owned elsewhere.
    Away,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Grant {
    token: id::Token,
    state: State,
}

/// What the target owns, by scope.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Owners {
    shards: IndexMap<id::Shard, Grant>,
    pins: IndexMap<Bytes, (id::Shard, Grant)>,
    /// The scopes whose state is [`State::Moving`], so that none need be looked for.
    moving: IndexSet<Scope>,
}

impl Owners {
    /// Takes in a grant; one with a lower token than the known one is ignored.
    pub fn grant(&mut self, scope: &Scope, token: id::Token) {
        if self.get(scope).is_some_and(|grant| grant.token > token) {
            return;
        }
        let grant = Grant {
            token,
            state: State::Serving,
        };
        self.moving.swap_remove(scope);
        match scope {
            Scope::Shard(shard) => {
                self.shards.insert(*shard, grant);
            }
            Scope::Pin { shard, key } => {
                self.pins.insert(key.clone(), (*shard, grant));
            }
        }
    }

    /// Marks a scope as moving. A hot key that is not pinned yet is parted from its shard.
    pub fn hold(&mut self, scope: &Scope) {
        if let Scope::Pin { shard, key } = scope
            && !self.pins.contains_key(key)
            && let Some(grant) = self.shards.get(shard).copied()
        {
            self.pins.insert(key.clone(), (*shard, grant));
        }
        self.set(scope, State::Moving);
    }

    /// Gives a move up. What was already released stays so until it is granted again; a key that
    /// was owned elsewhere goes back to its shard.
    pub fn resume(&mut self, scope: &Scope) {
        match self.get(scope).map(|grant| grant.state) {
            Some(State::Moving) => {
                self.set(scope, State::Serving);
            }
            Some(State::Away) => self.remove(scope),
            _ => {}
        }
    }

    /// Notes that a scope is no longer owned. A key whose shard stays is remembered as away.
    pub fn release(&mut self, scope: &Scope) {
        let parted = matches!(scope, Scope::Pin { shard, .. } if self.shards.contains_key(shard));
        if parted {
            self.set(scope, State::Away);
        } else {
            self.remove(scope);
        }
    }

    /// Changes the state of a scope; tells whether it was known and differed.
    pub fn set(&mut self, scope: &Scope, state: State) -> bool {
        let Some(grant) = self.get_mut(scope) else {
            return false;
        };
        let differs = grant.state != state;
        grant.state = state;
        if state == State::Moving {
            self.moving.insert(scope.clone());
        } else {
            self.moving.swap_remove(scope);
        }
        differs
    }

    fn remove(&mut self, scope: &Scope) {
        self.moving.swap_remove(scope);
        match scope {
            Scope::Shard(shard) => {
                self.shards.swap_remove(shard);
            }
            Scope::Pin { key, .. } => {
                self.pins.swap_remove(key);
            }
        }
    }

    /// Returns the scope that decides about a key of this shard.
    pub fn scope(&self, shard: id::Shard, key: Option<&Bytes>) -> Scope {
        match key {
            Some(key) if self.pins.contains_key(key) => Scope::Pin {
                shard,
                key: key.clone(),
            },
            _ => Scope::Shard(shard),
        }
    }

    /// Returns how a key of this shard stands; none where the target does not own it.
    pub fn state(&self, shard: id::Shard, key: Option<&Bytes>) -> Option<State> {
        let pin = key.and_then(|key| self.pins.get(key));
        let grant = pin
            .map(|(_, grant)| grant)
            .or_else(|| self.shards.get(&shard));
        grant.map(|grant| grant.state)
    }

    /// Returns the scopes that move and were not told released, with their releases.
    pub fn moving(&self) -> Vec<(Scope, report::Release)> {
        let moving = self.moving.iter().filter_map(|scope| {
            let grant = self.get(scope)?;
            Some((scope.clone(), release(scope, grant.token)))
        });
        moving.collect()
    }

    fn get(&self, scope: &Scope) -> Option<&Grant> {
        match scope {
            Scope::Shard(shard) => self.shards.get(shard),
            Scope::Pin { key, .. } => self.pins.get(key).map(|(_, grant)| grant),
        }
    }

    fn get_mut(&mut self, scope: &Scope) -> Option<&mut Grant> {
        match scope {
            Scope::Shard(shard) => self.shards.get_mut(shard),
            Scope::Pin { key, .. } => self.pins.get_mut(key).map(|(_, grant)| grant),
        }
    }
}

fn release(scope: &Scope, token: id::Token) -> report::Release {
    let key = match scope {
        Scope::Shard(_) => None,
        Scope::Pin { key, .. } => Some(key.clone()),
    };
    report::Release {
        shard: scope.shard(),
        key,
        token,
    }
}
