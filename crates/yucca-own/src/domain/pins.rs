//! Applies pins: keys with an owner of their own.

use bytes::Bytes;
use yucca_wire::id;
use yucca_wire::key;
use yucca_wire::table;

use super::apply::TokenSource;
use super::{Pin, PinState, Reply, State};

impl State {
    /// Starts to move a key to an owner of its own. The current owner has to release it first.
    pub(super) fn pin(&mut self, pin: &Pin, tokens: &mut TokenSource) -> Reply {
        let Some(shard) = self.shard_of(&pin.service, &pin.key) else {
            return Reply::Stale;
        };
        let owner = self.table.owner(&pin.service, shard, &pin.key).cloned();
        let Some(owner) = owner.filter(|owner| owner.token == pin.token && !owner.moving) else {
            return Reply::Stale;
        };
        if !self.is_home(&pin.service, shard) || !self.is_serving(&pin.service, &pin.to) {
            return Reply::Stale;
        }
        let stays = owner.target == pin.to;
        let owner = table::Owner {
            token: if stays {
                tokens.next_token()
            } else {
                owner.token
            },
            moving: !stays,
            target: owner.target,
        };
        let state = PinState {
            operator: pin.operator,
            to: (!stays).then(|| pin.to.clone()),
        };
        let pins = self.pins.entry(pin.service.clone()).or_default();
        pins.insert(pin.key.clone(), state);
        let pins = self
            .table_mut()
            .pins
            .entry(pin.service.clone())
            .or_default();
        pins.insert(pin.key.clone(), owner);
        Reply::Done
    }

    pub(super) fn unpin(&mut self, service: &id::Service, key: &Bytes, token: id::Token) -> Reply {
        let pins = self.table.pins.get(service);
        let owner = pins.and_then(|pins| pins.get(key));
        if !owner.is_some_and(|owner| owner.token == token && !owner.moving) {
            return Reply::Stale;
        }
        self.close_pin(service, key);
        Reply::Done
    }

    /// Ends a pin's grant after its release. The key passes to the pin's next owner, or back to the
    /// owner of its shard.
    pub(super) fn end_pin(
        &mut self,
        service: &id::Service,
        target: &id::Target,
        key: &Bytes,
        token: id::Token,
        tokens: &mut TokenSource,
    ) -> bool {
        let pins = self.table.pins.get(service);
        let owner = pins.and_then(|pins| pins.get(key));
        let released = owner
            .is_some_and(|owner| owner.target == *target && owner.token == token && owner.moving);
        if !released {
            return false;
        }
        let pins = self.pins.get_mut(service);
        let state = pins.and_then(|pins| pins.get_mut(key));
        let to = state.and_then(|state| state.to.take());
        match to.filter(|to| self.is_serving(service, to)) {
            Some(target) => {
                let owner = table::Owner {
                    target,
                    token: tokens.next_token(),
                    moving: false,
                };
                let pins = self.table_mut().pins.entry(service.clone()).or_default();
                pins.insert(key.clone(), owner);
            }
            None => self.remove_pin(service, key),
        }
        true
    }

    /// Ends the pins that a target owns; their keys return to the owners of their shards.
    pub(super) fn evacuate_pins(&mut self, target: &id::Target) {
        self.close_pins(|_, _, owner| owner.target == *target);
    }

    /// Ends the pins of keys in a shard.
    pub(super) fn evacuate_pins_in(&mut self, service: &id::Service, shard: id::Shard) {
        self.close_pins(|state, (name, key), _| {
            name == service && state.shard_of(service, key) == Some(shard)
        });
    }

    pub(super) fn has_pins_in(&self, service: &id::Service, shard: id::Shard) -> bool {
        let pins = self.table.pins.get(service);
        let mut keys = pins.into_iter().flat_map(|pins| pins.keys());
        keys.any(|key| self.shard_of(service, key) == Some(shard))
    }

    /// Removes the pins of keys whose shards have their home in another domain.
    pub(super) fn remove_foreign_pins(&mut self) {
        let here = self.table.domain.clone();
        let foreign = self.matching(|state, (service, pinned), _| {
            let shards = match state.global.services.get(service).map(|found| &found.kind) {
                Some(table::Kind::Keyed { shards, .. }) => *shards,
                _ => return true,
            };
            let shard = key::shard(pinned, shards);
            let homes = state.global.homes.get(service);
            homes.and_then(|homes| homes.get(shard.0 as usize)) != Some(&here)
        });
        for (service, key) in foreign {
            self.remove_pin(&service, &key);
        }
    }

    fn close_pins(
        &mut self,
        chosen: impl Fn(&Self, (&id::Service, &Bytes), &table::Owner) -> bool,
    ) {
        for (service, key) in self.matching(chosen) {
            self.close_pin(&service, &key);
        }
    }

    fn matching(
        &self,
        chosen: impl Fn(&Self, (&id::Service, &Bytes), &table::Owner) -> bool,
    ) -> Vec<(id::Service, Bytes)> {
        let mut found = Vec::new();
        for (service, pins) in &self.table.pins {
            for (key, owner) in pins {
                if chosen(self, (service, key), owner) {
                    found.push((service.clone(), key.clone()));
                }
            }
        }
        found
    }

    fn close_pin(&mut self, service: &id::Service, key: &Bytes) {
        let pins = self.pins.get_mut(service);
        if let Some(state) = pins.and_then(|pins| pins.get_mut(key)) {
            state.to = None;
        }
        let pins = self.table_mut().pins.get_mut(service);
        if let Some(owner) = pins.and_then(|pins| pins.get_mut(key)) {
            owner.moving = true;
        }
    }

    fn remove_pin(&mut self, service: &id::Service, key: &Bytes) {
        if let Some(pins) = self.pins.get_mut(service) {
            pins.swap_remove(key);
        }
        if let Some(pins) = self.table_mut().pins.get_mut(service) {
            pins.swap_remove(key);
        }
    }
}
