//! Plans the registration, loss, return and removal of targets.

use std::time;

use yucca_wire::id;
use yucca_wire::table;

use crate::domain::evidence::Target;
use crate::domain::{Announce, Command, Evidence, State};

/// Time after which a target that its lane cannot reach is lost, if it does not announce itself or
/// no host can reach it.
const UNREACHABLE_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Time after which a target that its lane cannot reach is lost although it announces itself, while
/// there are hosts that have not tried to reach it.
const ANNOUNCING_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Maximum age of an announcement that is applied, and of the observations with which a lost target
/// returns.
const ANNOUNCEMENT_MAX_AGE: time::Duration = time::Duration::from_secs(2);
/// Time for which a leaving target is retained after its last announcement.
const LEFT_RETENTION: time::Duration = time::Duration::from_secs(10);
/// Time for which a lost target is retained after its last announcement.
const LOST_RETENTION: time::Duration = time::Duration::from_secs(600);
/// Minimum change of warm-up progress that is written to the log.
const MIN_WARM_CHANGE: f32 = 0.1;

pub(super) fn plan(
    state: &State,
    evidence: &Evidence,
    now: time::Duration,
    commands: &mut Vec<Command>,
) {
    for (name, seen) in &evidence.targets {
        let known = state.table.targets.get(name);
        let fresh = now.saturating_sub(seen.last_announced) <= ANNOUNCEMENT_MAX_AGE;
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
        if !lost && is_lost(state, known, seen, now) {
            commands.push(Command::TargetLost {
                target,
                incarnation,
            });
        } else if lost && has_returned(seen, now) {
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
    let requested = state.targets.get(&announced.target);
    let warm_change = (announced.warm - known.warm).abs();
    known.slots != announced.slots
        || known.connections != announced.connections
        || known.checks_tokens != announced.checks_tokens
        || requested.is_some_and(|requested| requested.draining != announced.draining)
        || requested.is_some_and(|requested| requested.leaving != announced.leaving)
        || warm_change >= MIN_WARM_CHANGE
        || (warm_change > 0.0 && announced.warm >= 1.0)
}

/// Returns whether a target is lost: its lane has not reached it for [`UNREACHABLE_TIMEOUT`], or for
/// [`ANNOUNCING_TIMEOUT`] if it still announces itself and some hosts have not tried to reach it. Such
/// a target may be unreachable from the host of its lane only, so other hosts are tried first.
fn is_lost(state: &State, known: &table::Target, seen: &Target, now: time::Duration) -> bool {
    let Some(since) = seen.unreachable_since.filter(|_| known.lane.is_some()) else {
        return false;
    };
    let unreachable_for = now.saturating_sub(since);
    if seen.last_announced <= since {
        return unreachable_for >= UNREACHABLE_TIMEOUT;
    }
    let untried = state
        .hosts
        .keys()
        .any(|host| state.accepts_lanes(host) && !seen.unreachable_from.contains(host));
    let limit = if untried {
        ANNOUNCING_TIMEOUT
    } else {
        UNREACHABLE_TIMEOUT
    };
    unreachable_for >= limit
}

fn has_returned(seen: &Target, now: time::Duration) -> bool {
    let recent = |at: time::Duration| now.saturating_sub(at) <= ANNOUNCEMENT_MAX_AGE;
    recent(seen.last_announced)
        && seen.unreachable_since.is_none()
        && seen.reachable_at.is_some_and(recent)
}

fn forget(state: &State, evidence: &Evidence, now: time::Duration, commands: &mut Vec<Command>) {
    for (name, target) in &state.table.targets {
        if target.state == table::State::Serving {
            continue;
        }
        let leaving = state.targets.get(name).is_some_and(|known| known.leaving);
        let limit = if leaving {
            LEFT_RETENTION
        } else {
            LOST_RETENTION
        };
        let lost = target.state == table::State::Lost;
        let silent = now.saturating_sub(last_announced(evidence, name));
        if (leaving || lost) && silent > limit && evidence.owned(name).next().is_none() {
            commands.push(Command::Forget {
                target: name.clone(),
                incarnation: target.incarnation,
            });
        }
    }
}

fn last_announced(evidence: &Evidence, target: &id::Target) -> time::Duration {
    let announced_at = evidence.targets.get(target).map(|seen| seen.last_announced);
    announced_at.unwrap_or_default().max(evidence.since())
}
