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

/// The ports between the first listeners of two hosts.
const HOST_PORTS: u16 = 10;

/// The secret of peers; a stand-in deployment guards nothing.
const PEER_SECRET: &str = "a stand-in secret of peers";

/// A host's listeners, by their offsets from the first of its ports.
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

/// A host that is to be started.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The host.
    pub name: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it has a disk.
    pub disk: bool,
    number: forwarder::Domain,
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
        for (name, host) in &stated.hosts {
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

    /// Relays take the host's own peer ports and forward to ports that the system chooses.
    fn behind_forwarder() -> net::SocketAddr {
        net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
    }

    fn entry_settings(&self) -> yucca_entry::settings::Settings {
        let mut made = yucca_entry::settings::Settings::new(
            super::DEPLOYMENT,
            self.name.clone(),
            self.domain.clone(),
        );
        made.callers = self.listen(Listener::Callers);
        made.peer = Self::behind_forwarder();
        made.announce = self.listen(Listener::Announce);
        made.balancer = self.listen(Listener::Balancer);
        made.local = Some(self.number.source());
        made.peer_secret = auth::Secret::new(PEER_SECRET);
        made.announce_secret = auth::Secret::new(super::ANNOUNCE_SECRET);
        made
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
    /// Its failure domain.
    pub domain: id::Domain,
    /// The settings of its entry process; the addresses are those bound once it has started.
    pub entry_settings: yucca_entry::settings::Settings,
    /// The settings of its control process, likewise.
    pub control_settings: yucca_control::settings::Settings,
    entry: Option<entry::Process>,
    control: Option<control::Process>,
    entry_forwarder: forwarder::Forwarder,
    control_forwarder: forwarder::Forwarder,
    disk: bool,
}

impl Host {
    /// Binds the addresses at which other hosts reach this one; its processes start later.
    ///
    /// # Errors
    /// Fails where an address cannot be bound.
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

    /// Returns how other control processes know this host's.
    pub fn founder(&self) -> yucca_control::settings::Peer {
        yucca_control::settings::Peer {
            host: self.entry_settings.host.clone(),
            domain: self.domain.clone(),
            address: self.control_peer(),
            disk: self.disk,
        }
    }

    /// Returns the entry process, where it runs.
    pub fn entry(&self) -> Option<&entry::Process> {
        self.entry.as_ref()
    }

    /// Returns the control process, where it runs.
    pub fn control(&self) -> Option<&control::Process> {
        self.control.as_ref()
    }

    /// Starts the entry process. One that ran before is started at the same addresses.
    ///
    /// # Errors
    /// Fails where it runs, or an address cannot be bound.
    pub async fn start_entry(&mut self) -> Result<(), Error> {
        if self.entry.is_some() {
            return Err(self.state("running"));
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

    /// Starts the control process. One that ran before is started at the same addresses.
    ///
    /// # Errors
    /// Fails where it runs, an address cannot be bound or its storage cannot be opened.
    pub async fn start_control(&mut self) -> Result<(), Error> {
        if self.control.is_some() {
            return Err(self.state("running"));
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

    /// Takes the entry process out, to be stopped.
    ///
    /// # Errors
    /// Fails where it does not run.
    pub fn take_entry(&mut self) -> Result<entry::Process, Error> {
        let process = self.entry.take();
        process.ok_or_else(|| self.state("not running"))
    }

    /// Takes the control process out, to be stopped.
    ///
    /// # Errors
    /// Fails where it does not run.
    pub fn take_control(&mut self) -> Result<control::Process, Error> {
        let process = self.control.take();
        process.ok_or_else(|| self.state("not running"))
    }

    fn state(&self, state: &'static str) -> Error {
        Error::State {
            host: self.entry_settings.host.clone(),
            state,
        }
    }
}
