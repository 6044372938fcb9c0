//! Applies the commands of the global log.

use std::sync;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::table;

use super::checks;
use super::{Command, Reply, State};
use crate::ticket;

impl State {
    /// Applies the command at this version of the log.
    pub fn apply(&mut self, version: id::Version, command: &Command) -> Reply {
        match command {
            Command::Submit { ticket, sender } => self.submit(version, ticket, sender),
            Command::Capacity { domain, slots } => self.set_capacity(domain, slots),
            Command::Renew {
                domain,
                generation,
                version,
            } => self.renew(domain, *generation, *version),
            Command::Assign {
                service,
                base,
                homes,
                cause,
            } => self.assign(version, service, *base, homes, cause),
            Command::Leave {
                service,
                base,
                shards,
            } => self.leave(version, service, *base, shards),
            Command::Released {
                domain,
                generation,
                service,
                shards,
            } => self.released(version, domain, *generation, service, shards),
        }
    }

    fn submit(&mut self, version: id::Version, ticket: &ticket::Checked, sender: &str) -> Reply {
        let digest = ticket.digest();
        if let Some(accepted) = self.tickets.get(ticket.number) {
            if accepted.digest != digest {
                return Reply::Refused {
                    findings: Vec::new(),
                    existing: Some(accepted),
                };
            }
            return Reply::Accepted {
                number: ticket.number,
                version: accepted.version,
            };
        }
        let findings = checks::check(&self.table, ticket);
        if !findings.is_empty() {
            return Reply::Refused {
                findings,
                existing: None,
            };
        }
        self.apply_ticket(version, ticket);
        self.table_mut().version = version;
        self.tickets.insert(ticket, digest, version, sender);
        Reply::Accepted {
            number: ticket.number,
            version,
        }
    }

    fn apply_ticket(&mut self, version: id::Version, ticket: &ticket::Checked) {
        for (name, service) in &ticket.services {
            match service {
                Some(service) => {
                    let old = self.table.services.get(name);
                    if old.is_none_or(|old| old.on_cut != service.on_cut) {
                        self.cut_rules.insert(name.clone(), version);
                    }
                    let services = &mut self.table_mut().services;
                    services.insert(name.clone(), service.clone());
                }
                None => self.remove_service(name),
            }
        }
        let table = sync::Arc::make_mut(&mut self.table);
        for (service, pins) in &ticket.pins {
            table.pins.insert(service.clone(), pins.clone());
        }
        for (service, drains) in &ticket.drains {
            table.drains.insert(service.clone(), drains.clone());
        }
        for (name, domain) in &ticket.domains {
            self.set_domain(name, domain);
        }
    }

    fn remove_service(&mut self, name: &id::Service) {
        let table = self.table_mut();
        table.services.shift_remove(name);
        table.homes.shift_remove(name);
        table.leaving.shift_remove(name);
        table.pins.shift_remove(name);
        table.drains.shift_remove(name);
        self.cut_rules.shift_remove(name);
        for slots in self.capacity.values_mut() {
            slots.shift_remove(name);
        }
    }

    /// Creates or replaces a domain. The ticket does not set its generation. The generation rises
    /// when the domain is declared lost and when it returns, so that the tokens of its log rise
    /// even if the log was recreated.
    fn set_domain(&mut self, name: &id::Domain, domain: &table::Domain) {
        let old = self.table.domains.get(name);
        let was_lost = old.is_some_and(|old| old.lost);
        let mut generation = old.map_or(0, |old| old.generation);
        if was_lost != domain.lost {
            self.generation += 1;
            generation = self.generation;
        }
        if domain.lost {
            self.capacity.shift_remove(name);
        }
        let domain = table::Domain {
            generation,
            ..domain.clone()
        };
        self.table_mut().domains.insert(name.clone(), domain);
    }

    fn set_capacity(&mut self, domain: &id::Domain, slots: &IndexMap<id::Service, u32>) -> Reply {
        let known = self.table.domains.get(domain);
        if known.is_none_or(|domain| domain.lost) {
            return Reply::Stale;
        }
        self.capacity.insert(domain.clone(), slots.clone());
        Reply::Done
    }

    fn renew(&mut self, domain: &id::Domain, generation: u32, version: id::Version) -> Reply {
        let known = self.table.domains.get(domain);
        if known.is_none_or(|known| known.lost || known.generation != generation) {
            return Reply::Stale;
        }
        let renewal = self.renewals.entry(domain.clone()).or_default();
        renewal.number += 1;
        renewal.version = version;
        Reply::Done
    }

    pub(super) fn table_mut(&mut self) -> &mut table::Global {
        sync::Arc::make_mut(&mut self.table)
    }
}
