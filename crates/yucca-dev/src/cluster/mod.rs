//! A whole deployment in one process on loopback: entry processes, control processes and mock
//! targets.

pub mod fault;
pub mod faults;
pub mod forwarder;
mod host;
pub mod start;

use std::fmt;
use std::net;
use std::sync;
use std::time;

use indexmap::IndexMap;
use serde::Serialize;
use tokio::sync::{MappedMutexGuard, Mutex, MutexGuard};
use yucca_wire::auth;
use yucca_wire::id;
use yucca_wire::ticket;

use crate::deployment;
use crate::fleet;
use crate::journal;
use crate::load::discovery;
use crate::target;

/// Name of the deployment.
const DEPLOYMENT: &str = "yucca-dev";

/// Secret of operators, for the calls of this module and of the user.
pub const OPERATOR_SECRET: &str = "a stand-in secret of operators";

/// Secret of targets that announce themselves.
const ANNOUNCE_SECRET: &str = "a stand-in secret of targets";

/// Settings of a deployment in one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Sample deployment to run.
    pub deployment: deployment::Deployment,
    /// First port of the listeners; with `None` they listen on free ports.
    pub port: Option<u16>,
    /// Time that targets take from a cold start to the full rate.
    pub warmup: time::Duration,
    /// Seed of the targets' service times.
    pub seed: u64,
    /// Whether requests between entry hosts pass through forwarders, which can cut domains off.
    pub cuts: bool,
    /// External control process that all hosts report to; with `None` one starts on each host.
    pub control: Option<net::SocketAddr>,
}

/// Reason why a deployment does not start or a fault cannot be injected.
#[derive(Debug)]
pub enum Error {
    /// The deployment is malformed.
    Deployment(deployment::Error),
    /// An entry process does not start.
    Entry(yucca_entry::process::Error),
    /// A control process does not start.
    Control(yucca_control::process::Error),
    /// The folder of the hosts' disks cannot be created.
    Data(std::io::Error),
    /// The targets do not start.
    Fleet(fleet::Error),
    /// A forwarder or the fault API cannot bind its address.
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The deployment's ticket is refused.
    Ticket {
        /// Body of the answer.
        reason: String,
    },
    /// A fault names a target, host or domain that does not exist.
    Unknown {
        /// Kind of thing: target, host or domain.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The deployment was started without forwarders.
    NoCuts,
    /// The process to start already runs, or the process to stop does not run.
    State {
        /// The host.
        host: id::Host,
        /// Current state of the process.
        state: &'static str,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment(error) => error.fmt(f),
            Self::Entry(error) => error.fmt(f),
            Self::Control(error) => error.fmt(f),
            Self::Data(error) => {
                write!(
                    f,
                    "cannot create a folder for data: {error}; set TMPDIR to a writable folder"
                )
            }
            Self::Fleet(error) => error.fmt(f),
            Self::Listen { address, source } => {
                write!(
                    f,
                    "cannot listen on {address}: {source}; use another --port"
                )
            }
            Self::Ticket { reason } => write!(f, "the sample ticket is refused: {reason}"),
            Self::Unknown { kind, name } => write!(
                f,
                "there is no {kind} {name:?}; GET /targets and GET /hosts list the known names"
            ),
            Self::NoCuts => f.write_str(
                "domains cannot be cut off without forwarders; start without --without-cuts",
            ),
            Self::State { host, state } => {
                write!(f, "the process of host {host} is {state}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// A host in the list of the fault API.
#[derive(Debug, Clone, Serialize)]
pub struct Listing {
    /// Name.
    pub host: id::Host,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for other entry hosts.
    pub peer: net::SocketAddr,
    /// Address for the platform's balancer.
    pub balancer: net::SocketAddr,
    /// Address at which targets announce themselves.
    pub announce: net::SocketAddr,
    /// Address of the control process for operators.
    pub operator: net::SocketAddr,
    /// Whether the entry process runs.
    pub entry: bool,
    /// Whether the control process runs.
    pub control: bool,
}

/// A running deployment.
pub struct Cluster {
    deployment: deployment::Deployment,
    hosts: Mutex<IndexMap<id::Host, host::Host>>,
    served: sync::Mutex<fleet::Fleet>,
    spare: fleet::Fleet,
    cuts: sync::Arc<forwarder::Cuts>,
    can_cut: bool,
    /// Disks of the hosts, deleted when the deployment is dropped.
    _data: tempfile::TempDir,
}

impl Cluster {
    /// Starts all hosts and targets of a deployment.
    ///
    /// # Errors
    /// Fails if the deployment is malformed, an address cannot be bound or a process does not start.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let deployment = &settings.deployment;
        let data = tempfile::tempdir().map_err(Error::Data)?;
        let cuts = sync::Arc::new(forwarder::Cuts::default());
        let mut hosts = IndexMap::new();
        for plan in host::plan(deployment, settings.port)? {
            let name = plan.name.clone();
            hosts.insert(name, host::Host::bind(plan, data.path(), &cuts).await?);
        }
        start_hosts(&mut hosts, settings.control).await?;
        let fleet = fleet::Settings {
            ip: net::Ipv4Addr::LOCALHOST.into(),
            warmup: settings.warmup,
            seed: settings.seed,
            announce: announce_addresses(&hosts),
            secret: auth::Secret::new(ANNOUNCE_SECRET),
        };
        let spare = fleet::Settings {
            announce: IndexMap::new(),
            ..fleet.clone()
        };
        let served = fleet::Fleet::start(deployment, &fleet).await;
        let spare = fleet::Fleet::start(deployment, &spare).await;
        Ok(Self {
            served: sync::Mutex::new(served.map_err(Error::Fleet)?),
            spare: spare.map_err(Error::Fleet)?,
            hosts: Mutex::new(hosts),
            cuts,
            can_cut: settings.cuts,
            _data: data,
            deployment: settings.deployment,
        })
    }

    /// Returns the sample ticket with the addresses of these hosts.
    pub async fn ticket(&self) -> ticket::Ticket {
        let hosts = self.hosts.lock().await;
        let mut ticket = self.deployment.ticket.clone();
        for (name, host) in hosts.iter() {
            let domain = ticket.domains.get_mut(host.domain.as_str());
            let definition = domain.and_then(|domain| domain.hosts.get_mut(name.as_str()));
            if let Some(definition) = definition {
                definition.peer = match self.can_cut {
                    true => host.entry_peer().to_string(),
                    false => host.entry_settings.peer.to_string(),
                };
                definition.control = host.control_peer().to_string();
            }
        }
        ticket
    }

    /// Returns the domain and callers' address of each entry host.
    pub async fn entries(&self) -> Vec<discovery::Entry> {
        let hosts = self.hosts.lock().await;
        let entries = hosts.values().map(|host| discovery::Entry {
            domain: host.domain.clone(),
            callers: host.entry_settings.callers,
        });
        entries.collect()
    }

    /// Returns the operators' address of the first host's control process.
    pub async fn operator(&self) -> net::SocketAddr {
        let hosts = self.hosts.lock().await;
        let first = hosts.values().next();
        first.map_or_else(
            || net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            |host| host.control_settings.addresses.operator,
        )
    }

    /// Returns all hosts and whether their processes run.
    pub async fn host_list(&self) -> Vec<Listing> {
        let hosts = self.hosts.lock().await;
        let list = hosts.iter().map(|(name, host)| Listing {
            host: name.clone(),
            domain: host.domain.clone(),
            callers: host.entry_settings.callers,
            peer: host.entry_peer(),
            balancer: host.entry_settings.balancer,
            announce: host.entry_settings.announce,
            operator: host.control_settings.addresses.operator,
            entry: host.entry().is_some(),
            control: host.control().is_some(),
        });
        list.collect()
    }

    /// Waits until each running entry process has applied a table version.
    pub async fn ready(&self) {
        let hosts = self.hosts.lock().await;
        for process in hosts.values().filter_map(host::Host::entry) {
            process.ready().await;
        }
    }

    /// Returns the served targets and the spare ones, which no lane sends to.
    pub fn targets(&self) -> discovery::Targets {
        discovery::Targets {
            served: self.served().list(),
            spare: self.spare.list(),
        }
    }

    /// Returns the journal of the served targets.
    pub fn journal(&self) -> sync::Arc<journal::Journal> {
        self.served().journal.clone()
    }

    /// Injects or ends a fault.
    ///
    /// # Errors
    /// Fails if the fault names something that does not exist, needs forwarders that the deployment
    /// does not have, or starts or stops a process that is already in that state.
    pub async fn inject(&self, fault: fault::Fault) -> Result<(), Error> {
        use fault::Fault;
        match fault {
            Fault::Freeze { target } => self.with_target(&target, target::Target::freeze),
            Fault::Thaw { target } => self.with_target(&target, target::Target::thaw),
            Fault::Silence { target } => self.with_target(&target, target::Target::silence),
            Fault::Restart { target } => self.with_target(&target, target::Target::restart),
            Fault::Announce { target, state } => {
                self.with_target(&target, |target| target.set_state(state))
            }
            Fault::Mislead { target, report } => {
                self.with_target(&target, |target| target.mislead(report))
            }
            Fault::Lose { target } => {
                let lost = self.served().lose(&target);
                lost.then_some(()).ok_or_else(|| unknown("target", &target))
            }
            Fault::StopEntry { host } => {
                self.host(&host).await?.take_entry()?.abort();
                Ok(())
            }
            Fault::StartEntry { host } => self.host(&host).await?.start_entry().await,
            Fault::DrainEntry { host } => {
                let process = self.host(&host).await?.take_entry()?;
                process.stop().await;
                Ok(())
            }
            Fault::StopControl { host } => {
                self.host(&host).await?.take_control()?.abort();
                Ok(())
            }
            Fault::StartControl { host } => self.host(&host).await?.start_control().await,
            Fault::Cut { one, other } => {
                self.cuts.cut(self.pair(&one, &other)?);
                Ok(())
            }
            Fault::Heal { one, other } => {
                self.cuts.heal(self.pair(&one, &other)?);
                Ok(())
            }
        }
    }

    fn served(&self) -> sync::MutexGuard<'_, fleet::Fleet> {
        self.served
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn with_target(
        &self,
        name: &id::Target,
        act: impl FnOnce(&target::Target),
    ) -> Result<(), Error> {
        let served = self.served();
        let target = served.get(name).ok_or_else(|| unknown("target", name))?;
        act(target);
        Ok(())
    }

    async fn host(&self, name: &id::Host) -> Result<MappedMutexGuard<'_, host::Host>, Error> {
        let hosts = self.hosts.lock().await;
        let found = MutexGuard::try_map(hosts, |hosts| hosts.get_mut(name));
        found.map_err(|_| unknown("host", name))
    }

    fn pair(&self, one: &id::Domain, other: &id::Domain) -> Result<forwarder::Pair, Error> {
        if !self.can_cut {
            return Err(Error::NoCuts);
        }
        Ok(forwarder::Pair::new(self.number(one)?, self.number(other)?))
    }

    fn number(&self, domain: &id::Domain) -> Result<forwarder::Domain, Error> {
        let index = self.deployment.ticket.domains.get_index_of(domain.as_str());
        let index = index.ok_or_else(|| unknown("domain", domain))?;
        Ok(forwarder::Domain::from_index(index))
    }
}

fn unknown(kind: &'static str, name: &impl fmt::Display) -> Error {
    Error::Unknown {
        kind,
        name: name.to_string(),
    }
}

/// Starts the processes of all hosts; with an external control process, only entry processes.
async fn start_hosts(
    hosts: &mut IndexMap<id::Host, host::Host>,
    external: Option<net::SocketAddr>,
) -> Result<(), Error> {
    let members: Vec<_> = hosts.values().map(host::Host::bootstrap_member).collect();
    for host in hosts.values_mut() {
        let domain = members.iter().filter(|other| other.domain == host.domain);
        let (own, others): (Vec<_>, Vec<_>) =
            domain.partition(|other| other.host == host.entry_settings.host);
        let control = own.into_iter().chain(others).map(|other| other.address);
        host.entry_settings.control = match external {
            Some(external) => vec![external],
            None => control.collect(),
        };
        host.control_settings.peers = members.clone();
        if external.is_none() {
            host.start_control().await?;
        }
    }
    for host in hosts.values_mut() {
        host.start_entry().await?;
    }
    Ok(())
}

/// Returns the announce addresses of the hosts of each domain.
fn announce_addresses(
    hosts: &IndexMap<id::Host, host::Host>,
) -> IndexMap<id::Domain, Vec<net::SocketAddr>> {
    let mut found: IndexMap<id::Domain, Vec<net::SocketAddr>> = IndexMap::new();
    for host in hosts.values() {
        let addresses = found.entry(host.domain.clone()).or_default();
        addresses.push(host.entry_settings.announce);
    }
    found
}
