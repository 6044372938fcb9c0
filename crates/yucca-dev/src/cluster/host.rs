//! One host of a deployment: its addresses and its processes.

use std::net;
use std::path;
use std::sync;

use yucca_control::process as control;
use yucca_entry::process as entry;
use yucca_wire::auth;
use yucca_wire::id;

use super::Error;
use super::forwarder;
use crate::deployment;

/// Number of ports from the first listener of one host to that of the next.
const HOST_PORTS: u16 = 10;

/// Secret of peers; public, since a mock deployment protects nothing.
const PEER_SECRET: &str = "a stand-in secret of peers";

/// Listeners of a host; the values are offsets from the host's first port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    Callers = 0,
    EntryPeer = 1,
    ControlPeer = 2,
    Announce = 3,
    Balancer = 4,
    Operator = 5,
    Health = 6,
}

/// Description of a host to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Name of the host.
    pub name: id::Host,
    /// Failure domain.
    pub domain: id::Domain,
    /// Whether the host has a disk.
    pub disk: bool,
    number: forwarder::Domain,
    port: Option<u16>,
}

/// Returns the plans of all hosts of a deployment.
///
/// # Errors
/// Fails if a name is malformed.
pub fn plan(deployment: &deployment::Deployment, port: Option<u16>) -> Result<Vec<Plan>, Error> {
    let malformed = |error| Error::Deployment(deployment::Error::Id(error));
    let mut plans = Vec::new();
    for (index, (domain, definition)) in deployment.ticket.domains.iter().enumerate() {
        for (name, host) in &definition.hosts {
            let offset = HOST_PORTS.saturating_mul(plans.len() as u16);
            plans.push(Plan {
                name: name.parse().map_err(malformed)?,
                domain: domain.parse().map_err(malformed)?,
                disk: host.disk,
                number: forwarder::Domain::from_index(index),
                port: port.map(|port| port.saturating_add(offset)),
            });
        }
    }
    Ok(plans)
}

impl Plan {
    fn listen(&self, listener: Listener) -> net::SocketAddr {
        let offset = listener as u16;
        let port = self.port.map_or(0, |port| port.saturating_add(offset));
        net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
    }

    /// Returns the listen address of a process behind a forwarder. The forwarder listens on the
    /// host's peer port, and the process on a free port that the operating system selects.
    fn behind_forwarder() -> net::SocketAddr {
        net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
    }

    fn entry_settings(&self) -> yucca_entry::settings::Settings {
        let mut settings = yucca_entry::settings::Settings::new(
            super::DEPLOYMENT,
            self.name.clone(),
            self.domain.clone(),
        );
        settings.callers = self.listen(Listener::Callers);
        settings.peer = Self::behind_forwarder();
        settings.announce = self.listen(Listener::Announce);
        settings.balancer = self.listen(Listener::Balancer);
        settings.local = Some(self.number.source());
        settings.peer_secret = auth::Secret::new(PEER_SECRET);
        settings.announce_secret = auth::Secret::new(super::ANNOUNCE_SECRET);
        settings
    }

    fn control_settings(&self, data: &path::Path) -> yucca_control::settings::Settings {
        use yucca_control::settings;
        use yucca_wire::unit::Span;
        settings::Settings {
            local: Some(self.number.source()),
            deployment: super::DEPLOYMENT.into(),
            host: self.name.clone(),
            domain: self.domain.clone(),
            data: self.disk.then(|| data.join(self.name.as_str())),
            addresses: settings::Addresses {
                operator: self.listen(Listener::Operator),
                peer: Self::behind_forwarder(),
                health: self.listen(Listener::Health),
            },
            secrets: settings::Secrets {
                operator: auth::Secret::new(super::OPERATOR_SECRET),
                peer: auth::Secret::new(PEER_SECRET),
            },
            timing: settings::Timing {
                heartbeat: Span::from_millis(200),
                plan: Span::from_millis(100),
                answer: Span::from_millis(1000),
                accept: Span::from_millis(5000),
                stop: Span::from_millis(5000),
            },
            peers: Vec::new(),
        }
    }
}

/// A host of a deployment.
pub struct Host {
    /// Failure domain.
    pub domain: id::Domain,
    /// Settings of the entry process. After its first start they hold the bound addresses.
    pub entry_settings: yucca_entry::settings::Settings,
    /// Settings of the control process. After its first start they hold the bound addresses.
    pub control_settings: yucca_control::settings::Settings,
    entry: Option<entry::Process>,
    control: Option<control::Process>,
    entry_forwarder: forwarder::Forwarder,
    control_forwarder: forwarder::Forwarder,
    disk: bool,
}

impl Host {
    /// Binds the addresses at which other hosts reach this one, without starting its processes.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(
        plan: Plan,
        data: &path::Path,
        cuts: &sync::Arc<forwarder::Cuts>,
    ) -> Result<Self, Error> {
        let forwarder = async |listener| {
            let address = plan.listen(listener);
            let started = forwarder::Forwarder::start(address, plan.number, cuts.clone()).await;
            started.map_err(|source| Error::Listen { address, source })
        };
        Ok(Self {
            entry_forwarder: forwarder(Listener::EntryPeer).await?,
            control_forwarder: forwarder(Listener::ControlPeer).await?,
            entry_settings: plan.entry_settings(),
            control_settings: plan.control_settings(data),
            domain: plan.domain,
            disk: plan.disk,
            entry: None,
            control: None,
        })
    }

    /// Returns the address at which other hosts reach the entry process.
    pub fn entry_peer(&self) -> net::SocketAddr {
        self.entry_forwarder.address()
    }

    /// Returns the address at which other hosts reach the control process.
    pub fn control_peer(&self) -> net::SocketAddr {
        self.control_forwarder.address()
    }

    /// Returns this host's control process as a peer in the settings of all control processes.
    pub fn bootstrap_member(&self) -> yucca_control::settings::Peer {
        yucca_control::settings::Peer {
            host: self.entry_settings.host.clone(),
            domain: self.domain.clone(),
            address: self.control_peer(),
            disk: self.disk,
        }
    }

    /// Returns the entry process if it runs.
    pub fn entry(&self) -> Option<&entry::Process> {
        self.entry.as_ref()
    }

    /// Returns the control process if it runs.
    pub fn control(&self) -> Option<&control::Process> {
        self.control.as_ref()
    }

    /// Starts the entry process, at the same addresses as before if it ran before.
    ///
    /// # Errors
    /// Fails if the process already runs or an address cannot be bound.
    pub async fn start_entry(&mut self) -> Result<(), Error> {
        if self.entry.is_some() {
            return Err(self.state_error("running"));
        }
        let settings = self.entry_settings.clone();
        let started = entry::Process::start(settings).await;
        let process = started.map_err(Error::Entry)?;
        let addresses = process.addresses();
        self.entry_settings.callers = addresses.callers;
        self.entry_settings.peer = addresses.peer;
        self.entry_settings.balancer = addresses.balancer;
        self.entry_settings.announce = addresses.announce;
        self.entry_forwarder.set_upstream(addresses.peer);
        self.entry = Some(process);
        Ok(())
    }

    /// Starts the control process, at the same addresses as before if it ran before.
    ///
    /// # Errors
    /// Fails if the process already runs, an address cannot be bound or its storage cannot be opened.
    pub async fn start_control(&mut self) -> Result<(), Error> {
        if self.control.is_some() {
            return Err(self.state_error("running"));
        }
        let settings = self.control_settings.clone();
        let started = control::Process::start(settings).await;
        let process = started.map_err(Error::Control)?;
        let addresses = process.addresses();
        self.control_settings.addresses.operator = addresses.operator;
        self.control_settings.addresses.peer = addresses.peer;
        self.control_settings.addresses.health = addresses.health;
        self.control_forwarder.set_upstream(addresses.peer);
        self.control = Some(process);
        Ok(())
    }

    /// Removes and returns the entry process, which the caller then stops.
    ///
    /// # Errors
    /// Fails if the process does not run.
    pub fn take_entry(&mut self) -> Result<entry::Process, Error> {
        let process = self.entry.take();
        process.ok_or_else(|| self.state_error("not running"))
    }

    /// Removes and returns the control process, which the caller then stops.
    ///
    /// # Errors
    /// Fails if the process does not run.
    pub fn take_control(&mut self) -> Result<control::Process, Error> {
        let process = self.control.take();
        process.ok_or_else(|| self.state_error("not running"))
    }

    fn state_error(&self, state: &'static str) -> Error {
        Error::State {
            host: self.entry_settings.host.clone(),
            state,
        }
    }
}
