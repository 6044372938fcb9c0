//! Observations of the leader of the global log; they are never replicated.

use std::time;

use indexmap::IndexMap;
use yucca_wire::id;

use super::State;

/// Observations of a leader. All times are on the clock of its process.
#[derive(Debug, Clone)]
pub struct Evidence {
    /// When this process became leader.
    since: time::Duration,
    /// When each domain's leader last sent a command.
    last_contact: IndexMap<id::Domain, time::Duration>,
    /// Last renewal of each domain, and when it was first observed in the state.
    renewals: IndexMap<id::Domain, Renewal>,
    /// Slots that each domain last reported, and when they were first observed in the state.
    capacity: IndexMap<id::Domain, Capacity>,
}

#[derive(Debug, Clone)]
struct Capacity {
    slots: IndexMap<id::Service, u32>,
    seen: time::Duration,
}

#[derive(Debug, Clone, Copy)]
struct Renewal {
    number: u64,
    seen: time::Duration,
}

impl Evidence {
    /// Returns the empty evidence of a process that became leader at `now`.
    pub fn new(now: time::Duration) -> Self {
        Self {
            since: now,
            last_contact: IndexMap::new(),
            renewals: IndexMap::new(),
            capacity: IndexMap::new(),
        }
    }

    /// Records that a domain's leader contacted this process.
    pub fn record_contact(&mut self, domain: &id::Domain, now: time::Duration) {
        self.last_contact.insert(domain.clone(), now);
    }

    /// Updates the evidence from the applied state. Call it after each applied command.
    pub fn observe(&mut self, state: &State, now: time::Duration) {
        self.observe_capacity(state, now);
        for (domain, renewal) in &state.renewals {
            let known = self.renewals.get(domain);
            if known.is_none_or(|known| known.number != renewal.number) {
                let renewal = Renewal {
                    number: renewal.number,
                    seen: now,
                };
                self.renewals.insert(domain.clone(), renewal);
            }
        }
    }

    fn observe_capacity(&mut self, state: &State, now: time::Duration) {
        for (domain, slots) in &state.capacity {
            let known = self.capacity.get(domain);
            if known.is_none_or(|known| known.slots != *slots) {
                let capacity = Capacity {
                    slots: slots.clone(),
                    seen: now,
                };
                self.capacity.insert(domain.clone(), capacity);
            }
        }
    }

    /// Returns whether the slots of a domain have not changed for at least `least`.
    pub(super) fn is_capacity_steady(
        &self,
        domain: &id::Domain,
        least: time::Duration,
        now: time::Duration,
    ) -> bool {
        let capacity = self.capacity.get(domain);
        capacity.is_some_and(|capacity| now.saturating_sub(capacity.seen) >= least)
    }

    /// Returns when this process became leader.
    pub(super) fn since(&self) -> time::Duration {
        self.since
    }

    /// Returns the time since the last contact of a domain, or since this process became leader.
    pub(super) fn silence(&self, domain: &id::Domain, now: time::Duration) -> time::Duration {
        let last = self.last_contact.get(domain).copied();
        now.saturating_sub(last.unwrap_or(self.since))
    }

    /// Returns the time since a domain's renewal with this number was first observed, or since this
    /// process became leader.
    pub(super) fn age(
        &self,
        domain: &id::Domain,
        number: u64,
        now: time::Duration,
    ) -> time::Duration {
        let renewal = self.renewals.get(domain).filter(|r| r.number == number);
        let from = renewal.map_or(self.since, |renewal| renewal.seen);
        now.saturating_sub(from.max(self.since))
    }
}
