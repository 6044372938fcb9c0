//! Plans which hosts may hold lanes.

use std::time;

use crate::domain::{Command, Evidence, State};
use crate::lease;

pub(super) fn plan(
    state: &State,
    evidence: &Evidence,
    now: time::Duration,
    commands: &mut Vec<Command>,
) {
    for (name, host) in state.hosts.iter().filter(|(_, host)| host.up) {
        let seen = evidence.hosts.get(name);
        if seen.is_some_and(|seen| seen.lapsed) {
            commands.push(Command::HostLost {
                host: name.clone(),
                incarnation: host.incarnation,
            });
        } else if seen.is_some_and(|seen| seen.stopping.is_some()) && !host.stopping {
            commands.push(Command::Stopping {
                host: name.clone(),
                incarnation: host.incarnation,
            });
        }
    }
    let domain = state.global.domains.get(state.domain());
    for (name, seen) in &evidence.hosts {
        let known = domain.is_some_and(|domain| domain.hosts.contains_key(name));
        let up = state.hosts.get(name).is_some_and(|host| host.up);
        let fresh = now.saturating_sub(seen.last_report) <= lease::HOST;
        if known && !up && fresh && !seen.lapsed && seen.stopping.is_none() {
            commands.push(Command::HostUp {
                host: name.clone(),
                incarnation: seen.incarnation,
            });
        }
    }
}
