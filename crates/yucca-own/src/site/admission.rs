//! Decides whether an announced target is registered.
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
    let mut others = state
        .targets
        .predecessors(target)
        .filter(|record| !record.target.is_restarted_as(target));
    match others.find(|record| leases.may_be_up(record, now)) {
        Some(record) => Admission::Occupied(record.target.instance.clone()),
        None => Admission::Register,
    }
}
