//! Replicated state of the global log: services, domains, tickets and the home of each shard.

mod apply;
mod checks;
mod command;
mod evidence;
mod homes;
mod moves;
mod plan;
mod registry;

use std::sync;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::id;
use yucca_wire::table;

pub use command::{Cause, Command, Reply};
pub use evidence::Evidence;
pub use registry::{Acceptance, Registry};

/// Replicated state that all domains share.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Global part of the routing table; every host receives it.
    table: sync::Arc<table::Global>,
    /// Accepted tickets.
    tickets: Registry,
    /// Number of slots of serving targets, by domain and service.
    capacity: IndexMap<id::Domain, IndexMap<id::Service, u32>>,
    /// Last renewal of each domain's home lease.
    renewals: IndexMap<id::Domain, Renewal>,
    /// Version at which the `on_cut` rule of each service was last changed.
    cut_rules: IndexMap<id::Service, id::Version>,
    /// Highest generation that was assigned to any domain.
    generation: u32,
}

/// Renewal of a domain's home lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Renewal {
    /// Number of the renewal, which rises by one with each.
    number: u64,
    /// Newest global version that was in effect at all hosts of the domain.
    version: id::Version,
}

impl State {
    /// Returns the global part of the routing table.
    pub fn table(&self) -> sync::Arc<table::Global> {
        sync::Arc::clone(&self.table)
    }

    /// Returns an accepted ticket, or `None` if no ticket of this number was accepted.
    pub fn ticket(&self, number: id::Ticket) -> Option<Acceptance> {
        self.tickets.get(number)
    }

    /// Returns the registry of accepted tickets.
    pub fn tickets(&self) -> &Registry {
        &self.tickets
    }

    /// Returns false if applying a command would change nothing, so that it need not be proposed.
    pub fn needs(&self, command: &Command) -> bool {
        match command {
            Command::Capacity { domain, slots } => self.capacity.get(domain) != Some(slots),
            Command::Released {
                domain, service, ..
            } => {
                let leaving = self.table.leaving.get(service);
                self.table.domains.contains_key(domain) && leaving.is_some()
            }
            _ => true,
        }
    }

    /// Returns the last renewal of a domain's home lease, if the domain's hosts knew the current
    /// `on_cut` rule of the service when it was made. Without such a renewal the shards of the
    /// service do not move because of a lapsed lease.
    fn renewal(&self, service: &id::Service, domain: &id::Domain) -> Option<Renewal> {
        let renewal = self.renewals.get(domain).copied()?;
        let rule = self.cut_rules.get(service).copied()?;
        (renewal.version >= rule).then_some(renewal)
    }
}
