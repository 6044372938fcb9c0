//! The hosts of the deployment: those of the settings, and those that tickets name.

use std::net;
use std::sync;

use indexmap::IndexMap;
use yucca_wire::{id, table};

use crate::settings;

/// Returns the latest directory.
pub type Hosts = sync::Arc<dyn Fn() -> sync::Arc<Directory> + Send + Sync>;

/// A host that runs a control process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where its control process listens for peers.
    pub address: net::SocketAddr,
    /// Whether it has a disk.
    pub disk: bool,
}

/// The hosts, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    /// The hosts.
    pub hosts: IndexMap<id::Host, Entry>,
}

impl Directory {
    /// Returns the hosts that the settings and the global part of the table name.
    ///
    /// Where a ticket names hosts of a domain, it carries the whole set of them. The address of a
    /// host that the settings name is the settings', so that no ticket can make control processes
    /// lose each other.
    pub fn new(founders: &[settings::Peer], global: &table::Global) -> Self {
        let mut hosts = IndexMap::new();
        for founder in founders {
            if !has_hosts(global, &founder.domain) {
                let entry = Entry {
                    domain: founder.domain.clone(),
                    address: founder.address,
                    disk: founder.disk,
                };
                hosts.insert(founder.host.clone(), entry);
            }
        }
        for (domain, named) in &global.domains {
            for (name, host) in &named.hosts {
                let founder = founders.iter().find(|founder| founder.host == *name);
                let entry = Entry {
                    domain: domain.clone(),
                    address: founder.map_or(host.control, |founder| founder.address),
                    disk: host.disk,
                };
                hosts.insert(name.clone(), entry);
            }
        }
        Self { hosts }
    }

    /// Returns the address of a host's control process.
    pub fn address(&self, host: &id::Host) -> Option<net::SocketAddr> {
        self.hosts.get(host).map(|entry| entry.address)
    }

    /// Returns the hosts of a domain.
    pub fn of_domain(&self, domain: &id::Domain) -> Vec<id::Host> {
        let members = self
            .hosts
            .iter()
            .filter(|(_, entry)| &entry.domain == domain);
        members.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the domains, each once.
    pub fn domains(&self) -> Vec<id::Domain> {
        let all = self.hosts.values().map(|entry| entry.domain.clone());
        let unique: indexmap::IndexSet<id::Domain> = all.collect();
        unique.into_iter().collect()
    }
}

fn has_hosts(global: &table::Global, domain: &id::Domain) -> bool {
    let named = global.domains.get(domain);
    named.is_some_and(|domain| !domain.hosts.is_empty())
}
