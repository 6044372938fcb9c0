//! Leases: the time until which the lanes of this host may send without another answer of the
//! control process.

use std::time::Duration;

use indexmap::IndexMap;
use yucca_own::lease;
use yucca_wire::id;
use yucca_wire::report;

/// Leases of this host, as times since the start of the process.
#[derive(Debug, Default)]
pub struct Leases {
    host: Duration,
    homes: IndexMap<id::Service, Duration>,
}

impl Leases {
    /// Applies the answer to a report. Returns whether it renewed a lease.
    ///
    /// Leases start at the time at which the report was sent. The control process received it
    /// later, so the lease ends later on its clock.
    pub fn apply(&mut self, update: &report::Update, sent: Duration) -> bool {
        let explicit = update.lease_us.map(Duration::from_micros);
        let span = explicit.or_else(|| update.leased.then(|| lease::holder(lease::HOST)));
        let Some(span) = span else {
            return false;
        };
        self.host = self.host.max(sent + span);
        let homes = update.home_leases_us.iter();
        self.homes = homes
            .map(|(service, us)| (service.clone(), sent + Duration::from_micros(*us)))
            .collect();
        true
    }

    /// Returns the time until which the lanes of a service may send.
    pub fn until(&self, service: &id::Service) -> Duration {
        match self.homes.get(service) {
            Some(home) => self.host.min(*home),
            None => self.host,
        }
    }
}
