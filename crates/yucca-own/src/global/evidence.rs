//! What the leader of the global log saw itself; it is never replicated.

use std::time;

use indexmap::IndexMap;
use yucca_wire::id;

use super::State;

/// What the leader saw, on the clock of its process.
#[derive(Debug, Clone)]
pub struct Evidence {
    /// When this process became leader.
    since: time::Duration,
    /// When a domain was last heard.
    heard: IndexMap<id::Domain, time::Duration>,
    /// The last renewal of each domain, and when it was first seen in the state.
    renewals: IndexMap<id::Domain, Renewal>,
    /// The slots that each domain told last, and when they were first seen in the state.
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
    /// Returns the knowledge of a process that has just become leader.
    pub fn new(now: time::Duration) -> Self {
        Self {
            since: now,
            heard: IndexMap::new(),
            renewals: IndexMap::new(),
            capacity: IndexMap::new(),
        }
    }

    /// Notes that a domain's leader was heard.
    pub fn record_contact(&mut self, domain: &id::Domain, now: time::Duration) {
        self.heard.insert(domain.clone(), now);
    }

    /// Notes the renewals of home leases and the slots that were applied; call it after each application.
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

    /// Tells whether the slots of a domain have stayed the same for this long.
    pub(super) fn is_steady(
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

    /// Returns how long a domain was not heard.
    pub(super) fn silence(&self, domain: &id::Domain, now: time::Duration) -> time::Duration {
        let last = self.heard.get(domain).copied();
        now.saturating_sub(last.unwrap_or(self.since))
    }

    /// Returns the time since a domain's renewal with this number was seen, or since the start.
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
