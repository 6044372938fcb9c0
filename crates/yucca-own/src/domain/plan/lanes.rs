//! Plans the host and the standby of each target's lane.

use std::time;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::table;

use crate::domain::{Command, Evidence, State};

/// Time for which a host must have reported without a gap before lanes are balanced onto it.
const MIN_STEADY_TIME: time::Duration = time::Duration::from_secs(5);
/// Minimum difference in lanes between two hosts at which a lane is moved.
const MIN_IMBALANCE: usize = 2;
/// Maximum time that the lanes of a stopping host wait for their standbys to have complete copies.
const COPY_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time after which a lane that cannot reach its target is handed over to its standby, if the target
/// still announces itself and the standby has not failed to reach it.
const HANDOVER_DELAY: time::Duration = time::Duration::from_millis(300);

/// Number of lanes and standbys of each host.
type Counts = IndexMap<id::Host, Count>;

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    lanes: usize,
    standbys: usize,
}

pub(super) fn plan(
    state: &State,
    evidence: &Evidence,
    now: time::Duration,
    commands: &mut Vec<Command>,
) {
    let mut counts = count(state);
    for (name, target) in &state.table.targets {
        if let Some(command) = lane_report(state, evidence, name, target) {
            commands.push(command);
        }
        let command = assign(state, name, target, &mut counts)
            .or_else(|| assign_standby(state, name, target, &mut counts))
            .or_else(|| hand_over(state, evidence, name, target, now));
        commands.extend(command);
    }
    commands.extend(balance(state, evidence, now, &counts));
}

fn count(state: &State) -> Counts {
    let hosts = state.hosts.keys().filter(|host| state.accepts_lanes(host));
    let mut counts: Counts = hosts.map(|host| (host.clone(), Count::default())).collect();
    for (name, target) in &state.table.targets {
        if let Some(count) = target.lane.as_ref().and_then(|host| counts.get_mut(host)) {
            count.lanes += 1;
        }
        let ending = state.targets.get(name).is_some_and(|t| t.ending.is_some());
        let standby = target
            .standby
            .as_ref()
            .and_then(|host| counts.get_mut(host));
        match standby {
            Some(count) if ending => count.lanes += 1,
            Some(count) => count.standbys += 1,
            None => {}
        }
    }
    counts
}

/// Returns the command that records what the lane reported: that it ended, or that its standby has
/// a complete copy.
fn lane_report(
    state: &State,
    evidence: &Evidence,
    name: &id::Target,
    target: &table::Target,
) -> Option<Command> {
    let known = state.targets.get(name)?;
    let (target_name, token) = (name.clone(), target.token);
    let seen = evidence.targets.get(name);
    let seen = seen.filter(|seen| seen.token == target.token);
    if let Some(ending) = &known.ending {
        let confirmed = seen.is_some_and(|seen| seen.left);
        let closed = evidence.has_closed_lane(&ending.host, state.domain(), name, ending.version);
        return (confirmed || closed).then_some(Command::Left {
            target: target_name,
            token,
        });
    }
    let seen = seen?;
    let copied = seen.copied.as_ref()?;
    let is_new = target.standby.as_ref() == Some(copied) && known.copied.as_ref() != Some(copied);
    (is_new && target.lane.is_some()).then(|| Command::Copied {
        target: target_name,
        token,
        host: copied.clone(),
    })
}

fn assign(
    state: &State,
    name: &id::Target,
    target: &table::Target,
    counts: &mut Counts,
) -> Option<Command> {
    let ending = state.targets.get(name).and_then(|t| t.ending.as_ref());
    if target.lane.is_some() || ending.is_some() {
        return None;
    }
    let (host, count) = counts
        .iter_mut()
        .min_by_key(|(_, count)| (count.lanes, count.standbys))?;
    count.lanes += 1;
    Some(Command::Lane {
        target: name.clone(),
        token: target.token,
        host: host.clone(),
    })
}

fn assign_standby(
    state: &State,
    name: &id::Target,
    target: &table::Target,
    counts: &mut Counts,
) -> Option<Command> {
    let lane = target.lane.as_ref()?;
    let usable = target
        .standby
        .as_ref()
        .is_some_and(|host| state.accepts_lanes(host));
    if usable {
        return None;
    }
    let others = counts.iter_mut().filter(|(host, _)| *host != lane);
    let (host, count) = others.min_by_key(|(_, count)| (count.standbys, count.lanes))?;
    count.standbys += 1;
    Some(Command::Standby {
        target: name.clone(),
        token: target.token,
        host: host.clone(),
    })
}

/// Ends a lane whose host stops or cannot reach the target.
fn hand_over(
    state: &State,
    evidence: &Evidence,
    name: &id::Target,
    target: &table::Target,
    now: time::Duration,
) -> Option<Command> {
    let seen = evidence.targets.get(name);
    let lane = target.lane.as_ref()?;
    let standby = target.standby.as_ref()?;
    let stopping = !state.accepts_lanes(lane);
    let copied = state.targets.get(name).and_then(|t| t.copied.as_ref());
    let unreachable = seen.is_some_and(|seen| {
        let unreachable_for = |since: time::Duration| now.saturating_sub(since);
        let timed_out = seen.unreachable_since.is_some_and(|since| {
            seen.last_announced > since && unreachable_for(since) >= HANDOVER_DELAY
        });
        timed_out && !seen.unreachable_from.contains(standby)
    });
    let host = evidence.hosts.get(lane);
    let since = host.and_then(|host| host.stopping);
    let waits_for_copy = since.is_none_or(|since| now.saturating_sub(since) < COPY_TIMEOUT);
    let ready = copied == Some(standby) || !waits_for_copy;
    ((stopping && ready) || unreachable).then(|| Command::Yield {
        target: name.clone(),
        token: target.token,
    })
}

/// Moves one lane at a time from the host with the most lanes to the host with the fewest. The
/// destination first becomes the standby, and takes over once it has a complete copy.
fn balance(
    state: &State,
    evidence: &Evidence,
    now: time::Duration,
    counts: &Counts,
) -> Option<Command> {
    if state.targets.values().any(|target| target.ending.is_some()) {
        return None;
    }
    let (most, high) = counts.iter().max_by_key(|(_, count)| count.lanes)?;
    let (least, low) = counts.iter().min_by_key(|(_, count)| count.lanes)?;
    let steady = evidence
        .hosts
        .get(least)
        .is_some_and(|seen| now.saturating_sub(seen.steady_since) >= MIN_STEADY_TIME);
    if high.lanes < low.lanes + MIN_IMBALANCE || !steady {
        return None;
    }
    let targets = state.table.targets.iter();
    let mut held = targets.filter(|(_, target)| target.lane.as_ref() == Some(most));
    let ready = held.clone().find(|(name, target)| {
        let copied = state.targets.get(*name).and_then(|t| t.copied.as_ref());
        target.standby.as_ref() == Some(least) && copied == Some(least)
    });
    if let Some((name, target)) = ready {
        return Some(Command::Yield {
            target: name.clone(),
            token: target.token,
        });
    }
    let prepared = held
        .clone()
        .any(|(_, target)| target.standby.as_ref() == Some(least));
    let (name, target) = held.next().filter(|_| !prepared)?;
    Some(Command::Standby {
        target: name.clone(),
        token: target.token,
        host: least.clone(),
    })
}
