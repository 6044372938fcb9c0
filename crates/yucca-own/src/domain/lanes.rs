//! Lanes: exactly one host sends a target its work, and another one stands by.
//!
//! A lane changes hands only when its host said that it sends nothing more, or when its host's
//! lease lapsed. Until then the target has no lane, and the token stays that of the old one.

use yucca_wire::id;
use yucca_wire::table;

use super::apply::Mint;
use super::{Ending, Reply, State};

impl State {
    /// Tells whether a host may take a lane.
    pub(super) fn takes_lanes(&self, host: &id::Host) -> bool {
        let known = self.hosts.get(host);
        known.is_some_and(|known| known.up && !known.stopping)
    }

    /// Returns a target whose newest lane has this token.
    fn with_token(&mut self, target: &id::Target, token: id::Token) -> Option<&mut table::Target> {
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
        mint: &mut Mint,
    ) -> Reply {
        let ending = self.targets.get(target).and_then(|t| t.ending.as_ref());
        if ending.is_some() || !self.takes_lanes(host) {
            return Reply::Stale;
        }
        match self.with_token(target, token) {
            Some(found) if found.lane.is_none() => {
                found.lane = Some(host.clone());
                found.standby = None;
                found.token = mint.token();
            }
            _ => return Reply::Stale,
        }
        self.forget_copy(target);
        Reply::Done
    }

    pub(super) fn set_standby(
        &mut self,
        target: &id::Target,
        token: id::Token,
        host: &id::Host,
    ) -> Reply {
        if !self.takes_lanes(host) {
            return Reply::Stale;
        }
        let host = Some(host.clone());
        match self.with_token(target, token) {
            Some(found) if found.lane.is_some() && found.lane != host && found.standby != host => {
                found.standby = host;
            }
            _ => return Reply::Stale,
        }
        self.forget_copy(target);
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
        let Some(found) = self.with_token(target, token) else {
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

    pub(super) fn left(&mut self, target: &id::Target, token: id::Token, mint: &mut Mint) -> Reply {
        let current = self.with_token(target, token).is_some();
        let known = self.targets.get_mut(target).filter(|_| current);
        let Some(known) = known.filter(|known| known.ending.is_some()) else {
            return Reply::Stale;
        };
        known.ending = None;
        self.take_over(target, mint);
        Reply::Done
    }

    /// Ends every lane and standby of a host whose lease lapsed.
    pub(super) fn end_lanes_of(&mut self, host: &id::Host, mint: &mut Mint) {
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
                self.forget_copy(&name);
            }
            let known = self.targets.entry(name.clone()).or_default();
            let ending = known.ending.as_ref().is_some_and(|e| e.host == *host);
            if ending {
                known.ending = None;
            }
            if held || ending {
                self.take_over(&name, mint);
            }
        }
    }

    /// Makes the standby the lane; without one the target waits for a new lane.
    fn take_over(&mut self, target: &id::Target, mint: &mut Mint) {
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
                found.token = mint.token();
            }
            found.lane = next;
        }
        self.forget_copy(target);
    }

    fn forget_copy(&mut self, target: &id::Target) {
        if let Some(known) = self.targets.get_mut(target) {
            known.copied = None;
        }
    }
}
