//! Moves of shards and pins, drains and changes of the settings.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;

use super::{Change, Config, Lane, Output, Place};
use crate::owners;
use crate::request;

/// How long a draining target still gets the work of what it owns.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

impl Lane {
    pub(super) fn own(&mut self, change: Change) {
        match change {
            Change::Grant {
                scope,
                token,
                ledger,
            } => {
                self.inherit(ledger);
                self.owners.grant(&scope, token);
            }
            Change::Hold { scope } => self.owners.hold(&scope),
            Change::Resume { scope } => self.owners.resume(&scope),
            Change::Release { scope, to } => self.release(&scope, to),
        }
        self.sort_held();
    }

    pub(super) fn configure(&mut self, config: Config, drain: bool) {
        let standby_changed = config.standby != self.config.standby;
        self.config = Config {
            target: self.config.target.clone(),
            token: self.config.token,
            ledger_gap: self.config.ledger_gap,
            keyed: self.config.keyed,
            seed: self.config.seed,
            lease: config.lease.or(self.config.lease),
            ..config
        };
        let reserve = self.config.limits.short_reserve;
        self.slots
            .configure(self.config.slots, reserve, self.config.warm);
        self.budget.set_share(self.config.retry.budget);
        if standby_changed {
            self.restart_copy();
        }
        self.drained_at = match (drain, self.drained_at) {
            (false, _) => None,
            (true, since) => since.or(Some(self.now)),
        };
        self.sort_held();
    }

    /// Tells whether the target drains for so long that it gets nothing new.
    pub(super) fn is_drained(&self) -> bool {
        let ends = self.drained_at.map(|at| at + DRAIN_GRACE);
        ends.is_some_and(|at| self.now >= at)
    }

    /// Returns when the target gets nothing new any more.
    pub(super) fn drain_ends(&self) -> Option<Duration> {
        let ends = self.drained_at.map(|at| at + DRAIN_GRACE);
        ends.filter(|at| *at > self.now)
    }

    /// Moves what waits for a drained target out of its queues.
    pub(super) fn end_drain(&mut self) {
        if self.is_drained() && self.short.len() + self.long.len() > 0 {
            self.sort_held();
            if !self.config.keyed {
                self.refuse_drained();
            }
        }
    }

    /// Tells which moving shards and pins no longer have work at the target.
    pub(super) fn tell_released(&mut self) {
        for (scope, release) in self.owners.moving() {
            if self.is_busy(&scope) {
                continue;
            }
            self.owners.set(&scope, owners::State::Released);
            let ledger = self.snapshot(Some(scope.shard()));
            self.out.push(Output::Released { release, ledger });
        }
    }

    /// Puts each waiting request where the state of its shard or pin wants it.
    fn sort_held(&mut self) {
        let queues = [&self.short, &self.long, &self.held];
        let waiting = queues.iter().flat_map(|queue| queue.iter());
        let waiting: Vec<_> = waiting.map(|entry| entry.id).collect();
        for id in waiting {
            let Some(active) = self.requests.get(&id) else {
                continue;
            };
            let held = self.is_held(&active.arrival);
            let was_held = active.phase == request::Phase::Held;
            if held != was_held {
                self.unqueue(id);
                let phase = if held {
                    request::Phase::Held
                } else {
                    request::Phase::Queued
                };
                self.requeue(id, phase);
            }
        }
    }

    fn refuse_drained(&mut self) {
        let waiting = self.short.iter().chain(self.long.iter());
        let waiting: Vec<_> = waiting.map(|entry| entry.id).collect();
        let detail = format!("{} is draining", self.config.target);
        let problem = problem::Problem::not_run(problem::Kind::NoOwner, detail);
        for id in waiting {
            self.refuse_waiting(id, &problem);
        }
    }

    fn release(&mut self, scope: &owners::Scope, to: Option<id::Target>) {
        let waiting: Vec<_> = self
            .requests
            .values()
            .filter(|active| active.attempt().is_none())
            .filter(|active| self.belongs(scope, active.arrival.shard, active.arrival.key.as_ref()))
            .map(|active| active.arrival.id)
            .collect();
        for id in waiting {
            match &to {
                Some(target) => self.forward(id, &Place::Target(target.clone())),
                None => {
                    let detail = format!("{} no longer owns the key", self.config.target);
                    let problem = problem::Problem::not_run(problem::Kind::NoOwner, detail);
                    self.refuse_waiting(id, &problem);
                }
            }
        }
        self.owners.release(scope);
    }

    /// Sends every caller of a waiting request elsewhere.
    pub(super) fn forward(&mut self, id: id::Request, to: &Place) {
        self.unqueue(id);
        self.withdraw(id);
        let Some(active) = self.requests.swap_remove(&id) else {
            return;
        };
        let first = active.awaited.then_some(active.arrival.caller);
        let mut callers: Vec<_> = first.into_iter().collect();
        for attached in active.attached {
            self.waiting_bytes = self.waiting_bytes.saturating_sub(attached.bytes);
            callers.push(attached.caller);
        }
        for caller in callers {
            self.out.push(Output::Forward {
                id,
                caller,
                to: to.clone(),
            });
        }
    }

    fn belongs(
        &self,
        scope: &owners::Scope,
        shard: Option<id::Shard>,
        key: Option<&bytes::Bytes>,
    ) -> bool {
        shard.is_some_and(|shard| self.owners.scope(shard, key) == *scope)
    }

    /// Tells whether work of a shard or pin is at the target.
    fn is_busy(&self, scope: &owners::Scope) -> bool {
        let running = self.running.iter().filter_map(|id| self.requests.get(id));
        let mut running = running.map(|active| &active.arrival);
        let busy = running.any(|one| self.belongs(scope, one.shard, one.key.as_ref()));
        let mut ghosts = self.ghosts.iter();
        busy || ghosts.any(|ghost| self.belongs(scope, ghost.shard, ghost.key.as_ref()))
    }
}
