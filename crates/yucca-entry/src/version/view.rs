//! One version of the routing table, with indexes for fast lookup.

use std::sync;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::table;

use crate::request::measure;

/// One version of the routing table, with indexes.
#[derive(Debug, Default)]
pub struct View {
    /// Routing table.
    pub table: table::Table,
    prefixes: Vec<Prefix>,
    counters: IndexMap<id::Service, Classes>,
}

#[derive(Debug)]
struct Classes {
    short: sync::Arc<measure::Counters>,
    long: sync::Arc<measure::Counters>,
}

#[derive(Debug)]
struct Prefix {
    path: String,
    service: id::Service,
}

/// Service that a path belongs to.
pub struct Found<'a> {
    /// Name of the service.
    pub name: &'a id::Service,
    /// Description of the service.
    pub service: &'a table::Service,
    /// Path after the service's prefix, without a leading slash.
    pub rest: &'a str,
}

impl View {
    /// Builds the indexes of a table.
    pub fn new(table: table::Table) -> Self {
        let mut prefixes: Vec<Prefix> = Vec::new();
        let mut counters = IndexMap::new();
        for (name, service) in &table.global.services {
            let count = |class| sync::Arc::new(measure::Counters::new(name, service, class));
            let classes = Classes {
                short: count(table::Class::Short),
                long: count(table::Class::Long),
            };
            counters.insert(name.clone(), classes);
            prefixes.push(Prefix {
                path: service.prefix.trim_end_matches('/').to_owned(),
                service: name.clone(),
            });
        }
        // Longest first, so that the most specific prefix wins.
        prefixes.sort_by(|a, b| b.path.len().cmp(&a.path.len()).then(a.path.cmp(&b.path)));
        Self {
            table,
            prefixes,
            counters,
        }
    }

    /// Returns the service with the longest prefix that matches `path`.
    pub fn find<'a>(&'a self, path: &'a str) -> Option<Found<'a>> {
        for prefix in &self.prefixes {
            let Some(rest) = path.strip_prefix(prefix.path.as_str()) else {
                continue;
            };
            if !rest.is_empty() && !rest.starts_with('/') {
                continue;
            }
            let service = self.table.global.services.get(&prefix.service)?;
            return Some(Found {
                name: &prefix.service,
                service,
                rest: rest.strip_prefix('/').unwrap_or(rest),
            });
        }
        None
    }

    /// Returns the counters of a service and class.
    pub fn counters(
        &self,
        service: &id::Service,
        class: table::Class,
    ) -> Option<sync::Arc<measure::Counters>> {
        let classes = self.counters.get(service)?;
        let counters = match class {
            table::Class::Short => &classes.short,
            table::Class::Long => &classes.long,
        };
        Some(sync::Arc::clone(counters))
    }

    /// Returns a target and its domain.
    pub fn target(&self, name: &id::Target) -> Option<(&id::Domain, &table::Target)> {
        let mut locals = self.table.locals.values();
        locals.find_map(|local| Some((&local.domain, local.targets.get(name)?)))
    }
}
