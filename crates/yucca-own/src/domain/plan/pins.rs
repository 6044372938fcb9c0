//! Pins that operators set, and pins whose owners take no work.

use bytes::Bytes;
use yucca_wire::id;

use crate::domain::{Command, Pin, State};

pub(super) fn plan(state: &State, commands: &mut Vec<Command>) {
    for (service, pins) in &state.global.pins {
        for (key, target) in pins {
            commands.extend(wanted(state, service, key, target).map(Command::Pin));
        }
    }
    for (service, pins) in &state.table.pins {
        for (key, owner) in pins.iter().filter(|(_, owner)| !owner.moving) {
            if is_over(state, service, key, &owner.target) {
                commands.push(Command::Unpin {
                    service: service.clone(),
                    key: key.clone(),
                    token: owner.token,
                });
            }
        }
    }
}

/// Returns the pin that an operator wants, where it does not stand and can be set.
fn wanted(state: &State, service: &id::Service, key: &Bytes, target: &id::Target) -> Option<Pin> {
    let shard = state.shard_of(service, key)?;
    let owner = state.table.owner(service, shard, key)?;
    let known = state.pins.get(service).and_then(|pins| pins.get(key));
    let stands = owner.target == *target && known.is_some_and(|known| known.operator);
    if stands || owner.moving || !state.holds(service, shard) || !state.serves(service, target) {
        return None;
    }
    Some(Pin {
        service: service.clone(),
        key: key.clone(),
        token: owner.token,
        to: target.clone(),
        operator: true,
    })
}

/// Tells whether a pin's owner takes no work, or its operator took it back.
fn is_over(state: &State, service: &id::Service, key: &Bytes, target: &id::Target) -> bool {
    let known = state.pins.get(service).and_then(|pins| pins.get(key));
    let wanted = state
        .global
        .pins
        .get(service)
        .is_some_and(|pins| pins.contains_key(key));
    let taken_back = known.is_some_and(|known| known.operator) && !wanted;
    taken_back || !state.serves(service, target)
}
