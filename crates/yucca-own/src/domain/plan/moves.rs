//! Plans the owners of shards: grants of shards without an owner, and moves away from targets that
//! do not serve.

use std::time;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::table;

use super::loads::Loads;
use super::{pins, placement};
use crate::domain::{Command, Evidence, Grant, Shift, State};

/// Maximum number of shards in one command.
const MAX_BATCH: usize = 4096;

pub(super) fn plan(
    state: &State,
    evidence: &Evidence,
    now: time::Duration,
    commands: &mut Vec<Command>,
) {
    releases(state, evidence, commands);
    pins::plan(state, commands);
    for (service, found) in &state.global.services {
        let table::Kind::Keyed { shards, .. } = found.kind else {
            continue;
        };
        let free = unowned(state, service, shards);
        let draining = draining(state, service, evidence);
        let at_rest = free.is_empty() && draining.is_empty();
        if at_rest && !evidence.is_balance_due(now) {
            continue;
        }
        let mut loads = Loads::new(state, service, evidence, now);
        grant(service, &free, &mut loads, commands);
        evacuate(service, draining, &mut loads, commands);
        if at_rest {
            placement::plan(state, service, &mut loads, commands);
        }
    }
}

/// Proposes the releases that lanes reported.
fn releases(state: &State, evidence: &Evidence, commands: &mut Vec<Command>) {
    for (name, seen) in &evidence.targets {
        let Some(target) = state.table.targets.get(name) else {
            continue;
        };
        if target.token != seen.token {
            continue;
        }
        let waits = |release: &&report::Release| state.awaits_release(name, target, release);
        let releases: Vec<_> = seen.released.iter().filter(waits).cloned().collect();
        if !releases.is_empty() {
            commands.push(Command::Released {
                target: name.clone(),
                token: seen.token,
                releases,
            });
        }
    }
}

/// Returns the shards that have their home in this domain and no owner.
fn unowned(state: &State, service: &id::Service, shards: u32) -> Vec<id::Shard> {
    let Some(homes) = state.global.homes.get(service) else {
        return Vec::new();
    };
    let mut here = Vec::new();
    let mut start = 0;
    for run in homes.runs() {
        if run.domain == *state.domain() {
            here.push(start..run.end.min(shards));
        }
        start = run.end;
    }
    let count: usize = here.iter().map(ExactSizeIterator::len).sum();
    let owned = state
        .table
        .owners
        .get(service)
        .map_or(0, |owners| owners.len());
    if count == owned {
        return Vec::new();
    }
    let free = here.into_iter().flatten().map(id::Shard);
    let free = free.filter(|shard| state.owner(service, *shard).is_none());
    free.filter(|shard| state.is_home(service, *shard))
        .collect()
}

/// Returns the shards of targets that do not serve, with their tokens, except those that already
/// move.
fn draining(
    state: &State,
    service: &id::Service,
    evidence: &Evidence,
) -> IndexMap<id::Shard, id::Token> {
    let mut found = IndexMap::new();
    for (name, target) in &state.table.targets {
        if target.service != *service || target.state == table::State::Serving {
            continue;
        }
        for shard in evidence.owned(name) {
            let owner = state.owner(service, shard);
            if let Some(owner) = owner.filter(|o| o.target == *name && !o.moving) {
                found.insert(shard, owner.token);
            }
        }
    }
    found
}

fn grant(
    service: &id::Service,
    free: &[id::Shard],
    loads: &mut Loads<'_>,
    commands: &mut Vec<Command>,
) {
    for batch in free.chunks(MAX_BATCH) {
        let grants = batch.iter().filter_map(|shard| {
            let target = loads.place(loads.shard(*shard))?;
            Some(Grant {
                shard: *shard,
                target,
            })
        });
        let grants: Vec<Grant> = grants.collect();
        if !grants.is_empty() {
            commands.push(Command::Own {
                service: service.clone(),
                grants,
            });
        }
    }
}

fn evacuate(
    service: &id::Service,
    draining: IndexMap<id::Shard, id::Token>,
    loads: &mut Loads<'_>,
    commands: &mut Vec<Command>,
) {
    let shifts = draining.into_iter().filter_map(|(shard, token)| {
        let to = loads.place(loads.shard(shard))?;
        Some(Shift { shard, token, to })
    });
    let shifts: Vec<Shift> = shifts.collect();
    for batch in shifts.chunks(MAX_BATCH) {
        commands.push(Command::Move {
            service: service.clone(),
            shifts: batch.to_vec(),
        });
    }
}
