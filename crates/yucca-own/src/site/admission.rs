//! Decides what an announcement or a deregistration of a target changes.
//!
//! To register a new instance ends the earlier ones with its name or address. The announcement proves
//! that they have ended only if a target starts again at its own address: another deployment may use
//! the same private addresses, and its targets may announce themselves here by mistake.
//!
//! Load pattern: announcements of another deployment, with addresses at which targets of this one
//! are up and hold keys.

use std::fmt;
use std::time;

use crate::site::{State, item, lease, target};

/// What an announcement leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The target is registered, or its record changes.
    Register,
    /// The target is not registered: no such service is configured.
    UnknownService(item::Name),
    /// The target is not registered yet: this earlier instance, which has its name or address, may be
    /// up.
    Occupied(target::Instance),
}

impl fmt::Display for Admission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Register => write!(f, "registered"),
            Self::UnknownService(service) => write!(f, "no service {service} is configured"),
            Self::Occupied(instance) => {
                write!(f, "target {instance} has its name or address and may be up")
            }
        }
    }
}

/// Decides on the announcement of a target.
pub fn admit(
    state: &State,
    leases: &lease::Registry,
    target: &target::Target,
    now: time::Duration,
) -> Admission {
    // What a registered target says of itself counts, even if its service has been removed.
    if state.targets.instance(&target.instance).is_some() {
        return Admission::Register;
    }
    if state.items.service(&target.service).is_none() {
        return Admission::UnknownService(target.service.clone());
    }
    match occupant(state, leases, target, now) {
        Some(instance) => Admission::Occupied(instance),
        None => Admission::Register,
    }
}

/// Returns an earlier instance that would count as gone if the target was registered, and may be up.
fn occupant(
    state: &State,
    leases: &lease::Registry,
    target: &target::Target,
    now: time::Duration,
) -> Option<target::Instance> {
    let mut others = state
        .targets
        .predecessors(target)
        .filter(|record| !record.target.is_restarted_as(target));
    let record = others.find(|record| leases.may_be_up(record, now))?;
    Some(record.target.instance.clone())
}

/// Maximum number of stored instances that have deregistered and were never announced. Targets of
/// another deployment may deregister here, too.
const MAX_DEPARTED: usize = 1024;

/// What a deregistration leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Departure {
    /// This registered instance has left.
    Leave(target::Instance),
    /// The instance is not registered. This record is stored, because its announcement may be on the
    /// way.
    Store(target::Target),
    /// A later instance is registered, so an announcement of this one has no effect anyway.
    Superseded,
    /// Nothing is stored, for this reason, so the deregistration must not be acknowledged.
    Refuse(String),
}

/// Decides on the deregistration of a target. `started` is the start time of the instance, and `None`
/// means the latest one.
pub fn depart(
    state: &State,
    leases: &lease::Registry,
    name: &item::Name,
    started: Option<u64>,
    now: time::Duration,
) -> Departure {
    let latest = state.targets.latest(name);
    let latest = latest.map(|record| &record.target.instance);
    let started = match (latest, started) {
        (Some(latest), None) => return Departure::Leave(latest.clone()),
        (Some(latest), Some(started)) if latest.started == started => {
            return Departure::Leave(latest.clone());
        }
        (Some(latest), Some(started)) if latest.started > started => {
            return Departure::Superseded;
        }
        (_, Some(started)) => started,
        (None, None) => {
            let reason = format!("target {name} is unknown, and its start time is not given");
            return Departure::Refuse(reason);
        }
    };
    let departed = target::Target::departed(target::Instance {
        name: name.clone(),
        started,
    });
    if let Some(instance) = occupant(state, leases, &departed, now) {
        return Departure::Refuse(format!("target {instance} has its name and may be up"));
    }
    if state.targets.departed_count() >= MAX_DEPARTED {
        let reason = format!("{MAX_DEPARTED} targets have left without an announcement");
        return Departure::Refuse(reason);
    }
    Departure::Store(departed)
}
