//! The shards and hot keys that the lane's target owns.

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use yucca_wire::id;
use yucca_wire::report;

/// A shard, or a hot key that takes precedence over its shard.
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

/// State of a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Requests are sent.
    Serving,
    /// The scope moves: requests wait, and running ones finish.
    Moving,
    /// The scope moves and no request of it runs; its release was reported.
    Released,
    /// The scope is a pinned key that another target owns, while this target owns its shard.
    OwnedElsewhere,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Grant {
    token: id::Token,
    state: State,
}

/// The grants of a target, by scope.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Owners {
    shards: IndexMap<id::Shard, Grant>,
    pins: IndexMap<Bytes, (id::Shard, Grant)>,
    /// Index of the scopes whose state is [`State::Moving`].
    moving: IndexSet<Scope>,
}

impl Owners {
    /// Adds a grant. A grant with a lower token than the current one is ignored.
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

    /// Marks a scope as moving. A hot key that is not pinned yet is first separated from its shard.
    pub fn hold(&mut self, scope: &Scope) {
        if let Scope::Pin { shard, key } = scope
            && !self.pins.contains_key(key)
            && let Some(grant) = self.shards.get(shard).copied()
        {
            self.pins.insert(key.clone(), (*shard, grant));
        }
        self.set(scope, State::Moving);
    }

    /// Cancels a move. A scope that was already released stays so until it is granted again. A key
    /// that another target owned belongs to its shard again.
    pub fn resume(&mut self, scope: &Scope) {
        match self.get(scope).map(|grant| grant.state) {
            Some(State::Moving) => {
                self.set(scope, State::Serving);
            }
            Some(State::OwnedElsewhere) => self.remove(scope),
            _ => {}
        }
    }

    /// Removes a scope that is no longer owned. A key whose shard remains is marked as owned
    /// elsewhere.
    pub fn release(&mut self, scope: &Scope) {
        let shard_remains =
            matches!(scope, Scope::Pin { shard, .. } if self.shards.contains_key(shard));
        if shard_remains {
            self.set(scope, State::OwnedElsewhere);
        } else {
            self.remove(scope);
        }
    }

    /// Changes the state of a scope. Returns whether the scope exists and had another state.
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

    /// Returns the scope that a key of this shard belongs to.
    pub fn scope(&self, shard: id::Shard, key: Option<&Bytes>) -> Scope {
        match key {
            Some(key) if self.pins.contains_key(key) => Scope::Pin {
                shard,
                key: key.clone(),
            },
            _ => Scope::Shard(shard),
        }
    }

    /// Returns the state of a key of this shard, or `None` if the target does not own it.
    pub fn state(&self, shard: id::Shard, key: Option<&Bytes>) -> Option<State> {
        let pin = key.and_then(|key| self.pins.get(key));
        let grant = pin
            .map(|(_, grant)| grant)
            .or_else(|| self.shards.get(&shard));
        grant.map(|grant| grant.state)
    }

    /// Returns the scopes that move and whose release was not reported yet, with the releases.
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
