//! The control hosts of the deployment, from the settings and from tickets.

use std::net;
use std::sync;

use indexmap::IndexMap;
use yucca_wire::{id, table};

use crate::settings;

/// Function that returns the latest directory.
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
    /// Returns the hosts named in the settings and in the global part of the table.
    ///
    /// If a ticket names hosts of a domain, its list replaces that of the settings. The address of
    /// a host that is in the settings always comes from there, so that no ticket can disconnect
    /// control processes from each other.
    pub fn new(peers: &[settings::Peer], global: &table::Global) -> Self {
        let mut hosts = IndexMap::new();
        for peer in peers {
            if !has_hosts(global, &peer.domain) {
                let entry = Entry {
                    domain: peer.domain.clone(),
                    address: peer.address,
                    disk: peer.disk,
                };
                hosts.insert(peer.host.clone(), entry);
            }
        }
        for (domain, named) in &global.domains {
            for (name, host) in &named.hosts {
                let peer = peers.iter().find(|peer| peer.host == *name);
                let entry = Entry {
                    domain: domain.clone(),
                    address: peer.map_or(host.control, |peer| peer.address),
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
