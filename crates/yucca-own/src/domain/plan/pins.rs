//! Plans the pins that operators set, and ends pins whose owners do not serve.

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
            if has_ended(state, service, key, &owner.target) {
                commands.push(Command::Unpin {
                    service: service.clone(),
                    key: key.clone(),
                    token: owner.token,
                });
            }
        }
    }
}

/// Returns the pin that an operator set, if it is not in effect yet and can be applied.
fn wanted(state: &State, service: &id::Service, key: &Bytes, target: &id::Target) -> Option<Pin> {
    let shard = state.shard_of(service, key)?;
    let owner = state.table.owner(service, shard, key)?;
    let known = state.pins.get(service).and_then(|pins| pins.get(key));
    let in_effect = owner.target == *target && known.is_some_and(|known| known.operator);
    if in_effect
        || owner.moving
        || !state.is_home(service, shard)
        || !state.is_serving(service, target)
    {
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

/// Returns whether a pin ends: its owner does not serve, or the operator withdrew it.
fn has_ended(state: &State, service: &id::Service, key: &Bytes, target: &id::Target) -> bool {
    let known = state.pins.get(service).and_then(|pins| pins.get(key));
    let wanted = state
        .global
        .pins
        .get(service)
        .is_some_and(|pins| pins.contains_key(key));
    let withdrawn = known.is_some_and(|known| known.operator) && !wanted;
    withdrawn || !state.is_serving(service, target)
}
