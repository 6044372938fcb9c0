//! Plans the commands that the leader of the global log proposes.

use std::time;

use yucca_wire::id;
use yucca_wire::shards;
use yucca_wire::table;

use super::homes;
use super::{Cause, Command, Evidence, State};
use crate::lease;

/// Time for which a service without homes waits for domains that have not reported their slots.
const CAPACITY_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time without contact after which a domain receives no shards and is not asked to release any.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time for which the slots of a domain must not have changed before shards leave it.
const MIN_STEADY_TIME: time::Duration = time::Duration::from_secs(5);
/// Divisor of the number of shards of a service, which gives the maximum number that leave their
/// homes at a time.
const LEAVING_DIVISOR: usize = 64;

impl State {
    /// Returns the commands that the leader should propose now, at most one. Call it again once
    /// they have been applied.
    pub fn plan(&self, evidence: &Evidence, now: time::Duration) -> Vec<Command> {
        let keyed = self.table.services.iter().filter_map(|(name, service)| {
            let table::Kind::Keyed { shards, .. } = service.kind else {
                return None;
            };
            Some((name, service, shards))
        });
        // Returns one command at a time: each must be decided on the version that the previous one
        // produces.
        let mut plans = keyed.filter_map(|(name, service, shards)| {
            self.assign_unowned(name, shards, evidence, now)
                .or_else(|| self.assign_lapsed(name, service, shards, evidence, now))
                .or_else(|| self.balance(name, evidence, now))
        });
        plans.next().into_iter().collect()
    }

    /// Assigns homes to shards that have none, or whose home is declared lost.
    fn assign_unowned(
        &self,
        service: &id::Service,
        shards: u32,
        evidence: &Evidence,
        now: time::Duration,
    ) -> Option<Command> {
        let domains = &self.table.domains;
        let gone = |domain: &id::Domain| domains.get(domain).is_none_or(|domain| domain.lost);
        let none = shards::Homes::default();
        let old = self.table.homes.get(service).unwrap_or(&none);
        if old.is_empty() && !self.is_capacity_known(evidence, now) {
            return None;
        }
        let homes = homes::refill(old, shards, &self.weights(service, &gone), &gone)?;
        Some(Command::Assign {
            service: service.clone(),
            base: self.table.version,
            homes,
            cause: Cause::Unowned,
        })
    }

    /// Reassigns the shards of a domain whose home lease lapsed, if the `on_cut` rule of the
    /// service says so.
    fn assign_lapsed(
        &self,
        service: &id::Service,
        wanted: &table::Service,
        shards: u32,
        evidence: &Evidence,
        now: time::Duration,
    ) -> Option<Command> {
        let table::Cut::MoveAfter(after) = wanted.on_cut else {
            return None;
        };
        let homes = self.table.homes.get(service)?;
        let holders = homes.runs().iter().map(|run| &run.domain);
        let lapsed = |domain: &id::Domain| {
            let number = self.renewal(service, domain)?.number;
            let age = evidence.age(domain, number, now);
            (age > lease::grantor(after.0)).then(|| (domain.clone(), number))
        };
        let (domain, renewal) = holders.clone().find_map(lapsed)?;
        let silent = |other: &id::Domain| {
            let lost = self.table.domains.get(other).is_none_or(|other| other.lost);
            *other == domain || lost || evidence.silence(other, now) > SILENCE_TIMEOUT
        };
        let gone = |other: &id::Domain| *other == domain;
        let homes = homes::refill(homes, shards, &self.weights(service, &silent), &gone)?;
        Some(Command::Assign {
            service: service.clone(),
            base: self.table.version,
            homes,
            cause: Cause::Lapsed { domain, renewal },
        })
    }

    /// Moves shards away from domains that have far more than their share.
    fn balance(
        &self,
        service: &id::Service,
        evidence: &Evidence,
        now: time::Duration,
    ) -> Option<Command> {
        if self.table.leaving.contains_key(service) {
            return None;
        }
        let homes = self.table.homes.get(service)?;
        let silent = |domain: &id::Domain| evidence.silence(domain, now) > SILENCE_TIMEOUT;
        let weights = self.weights(service, &silent);
        // A silent domain keeps its share, which is computed from the slots that it last reported.
        let all = self.weights(service, &|_| false);
        let limit = homes.len().div_ceil(LEAVING_DIVISOR);
        let may_leave = |domain: &id::Domain| {
            !silent(domain) && evidence.is_capacity_steady(domain, MIN_STEADY_TIME, now)
        };
        let mut shards = homes::surplus(homes, &all, limit, &may_leave);
        shards.retain(|_, to| weights.contains_key(to));
        (!shards.is_empty()).then(|| Command::Leave {
            service: service.clone(),
            base: self.table.version,
            shards,
        })
    }

    /// Returns whether every domain has reported its slots, or the timeout for that has passed.
    fn is_capacity_known(&self, evidence: &Evidence, now: time::Duration) -> bool {
        let domains = self.table.domains.iter();
        let mut open = domains.filter(|(_, domain)| !domain.lost);
        let all_known = open.all(|(name, _)| self.capacity.contains_key(name));
        all_known || now.saturating_sub(evidence.since()) >= CAPACITY_TIMEOUT
    }

    fn weights(
        &self,
        service: &id::Service,
        excluded: &dyn Fn(&id::Domain) -> bool,
    ) -> homes::Weights {
        let reported = self.capacity.iter().filter(|(domain, _)| !excluded(domain));
        let weights = reported.filter_map(|(domain, slots)| {
            let slots = slots.get(service).copied().filter(|slots| *slots > 0)?;
            Some((domain.clone(), slots))
        });
        let mut weights: homes::Weights = weights.collect();
        weights.sort_unstable_keys();
        weights
    }
}
