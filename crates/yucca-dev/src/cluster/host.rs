//! One host of a deployment: its addresses and its processes.

use std::net;
use std::sync;

use yucca_entry::process;
use yucca_entry::process::running;
use yucca_entry::settings;
use yucca_wire::auth;
use yucca_wire::id;

use super::Error;
use super::relay;
use crate::deployment;

/// The ports between the first listeners of two hosts.
const HOST_PORTS: u16 = 10;

/// The secret of peers; a stand-in deployment guards nothing.
const PEER_SECRET: &str = "a stand-in secret of peers";

/// Where a host is to listen.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The host.
    pub name: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The number of that domain.
    number: relay::Domain,
    /// The first of its ports; none takes free ones.
    port: Option<u16>,
}

/// Returns the plans of all hosts of a deployment.
///
/// # Errors
/// Fails where a name is malformed.
pub fn plan(deployment: &deployment::Deployment, port: Option<u16>) -> Result<Vec<Plan>, Error> {
    let malformed = |error| Error::Deployment(deployment::Error::Id(error));
    let mut plans = Vec::new();
    for (index, (domain, stated)) in deployment.ticket.domains.iter().enumerate() {
        for name in stated.hosts.keys() {
            let offset = HOST_PORTS.saturating_mul(plans.len() as u16);
            plans.push(Plan {
                name: name.parse().map_err(malformed)?,
                domain: domain.parse().map_err(malformed)?,
                number: relay::Domain::numbered(index),
                port: port.map(|port| port.saturating_add(offset)),
            });
        }
    }
    Ok(plans)
}

impl Plan {
    /// Returns the address of the listener with this offset from the host's first port.
    fn listen(&self, offset: u16) -> net::SocketAddr {
        let port = self.port.map_or(0, |port| port.saturating_add(offset));
        net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
    }

    fn settings(&self, control: Option<net::SocketAddr>) -> settings::Settings {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let mut made = settings::Settings::new("yucca-dev", self.name.clone(), self.domain.clone());
        made.callers = self.listen(0);
        // The relay takes the host's own port and forwards to this one.
        made.peer = any;
        made.announce = self.listen(3);
        made.balancer = self.listen(4);
        made.local = Some(self.number.source());
        made.control = control.into_iter().collect();
        made.peer_secret = auth::Secret::new(PEER_SECRET);
        made.announce_secret = auth::Secret::new(super::ANNOUNCE_SECRET);
        made
    }
}

/// A host of a deployment.
pub struct Host {
    /// Its failure domain.
    pub domain: id::Domain,
    /// The settings of its entry process, with the addresses that are bound.
    pub settings: settings::Settings,
    /// Its entry process, where it runs.
    pub entry: Option<process::Process>,
    bound: Option<running::Bound>,
    relay: relay::Relay,
}

impl Host {
    /// Binds the listeners of a host.
    ///
    /// # Errors
    /// Fails where an address cannot be bound.
    pub async fn bind(
        plan: Plan,
        control: Option<net::SocketAddr>,
        cuts: sync::Arc<relay::Cuts>,
    ) -> Result<Self, Error> {
        let mut settings = plan.settings(control);
        let bound = running::Bound::bind(settings.clone()).await;
        let bound = bound.map_err(Error::Entry)?;
        let addresses = bound.addresses();
        settings.callers = addresses.callers;
        settings.peer = addresses.peer;
        settings.balancer = addresses.balancer;
        settings.announce = addresses.announce;
        let listen = plan.listen(1);
        let relay = relay::Relay::start(listen, addresses.peer, plan.number, cuts).await;
        let relay = relay.map_err(|source| Error::Listen {
            address: listen,
            source,
        })?;
        Ok(Self {
            domain: plan.domain,
            settings,
            entry: None,
            bound: Some(bound),
            relay,
        })
    }

    /// Starts the entry process on the bound listeners.
    pub fn start_bound(&mut self) {
        self.entry = self.bound.take().map(|bound| bound.start(None));
    }

    /// Returns the address at which other hosts reach the entry process.
    pub fn peer(&self) -> net::SocketAddr {
        self.relay.address()
    }

    /// Takes the entry process out, to be stopped.
    ///
    /// # Errors
    /// Fails where it does not run.
    pub fn take(&mut self) -> Result<process::Process, Error> {
        self.entry.take().ok_or_else(|| Error::State {
            host: self.settings.host.clone(),
            state: "not running",
        })
    }

    /// Ends the entry process abruptly.
    ///
    /// # Errors
    /// Fails where it does not run.
    pub fn abort(&mut self) -> Result<(), Error> {
        self.take()?.abort();
        Ok(())
    }

    /// Starts the entry process again, at the same addresses.
    ///
    /// # Errors
    /// Fails where it runs, or an address is taken.
    pub async fn restart(&mut self) -> Result<(), Error> {
        if self.entry.is_some() {
            return Err(Error::State {
                host: self.settings.host.clone(),
                state: "running",
            });
        }
        let started = process::Process::start(self.settings.clone()).await;
        self.entry = Some(started.map_err(Error::Entry)?);
        Ok(())
    }
}
