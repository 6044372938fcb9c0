//! How long the lanes of this host may send without word from control.

use std::time::Duration;

use indexmap::IndexMap;
use yucca_own::lease;
use yucca_wire::id;
use yucca_wire::report;

/// The leases of this host, on the process's clock.
#[derive(Debug, Default)]
pub struct Leases {
    host: Duration,
    homes: IndexMap<id::Service, Duration>,
}

impl Leases {
    /// Takes in what the answer to a report says. Returns whether it renewed anything.
    ///
    /// All spans count from when the report was sent: control heard it later, so that its own
    /// count ends later.
    pub fn apply(&mut self, update: &report::Update, sent: Duration) -> bool {
        let stated = update.lease_us.map(Duration::from_micros);
        let span = stated.or_else(|| update.leased.then(|| lease::holder(lease::HOST)));
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

    /// Returns until when the lanes of a service may send.
    pub fn until(&self, service: &id::Service) -> Duration {
        match self.homes.get(service) {
            Some(home) => self.host.min(*home),
            None => self.host,
        }
    }
}
