//! Moves of shards and pins, draining and configuration changes.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;

use super::{Change, Config, Lane, Output, Place};
use crate::owners;
use crate::request;

/// Time for which a draining target still gets requests for the keys that it owns.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

impl Lane {
    pub(super) fn change_ownership(&mut self, change: Change) {
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
        self.refresh_held();
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
        self.draining_since = match (drain, self.draining_since) {
            (false, _) => None,
            (true, since) => since.or(Some(self.now)),
        };
        self.refresh_held();
    }

    /// Returns whether the grace period of a draining target is over, so that it gets no more
    /// requests.
    pub(super) fn is_drain_grace_over(&self) -> bool {
        let ends = self.draining_since.map(|at| at + DRAIN_GRACE);
        ends.is_some_and(|at| self.now >= at)
    }

    /// Returns the end of the draining target's grace period, if it is still to come.
    pub(super) fn drain_grace_end(&self) -> Option<Duration> {
        let ends = self.draining_since.map(|at| at + DRAIN_GRACE);
        ends.filter(|at| *at > self.now)
    }

    /// Holds or refuses the waiting requests of a target whose drain grace period is over.
    pub(super) fn expire_drain(&mut self) {
        if self.is_drain_grace_over() && self.short.len() + self.long.len() > 0 {
            self.refresh_held();
            if !self.config.keyed {
                self.refuse_drained();
            }
        }
    }

    /// Reports the moving shards and pins that have no more requests at the target.
    pub(super) fn report_released(&mut self) {
        for (scope, release) in self.owners.moving() {
            if self.is_busy(&scope) {
                continue;
            }
            self.owners.set(&scope, owners::State::Released);
            let ledger = self.snapshot(Some(scope.shard()));
            self.outputs.push(Output::Released { release, ledger });
        }
    }

    /// Moves each waiting request between the held and the class queues according to the state of
    /// its shard or pin.
    fn refresh_held(&mut self) {
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

    /// Forwards every caller of a waiting request to another lane.
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
            self.outputs.push(Output::Forward {
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

    /// Returns whether the target may still be processing requests of a shard or pin.
    fn is_busy(&self, scope: &owners::Scope) -> bool {
        let running = self.running.iter().filter_map(|id| self.requests.get(id));
        let mut running = running.map(|active| &active.arrival);
        let busy = running.any(|one| self.belongs(scope, one.shard, one.key.as_ref()));
        let mut abandoned = self.abandoned.iter();
        busy || abandoned.any(|attempt| self.belongs(scope, attempt.shard, attempt.key.as_ref()))
    }
}
