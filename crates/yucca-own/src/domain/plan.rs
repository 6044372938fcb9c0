//! Plans the commands that the leader of a domain's log proposes.

mod health;
mod hosts;
mod lanes;
mod loads;
mod moves;
mod pins;
mod placement;

use std::time;

use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::table;

use super::{Command, Evidence, State};

impl State {
    /// Returns the commands that the leader should propose now. Call it again once these have been
    /// applied and [`Evidence::observe`] has been called.
    pub fn plan(&self, evidence: &Evidence, now: time::Duration) -> Vec<Command> {
        let mut commands = Vec::new();
        hosts::plan(self, evidence, now, &mut commands);
        health::plan(self, evidence, now, &mut commands);
        lanes::plan(self, evidence, now, &mut commands);
        moves::plan(self, evidence, now, &mut commands);
        commands
    }

    /// Returns whether a release would still take effect.
    pub(super) fn awaits_release(
        &self,
        name: &id::Target,
        target: &table::Target,
        release: &report::Release,
    ) -> bool {
        let service = &target.service;
        let owner = match &release.key {
            Some(key) => self.table.pins.get(service).and_then(|pins| pins.get(key)),
            None => self.owner(service, release.shard),
        };
        owner.is_some_and(|owner| {
            owner.moving && owner.target == *name && owner.token == release.token
        })
    }
}
