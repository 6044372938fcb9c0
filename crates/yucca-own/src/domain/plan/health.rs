//! What becomes of targets: new ones, silent ones, those that return and those that leave.

use std::time;

use yucca_wire::id;
use yucca_wire::table;

use crate::domain::evidence::Target;
use crate::domain::{Announce, Command, Evidence, State};

/// How long a lane must find a target dead before it is given up.
const DEAD: time::Duration = time::Duration::from_millis(200);
/// How long a target that a lane finds dead may go on announcing itself before it is given up.
const DEAD_BUT_HEARD: time::Duration = time::Duration::from_millis(1500);
/// How recent an announcement is for its target to be taken back.
const FRESH: time::Duration = time::Duration::from_secs(2);
/// How long a target that left is kept after its last announcement.
const FORGET_LEFT: time::Duration = time::Duration::from_secs(10);
/// How long a target that was lost is kept after its last announcement.
const FORGET_LOST: time::Duration = time::Duration::from_secs(600);
/// The least change of warmth that is written to the log.
const WARM_STEP: f32 = 0.1;

pub(super) fn plan(
    state: &State,
    evidence: &Evidence,
    now: time::Duration,
    commands: &mut Vec<Command>,
) {
    for (name, seen) in &evidence.targets {
        let known = state.table.targets.get(name);
        let fresh = now.saturating_sub(seen.heard) <= FRESH;
        let announced = seen.announced.as_ref().filter(|_| fresh);
        if let Some(announced) = announced.filter(|a| would_change(state, known, a)) {
            commands.push(Command::Announce(announced.clone()));
            continue;
        }
        let Some(known) = known else {
            continue;
        };
        let (target, incarnation) = (name.clone(), known.incarnation);
        let lost = known.state == table::State::Lost;
        if !lost && is_dead(state, known, seen, now) {
            commands.push(Command::TargetLost {
                target,
                incarnation,
            });
        } else if lost && is_back(seen, now) {
            commands.push(Command::TargetBack {
                target,
                incarnation,
            });
        }
    }
    forget(state, evidence, now, commands);
}

fn would_change(state: &State, known: Option<&table::Target>, announced: &Announce) -> bool {
    let Some(known) = known else {
        return state.global.services.contains_key(&announced.service);
    };
    if announced.incarnation != known.incarnation {
        return announced.incarnation > known.incarnation;
    }
    if announced.address != known.address || announced.service != known.service {
        return false;
    }
    let wish = state.targets.get(&announced.target);
    let warmed = (announced.warm - known.warm).abs();
    known.slots != announced.slots
        || known.connections != announced.connections
        || known.checks_tokens != announced.checks_tokens
        || wish.is_some_and(|wish| wish.draining != announced.draining)
        || wish.is_some_and(|wish| wish.leaving != announced.leaving)
        || warmed >= WARM_STEP
        || (warmed > 0.0 && announced.warm >= 1.0)
}

/// A target is dead when its lane finds it so and it is silent too. One that goes on announcing
/// itself may be cut off from its lane's host alone: another host is tried first.
fn is_dead(state: &State, known: &table::Target, seen: &Target, now: time::Duration) -> bool {
    let Some(since) = seen.dead_since.filter(|_| known.lane.is_some()) else {
        return false;
    };
    let dead_for = now.saturating_sub(since);
    if seen.heard <= since {
        return dead_for >= DEAD;
    }
    let untried = state
        .hosts
        .keys()
        .any(|host| state.takes_lanes(host) && !seen.dead_from.contains(host));
    let limit = if untried { DEAD_BUT_HEARD } else { DEAD };
    dead_for >= limit
}

fn is_back(seen: &Target, now: time::Duration) -> bool {
    let recent = |at: time::Duration| now.saturating_sub(at) <= FRESH;
    recent(seen.heard) && seen.dead_since.is_none() && seen.alive_at.is_some_and(recent)
}

fn forget(state: &State, evidence: &Evidence, now: time::Duration, commands: &mut Vec<Command>) {
    for (name, target) in &state.table.targets {
        if target.state == table::State::Serving {
            continue;
        }
        let leaving = state.targets.get(name).is_some_and(|known| known.leaving);
        let limit = if leaving { FORGET_LEFT } else { FORGET_LOST };
        let lost = target.state == table::State::Lost;
        let silent = now.saturating_sub(last_heard(evidence, name));
        if (leaving || lost) && silent > limit && evidence.owned(name).next().is_none() {
            commands.push(Command::Forget {
                target: name.clone(),
                incarnation: target.incarnation,
            });
        }
    }
}

fn last_heard(evidence: &Evidence, target: &id::Target) -> time::Duration {
    let heard = evidence.targets.get(target).map(|seen| seen.heard);
    heard.unwrap_or_default().max(evidence.since())
}
