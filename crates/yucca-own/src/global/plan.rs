//! What the leader of the global log proposes.

use std::time;

use yucca_wire::id;
use yucca_wire::shards;
use yucca_wire::table;

use super::homes;
use super::{Cause, Command, Evidence, State};
use crate::lease;

/// How long shards without a home wait for domains that have not told their slots yet.
const SETTLE: time::Duration = time::Duration::from_secs(2);
/// A domain that was silent for longer gets no shards and is asked for none.
const SILENT: time::Duration = time::Duration::from_secs(2);
/// How long a domain's slots must have stayed the same before shards leave it.
const STEADY: time::Duration = time::Duration::from_secs(5);
/// The most shards of one service that leave their homes at a time: one part in so many.
const LEAVING_PART: usize = 64;

impl State {
    /// Returns what the leader should propose now; call it again when these were applied.
    pub fn plan(&self, evidence: &Evidence, now: time::Duration) -> Vec<Command> {
        let keyed = self.table.services.iter().filter_map(|(name, service)| {
            let table::Kind::Keyed { shards, .. } = service.kind else {
                return None;
            };
            Some((name, service, shards))
        });
        // One command at a time: each is decided on the version that the one before leaves.
        let mut plans = keyed.filter_map(|(name, service, shards)| {
            self.fill(name, shards, evidence, now)
                .or_else(|| self.lapse(name, service, shards, evidence, now))
                .or_else(|| self.even(name, evidence, now))
        });
        plans.next().into_iter().collect()
    }

    /// Gives homes to shards that have none, or whose home is declared lost.
    fn fill(
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
        if old.is_empty() && !self.settled(evidence, now) {
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

    /// Moves the shards of a domain whose home lease lapsed, where the service wants that.
    fn lapse(
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
            *other == domain || lost || evidence.silence(other, now) > SILENT
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

    /// Lets shards leave domains that have far more than their share.
    fn even(
        &self,
        service: &id::Service,
        evidence: &Evidence,
        now: time::Duration,
    ) -> Option<Command> {
        if self.table.leaving.contains_key(service) {
            return None;
        }
        let homes = self.table.homes.get(service)?;
        let silent = |domain: &id::Domain| evidence.silence(domain, now) > SILENT;
        let weights = self.weights(service, &silent);
        // A silent domain keeps its share: it counts with what it last told.
        let all = self.weights(service, &|_| false);
        let limit = homes.len().div_ceil(LEAVING_PART);
        let may_leave =
            |domain: &id::Domain| !silent(domain) && evidence.is_steady(domain, STEADY, now);
        let mut shards = homes::surplus(homes, &all, limit, &may_leave);
        shards.retain(|_, to| weights.contains_key(to));
        (!shards.is_empty()).then(|| Command::Leave {
            service: service.clone(),
            base: self.table.version,
            shards,
        })
    }

    /// Tells whether every domain told its slots, or had time to.
    fn settled(&self, evidence: &Evidence, now: time::Duration) -> bool {
        let domains = self.table.domains.iter();
        let mut open = domains.filter(|(_, domain)| !domain.lost);
        let all_told = open.all(|(name, _)| self.capacity.contains_key(name));
        all_told || now.saturating_sub(evidence.since()) >= SETTLE
    }

    fn weights(
        &self,
        service: &id::Service,
        excluded: &dyn Fn(&id::Domain) -> bool,
    ) -> homes::Weights {
        let told = self.capacity.iter().filter(|(domain, _)| !excluded(domain));
        let weights = told.filter_map(|(domain, slots)| {
            let slots = slots.get(service).copied().filter(|slots| *slots > 0)?;
            Some((domain.clone(), slots))
        });
        let mut weights: homes::Weights = weights.collect();
        weights.sort_unstable_keys();
        weights
    }
}
