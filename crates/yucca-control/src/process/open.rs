//! Starts the replicas of the logs that this host takes part in.

use std::sync;

use yucca_log::node;
use yucca_own::{domain, global};
use yucca_wire::id;

use crate::machine;
use crate::message;
use crate::process::confirm;
use crate::process::core::{self, Core};
use crate::process::hosted;
use crate::replica;

impl Core {
    /// Starts replicas of the logs that this host should take part in and has no replica of.
    pub(super) fn start_replicas(&self) -> Result<(), yucca_log::storage::Error> {
        let directory = self.directory.load();
        let own = &self.settings.host;
        let global = hosted::placement(&directory, &message::Log::Global);
        if global.hosts.contains(own) && self.global().is_none() {
            let opened = self.open_global(global)?;
            self.set_global(opened);
        }
        for domain in directory.domains() {
            let placement = hosted::placement(&directory, &message::Log::Domain(domain.clone()));
            if placement.hosts.contains(own) && self.domain(&domain).is_none() {
                let opened = self.open_domain(&domain, placement)?;
                self.set_domain(opened);
            }
        }
        Ok(())
    }

    fn open_global(
        &self,
        placement: hosted::Placement,
    ) -> Result<hosted::Global, yucca_log::storage::Error> {
        let machine = machine::global::Global::default();
        let machine = sync::Arc::new(sync::Mutex::new(machine));
        let log = message::Log::Global;
        let parts = self.parts(log, placement, replica::Rule::Spread, machine.clone());
        Ok(hosted::Global {
            replica: replica::Replica::start(parts)?,
            machine,
            evidence: sync::Mutex::new(global::Evidence::new(self.now())),
        })
    }

    fn open_domain(
        &self,
        name: &id::Domain,
        placement: hosted::Placement,
    ) -> Result<hosted::Domain, yucca_log::storage::Error> {
        let machine = machine::domain::Domain::new(name.clone());
        let machine = sync::Arc::new(sync::Mutex::new(machine));
        let log = message::Log::Domain(name.clone());
        let rule = replica::Rule::Local(name.clone());
        let parts = self.parts(log, placement, rule, machine.clone());
        Ok(hosted::Domain {
            domain: name.clone(),
            replica: replica::Replica::start(parts)?,
            machine,
            evidence: sync::Mutex::new(domain::Evidence::new(self.now())),
            last_reports: sync::Mutex::default(),
            confirmation: confirm::Confirmation::default(),
        })
    }

    fn parts(
        &self,
        log: message::Log,
        placement: hosted::Placement,
        rule: replica::Rule,
        machine: replica::Shared,
    ) -> replica::Parts {
        let mut config = node::Config::new(self.settings.host.clone(), &log.to_string());
        config.bootstrap_members = placement.bootstrap_members;
        config.seed = self.draw();
        replica::Parts {
            opener: self.opener(&log),
            log,
            config,
            machine,
            transport: self.transport.clone(),
            feed: self.feed.clone(),
            hosts: core::loader(&self.directory),
            rule,
        }
    }

    fn opener(&self, log: &message::Log) -> Box<dyn replica::storage::Opener> {
        match &self.settings.data {
            Some(data) => Box::new(replica::storage::Disk {
                data: data.clone(),
                host: self.settings.host.clone(),
                log: log.clone(),
                incarnations: self.incarnations(),
            }),
            None => Box::new(replica::storage::Memory {
                incarnations: self.incarnations(),
            }),
        }
    }
}
