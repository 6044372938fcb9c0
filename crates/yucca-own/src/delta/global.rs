//! Deltas of the global part of the routing table.

use yucca_wire::id;
use yucca_wire::table;

use super::{Error, Part, entries, local, path};

impl Part for table::Global {
    fn version(&self) -> id::Version {
        self.version
    }

    fn changed(&self, old: &Self, removed: &mut Vec<String>) -> Self {
        Self {
            version: self.version,
            services: entries(&self.services, &old.services, |name| {
                removed.push(format!("services/{name}"));
            }),
            domains: entries(&self.domains, &old.domains, |name| {
                removed.push(format!("domains/{name}"));
            }),
            homes: entries(&self.homes, &old.homes, |name| {
                removed.push(format!("homes/{name}"));
            }),
            leaving: entries(&self.leaving, &old.leaving, |name| {
                removed.push(format!("leaving/{name}"));
            }),
            pins: local::pins(&self.pins, &old.pins, removed),
            drains: entries(&self.drains, &old.drains, |name| {
                removed.push(format!("drains/{name}"));
            }),
        }
    }

    fn merge(&mut self, changed: Self) {
        self.version = changed.version;
        self.services.extend(changed.services);
        self.domains.extend(changed.domains);
        self.homes.extend(changed.homes);
        self.leaving.extend(changed.leaving);
        for (service, pins) in changed.pins {
            self.pins.entry(service).or_default().extend(pins);
        }
        self.drains.extend(changed.drains);
    }

    fn remove(&mut self, path: &str) -> Result<(), Error> {
        let malformed = || path::malformed(path);
        let (section, name, rest) = path::split(path).ok_or_else(malformed)?;
        if section == "domains" {
            let domain: id::Domain = name.parse().map_err(|_| malformed())?;
            self.domains.shift_remove(&domain);
            return Ok(());
        }
        let service: id::Service = name.parse().map_err(|_| malformed())?;
        match (section, rest) {
            ("services", None) => {
                self.services.shift_remove(&service);
            }
            ("homes", None) => {
                self.homes.shift_remove(&service);
            }
            ("leaving", None) => {
                self.leaving.shift_remove(&service);
            }
            ("drains", None) => {
                self.drains.shift_remove(&service);
            }
            ("pins", None) => {
                self.pins.shift_remove(&service);
            }
            ("pins", Some(digits)) => {
                let key = path::key(digits).ok_or_else(malformed)?;
                if let Some(pins) = self.pins.get_mut(&service) {
                    pins.shift_remove(&key);
                }
            }
            _ => return Err(malformed()),
        }
        Ok(())
    }
}
