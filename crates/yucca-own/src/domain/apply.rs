//! Applies the commands of a domain's log. The effects on hosts and targets are here, those on lanes,
//! shards and pins in [`lanes`](super::lanes), [`owners`](super::owners) and [`pins`](super::pins).

use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::table;

use super::{Announce, Command, Host, Reply, State};
use crate::delta;

/// Source of the fencing tokens that one log entry issues; each is higher than all earlier ones.
pub(super) struct TokenSource {
    next: id::Token,
}

impl TokenSource {
    fn new(generation: u32, version: id::Version) -> Self {
        let next = id::Token {
            generation,
            version: version.0,
            counter: 0,
        };
        Self { next }
    }

    pub(super) fn next_token(&mut self) -> id::Token {
        let token = self.next;
        self.next.counter += 1;
        token
    }
}

impl State {
    /// Applies the command at this version of the domain's log.
    pub fn apply(&mut self, version: id::Version, command: &Command) -> Reply {
        let reply = self.dispatch(version, command);
        if reply == Reply::Done {
            self.table_mut().version = version;
        }
        reply
    }

    fn dispatch(&mut self, version: id::Version, command: &Command) -> Reply {
        let tokens = &mut TokenSource::new(self.generation(), version);
        match command {
            Command::Global(global) => self.apply_global(global),
            Command::GlobalChange(change) => self.apply_global_change(change),
            Command::Announce(announce) => self.announce(announce, tokens),
            Command::TargetLost {
                target,
                incarnation,
            } => self.target_lost(target, *incarnation),
            Command::TargetBack {
                target,
                incarnation,
            } => self.target_back(target, *incarnation),
            Command::Forget {
                target,
                incarnation,
            } => self.forget(target, *incarnation),
            Command::HostLost { host, incarnation } => self.host_lost(host, *incarnation, tokens),
            Command::HostUp { host, incarnation } => self.host_up(host, *incarnation),
            Command::Stopping { host, incarnation } => self.stopping(host, *incarnation),
            Command::Lane {
                target,
                token,
                host,
            } => self.set_lane(target, *token, host, tokens),
            Command::Standby {
                target,
                token,
                host,
            } => self.set_standby(target, *token, host),
            Command::Copied {
                target,
                token,
                host,
            } => self.copied(target, *token, host),
            Command::Yield { target, token } => self.yield_lane(version, target, *token),
            Command::Left { target, token } => self.left(target, *token, tokens),
            Command::Own { service, grants } => self.own(service, grants, tokens),
            Command::Move { service, shifts } => self.shift(service, shifts),
            Command::Released {
                target,
                token,
                releases,
            } => self.released(target, *token, releases, tokens),
            Command::Pin(pin) => self.pin(pin, tokens),
            Command::Unpin {
                service,
                key,
                token,
            } => self.unpin(service, key, *token),
        }
    }

    fn apply_global_change(&mut self, change: &report::Change<table::Global>) -> Reply {
        match delta::apply(Some(&*self.global), change.clone()) {
            Ok(global) => self.apply_global(&std::sync::Arc::new(global)),
            Err(_) => Reply::Stale,
        }
    }

    fn apply_global(&mut self, global: &std::sync::Arc<table::Global>) -> Reply {
        if global.version <= self.global.version {
            return Reply::Stale;
        }
        self.global = std::sync::Arc::clone(global);
        self.table_mut().global = global.version;
        self.remove_foreign();
        self.mark_leaving();
        self.refresh_states();
        let hosts = global.domains.get(&self.table.domain);
        let known = |host: &id::Host| hosts.is_some_and(|domain| domain.hosts.contains_key(host));
        for (name, host) in &mut self.hosts {
            // A host that is no longer in the settings hands over its lanes, as when it stops.
            host.stopping |= !known(name);
        }
        Reply::Done
    }

    /// Applies an announcement of a target. A target with a higher incarnation has no memory of its
    /// grants, so everything that it owns is granted again with new tokens.
    fn announce(&mut self, announce: &Announce, tokens: &mut TokenSource) -> Reply {
        let old = self.table.targets.get(&announce.target);
        let restarted = old.is_some_and(|old| announce.incarnation > old.incarnation);
        if let Some(old) = old {
            let moved = old.address != announce.address || old.service != announce.service;
            let stale = announce.incarnation < old.incarnation;
            // If two targets have the same name and incarnation, the first one is kept.
            if stale || (moved && !restarted) {
                return Reply::Stale;
            }
            if old.service != announce.service && self.owns_any(&announce.target) {
                return Reply::Stale;
            }
        }
        if self.is_unchanged(announce) {
            return Reply::Stale;
        }
        let name = announce.target.clone();
        let known = self.targets.entry(name.clone()).or_default();
        known.draining = announce.draining;
        known.leaving = announce.leaving;
        if restarted {
            known.lost = false;
        }
        let old = self.table.targets.get(&name);
        let target = table::Target {
            service: announce.service.clone(),
            address: announce.address,
            incarnation: announce.incarnation,
            slots: announce.slots,
            connections: announce.connections,
            checks_tokens: announce.checks_tokens,
            state: table::State::Serving,
            lane: old.and_then(|old| old.lane.clone()),
            standby: old.and_then(|old| old.standby.clone()),
            token: old.map_or(id::Token::default(), |old| old.token),
            warm: announce.warm,
        };
        self.table_mut().targets.insert(name.clone(), target);
        self.refresh_states();
        if restarted {
            self.reissue_grants(&name, tokens);
        }
        Reply::Done
    }

    /// Returns whether an announcement changes nothing.
    fn is_unchanged(&self, announce: &Announce) -> bool {
        let table = self.table.targets.get(&announce.target);
        let requested = self.targets.get(&announce.target);
        table.zip(requested).is_some_and(|(target, requested)| {
            target.service == announce.service
                && target.address == announce.address
                && target.incarnation == announce.incarnation
                && target.slots == announce.slots
                && target.connections == announce.connections
                && target.checks_tokens == announce.checks_tokens
                && target.warm == announce.warm
                && requested.draining == announce.draining
                && requested.leaving == announce.leaving
        })
    }

    fn target_lost(&mut self, target: &id::Target, incarnation: u64) -> Reply {
        if !self.is_current(target, incarnation) {
            return Reply::Stale;
        }
        let known = self.targets.entry(target.clone()).or_default();
        if known.lost {
            return Reply::Stale;
        }
        known.lost = true;
        self.refresh_states();
        self.evacuate(target);
        Reply::Done
    }

    fn target_back(&mut self, target: &id::Target, incarnation: u64) -> Reply {
        if !self.is_current(target, incarnation) {
            return Reply::Stale;
        }
        let known = self.targets.entry(target.clone()).or_default();
        if !known.lost {
            return Reply::Stale;
        }
        known.lost = false;
        self.refresh_states();
        Reply::Done
    }

    fn forget(&mut self, target: &id::Target, incarnation: u64) -> Reply {
        let known = self.table.targets.get(target);
        let serving = known.is_none_or(|known| known.state == table::State::Serving);
        if serving || !self.is_current(target, incarnation) || self.owns_any(target) {
            return Reply::Stale;
        }
        self.targets.shift_remove(target);
        self.table_mut().targets.shift_remove(target);
        Reply::Done
    }

    fn is_current(&self, target: &id::Target, incarnation: u64) -> bool {
        let known = self.table.targets.get(target);
        known.is_some_and(|known| known.incarnation == incarnation)
    }

    /// Sets the state of each target from its own requests, the operators' drains, and whether it
    /// is lost.
    fn refresh_states(&mut self) {
        let mut changed = Vec::new();
        for (name, target) in &self.table.targets {
            let state = self.state_of(name, &target.service);
            if state != target.state {
                changed.push((name.clone(), state));
            }
        }
        for (name, state) in changed {
            if let Some(target) = self.table_mut().targets.get_mut(&name) {
                target.state = state;
            }
        }
    }

    fn state_of(&self, name: &id::Target, service: &id::Service) -> table::State {
        let drains = self.global.drains.get(service);
        let drained = drains.is_some_and(|drains| drains.contains(name));
        match self.targets.get(name) {
            Some(known) if known.lost => table::State::Lost,
            Some(known) if known.draining || known.leaving => table::State::Draining,
            _ if drained => table::State::Draining,
            _ => table::State::Serving,
        }
    }

    fn host_up(&mut self, host: &id::Host, incarnation: u64) -> Reply {
        let known = self.hosts.get(host);
        if known.is_some_and(|known| known.up || incarnation < known.incarnation) {
            return Reply::Stale;
        }
        let domain = self.global.domains.get(&self.table.domain);
        if !domain.is_some_and(|domain| domain.hosts.contains_key(host)) {
            return Reply::Stale;
        }
        let state = Host {
            incarnation,
            up: true,
            stopping: false,
        };
        self.hosts.insert(host.clone(), state);
        Reply::Done
    }

    fn stopping(&mut self, host: &id::Host, incarnation: u64) -> Reply {
        match self.hosts.get_mut(host) {
            Some(known) if known.incarnation == incarnation && known.up && !known.stopping => {
                known.stopping = true;
                Reply::Done
            }
            _ => Reply::Stale,
        }
    }

    fn host_lost(&mut self, host: &id::Host, incarnation: u64, tokens: &mut TokenSource) -> Reply {
        match self.hosts.get_mut(host) {
            Some(known) if known.incarnation == incarnation && known.up => known.up = false,
            _ => return Reply::Stale,
        }
        self.end_lanes_of(host, tokens);
        Reply::Done
    }
}
