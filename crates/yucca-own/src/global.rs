//! The state on the global log: services, domains, tickets and the home of each shard.

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

/// What all domains agree on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// What every host is told.
    table: sync::Arc<table::Global>,
    /// The accepted tickets.
    tickets: Registry,
    /// The slots of serving targets, by domain and service.
    capacity: IndexMap<id::Domain, IndexMap<id::Service, u32>>,
    /// The last renewal of each domain's home lease.
    renewals: IndexMap<id::Domain, Renewal>,
    /// The version at which each service's rule for cuts was last set.
    cut_rules: IndexMap<id::Service, id::Version>,
    /// The highest generation that any domain was given.
    generation: u32,
}

/// A renewal of a domain's home lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Renewal {
    /// Rises with each renewal.
    number: u64,
    /// The global version that was in force at all hosts of the domain.
    version: id::Version,
}

impl State {
    /// Returns what every host is told.
    pub fn table(&self) -> sync::Arc<table::Global> {
        sync::Arc::clone(&self.table)
    }

    /// Returns what is known of an accepted ticket.
    pub fn ticket(&self, number: id::Ticket) -> Option<Acceptance> {
        self.tickets.get(number)
    }

    /// Returns the record of accepted tickets.
    pub fn tickets(&self) -> &Registry {
        &self.tickets
    }

    /// Tells whether applying a command would change anything; one that would not need not be
    /// proposed.
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

    /// Returns the last renewal under which the shards of a service in a domain may lapse: one
    /// made when the domain's hosts knew the service's present rule.
    fn renewal(&self, service: &id::Service, domain: &id::Domain) -> Option<Renewal> {
        let renewal = self.renewals.get(domain).copied()?;
        let rule = self.cut_rules.get(service).copied()?;
        (renewal.version >= rule).then_some(renewal)
    }
}
