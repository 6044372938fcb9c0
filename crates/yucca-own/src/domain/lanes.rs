//! Applies changes of lanes: at most one host sends requests to a target, and another is standby.
//!
//! A lane passes to another host only after its host confirmed that it sends nothing more, or after
//! the lease of its host lapsed. Until then the target has no lane and keeps the token of the old
//! one.

use yucca_wire::id;
use yucca_wire::table;

use super::apply::TokenSource;
use super::{Ending, Reply, State};

impl State {
    /// Returns whether a host may be assigned lanes.
    pub(super) fn accepts_lanes(&self, host: &id::Host) -> bool {
        let known = self.hosts.get(host);
        known.is_some_and(|known| known.up && !known.stopping)
    }

    /// Returns the target if its newest lane has this token.
    fn target_with_token(
        &mut self,
        target: &id::Target,
        token: id::Token,
    ) -> Option<&mut table::Target> {
        let found = self.table.targets.get(target)?;
        if found.token != token {
            return None;
        }
        self.table_mut().targets.get_mut(target)
    }

    pub(super) fn set_lane(
        &mut self,
        target: &id::Target,
        token: id::Token,
        host: &id::Host,
        tokens: &mut TokenSource,
    ) -> Reply {
        let ending = self.targets.get(target).and_then(|t| t.ending.as_ref());
        if ending.is_some() || !self.accepts_lanes(host) {
            return Reply::Stale;
        }
        match self.target_with_token(target, token) {
            Some(found) if found.lane.is_none() => {
                found.lane = Some(host.clone());
                found.standby = None;
                found.token = tokens.next_token();
            }
            _ => return Reply::Stale,
        }
        self.clear_copy(target);
        Reply::Done
    }

    pub(super) fn set_standby(
        &mut self,
        target: &id::Target,
        token: id::Token,
        host: &id::Host,
    ) -> Reply {
        if !self.accepts_lanes(host) {
            return Reply::Stale;
        }
        let host = Some(host.clone());
        match self.target_with_token(target, token) {
            Some(found) if found.lane.is_some() && found.lane != host && found.standby != host => {
                found.standby = host;
            }
            _ => return Reply::Stale,
        }
        self.clear_copy(target);
        Reply::Done
    }

    pub(super) fn copied(
        &mut self,
        target: &id::Target,
        token: id::Token,
        host: &id::Host,
    ) -> Reply {
        let found = self.table.targets.get(target);
        let current = found.is_some_and(|found| {
            found.token == token && found.lane.is_some() && found.standby.as_ref() == Some(host)
        });
        let known = self.targets.get_mut(target).filter(|_| current);
        match known {
            Some(known) if known.copied.as_ref() != Some(host) => {
                known.copied = Some(host.clone());
                Reply::Done
            }
            _ => Reply::Stale,
        }
    }

    pub(super) fn yield_lane(
        &mut self,
        version: id::Version,
        target: &id::Target,
        token: id::Token,
    ) -> Reply {
        let Some(found) = self.target_with_token(target, token) else {
            return Reply::Stale;
        };
        if found.standby.is_none() {
            return Reply::Stale;
        }
        let Some(host) = found.lane.take() else {
            return Reply::Stale;
        };
        let known = self.targets.entry(target.clone()).or_default();
        known.ending = Some(Ending { host, version });
        Reply::Done
    }

    pub(super) fn left(
        &mut self,
        target: &id::Target,
        token: id::Token,
        tokens: &mut TokenSource,
    ) -> Reply {
        let current = self.target_with_token(target, token).is_some();
        let known = self.targets.get_mut(target).filter(|_| current);
        let Some(known) = known.filter(|known| known.ending.is_some()) else {
            return Reply::Stale;
        };
        known.ending = None;
        self.take_over(target, tokens);
        Reply::Done
    }

    /// Ends every lane and standby of a host whose lease lapsed or whose process was restarted.
    pub(super) fn end_lanes_of(&mut self, host: &id::Host, tokens: &mut TokenSource) {
        let names: Vec<id::Target> = self.table.targets.keys().cloned().collect();
        for name in names {
            let Some(target) = self.table.targets.get(&name) else {
                continue;
            };
            let stands_by = target.standby.as_ref() == Some(host);
            let held = target.lane.as_ref() == Some(host);
            if stands_by && let Some(target) = self.table_mut().targets.get_mut(&name) {
                target.standby = None;
            }
            if stands_by {
                self.clear_copy(&name);
            }
            let known = self.targets.entry(name.clone()).or_default();
            let ending = known.ending.as_ref().is_some_and(|e| e.host == *host);
            if ending {
                known.ending = None;
            }
            if held || ending {
                self.take_over(&name, tokens);
            }
        }
    }

    /// Makes the standby the host of the lane. Without a standby that is up, the target has no lane
    /// until a new one is assigned.
    fn take_over(&mut self, target: &id::Target, tokens: &mut TokenSource) {
        let standby = self
            .table
            .targets
            .get(target)
            .and_then(|t| t.standby.clone());
        let up = |host: &id::Host| self.hosts.get(host).is_some_and(|host| host.up);
        let next = standby.filter(up);
        if let Some(found) = self.table_mut().targets.get_mut(target) {
            found.standby = None;
            if next.is_some() {
                found.token = tokens.next_token();
            }
            found.lane = next;
        }
        self.clear_copy(target);
    }

    fn clear_copy(&mut self, target: &id::Target) {
        if let Some(known) = self.targets.get_mut(target) {
            known.copied = None;
        }
    }
}
