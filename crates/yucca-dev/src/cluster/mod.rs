//! A whole deployment in one process: entry hosts, control and stand-in targets, on loopback.

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

/// The name of the deployment.
const DEPLOYMENT: &str = "yucca-dev";

/// The secret of operators, which the stand-in deployment's own calls and its user show.
pub const OPERATOR_SECRET: &str = "a stand-in secret of operators";

/// The secret of targets that announce themselves.
const ANNOUNCE_SECRET: &str = "a stand-in secret of targets";

/// How a deployment starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What it serves.
    pub deployment: deployment::Deployment,
    /// The first of its ports; none takes free ones.
    pub port: Option<u16>,
    /// How long targets take from a cold start to their full rate.
    pub warmup: time::Duration,
    /// The seed of the targets' service times.
    pub seed: u64,
    /// Whether requests between entry hosts pass forwarders, by which domains can be cut off.
    pub cuts: bool,
    /// A control process elsewhere, to which all hosts report; none starts one on each host.
    pub control: Option<net::SocketAddr>,
}

/// Why a deployment does not start or a fault cannot be carried out.
#[derive(Debug)]
pub enum Error {
    /// The deployment is malformed.
    Deployment(deployment::Error),
    /// An entry process does not start.
    Entry(yucca_entry::process::Error),
    /// A control process does not start.
    Control(yucca_control::process::Error),
    /// The folder of the hosts' disks cannot be made.
    Data(std::io::Error),
    /// The targets do not start.
    Fleet(fleet::Error),
    /// A listener of the deployment's own does not start.
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The deployment's ticket is refused.
    Ticket {
        /// The answer.
        reason: String,
    },
    /// A fault names something that is not there.
    Unknown {
        /// What it is: a target, host or domain.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// The deployment was started without forwarders.
    NoCuts,
    /// A host's process is already in the wanted state.
    State {
        /// The host.
        host: id::Host,
        /// The state.
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
                    "cannot make a folder for data: {error}; set TMPDIR to one that can"
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
            Self::Unknown { what, name } => write!(
                f,
                "there is no {what} {name:?}; GET /targets and GET /hosts list what there is"
            ),
            Self::NoCuts => f.write_str(
                "domains cannot be cut off without forwarders; start without --without-cuts",
            ),
            Self::State { host, state } => write!(f, "the process of host {host} is {state}"),
        }
    }
}

impl std::error::Error for Error {}

/// A host in the list at the faults address.
#[derive(Debug, Clone, Serialize)]
pub struct Listing {
    /// Its name.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where callers reach it.
    pub callers: net::SocketAddr,
    /// Where other entry hosts reach it.
    pub peer: net::SocketAddr,
    /// Where the platform's balancer reaches it.
    pub balancer: net::SocketAddr,
    /// Where targets announce themselves.
    pub announce: net::SocketAddr,
    /// Where operators reach its control process.
    pub operator: net::SocketAddr,
    /// Whether its entry process runs.
    pub entry: bool,
    /// Whether its control process runs.
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
    /// The hosts' disks, removed with the deployment.
    _data: tempfile::TempDir,
}

impl Cluster {
    /// Starts all hosts and targets of a deployment.
    ///
    /// # Errors
    /// Fails where the deployment is malformed or an address cannot be bound.
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
            announce: announce_hosts(&hosts),
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
            let stated = domain.and_then(|domain| domain.hosts.get_mut(name.as_str()));
            if let Some(stated) = stated {
                stated.peer = match self.can_cut {
                    true => host.entry_peer().to_string(),
                    false => host.entry_settings.peer.to_string(),
                };
                stated.control = host.control_peer().to_string();
            }
        }
        ticket
    }

    /// Returns where callers reach the entry hosts.
    pub async fn entries(&self) -> Vec<discovery::Entry> {
        let hosts = self.hosts.lock().await;
        let entries = hosts.values().map(|host| discovery::Entry {
            domain: host.domain.clone(),
            callers: host.entry_settings.callers,
        });
        entries.collect()
    }

    /// Returns where operators reach the first host's control process.
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

    /// Waits until every entry host that runs has taken in a version.
    pub async fn ready(&self) {
        let hosts = self.hosts.lock().await;
        for process in hosts.values().filter_map(host::Host::entry) {
            process.ready().await;
        }
    }

    /// Returns the targets, and the spare ones that no lane knows.
    pub fn targets(&self) -> discovery::Targets {
        discovery::Targets {
            served: self.served().list(),
            spare: self.spare.list(),
        }
    }

    /// Returns the record of the served targets' runs.
    pub fn journal(&self) -> sync::Arc<journal::Journal> {
        self.served().journal.clone()
    }

    /// Brings a fault about, or ends it.
    ///
    /// # Errors
    /// Fails where it names something that is not there.
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

fn unknown(what: &'static str, name: &impl fmt::Display) -> Error {
    Error::Unknown {
        what,
        name: name.to_string(),
    }
}

/// Starts the processes of all hosts; control processes only where none is elsewhere.
async fn start_hosts(
    hosts: &mut IndexMap<id::Host, host::Host>,
    elsewhere: Option<net::SocketAddr>,
) -> Result<(), Error> {
    let founders: Vec<_> = hosts.values().map(host::Host::founder).collect();
    for host in hosts.values_mut() {
        let domain = founders.iter().filter(|other| other.domain == host.domain);
        let (own, others): (Vec<_>, Vec<_>) =
            domain.partition(|other| other.host == host.entry_settings.host);
        let control = own.into_iter().chain(others).map(|other| other.address);
        host.entry_settings.control = match elsewhere {
            Some(elsewhere) => vec![elsewhere],
            None => control.collect(),
        };
        host.control_settings.peers = founders.clone();
        if elsewhere.is_none() {
            host.start_control().await?;
        }
    }
    for host in hosts.values_mut() {
        host.start_entry().await?;
    }
    Ok(())
}

fn announce_hosts(
    hosts: &IndexMap<id::Host, host::Host>,
) -> IndexMap<id::Domain, Vec<net::SocketAddr>> {
    let mut found: IndexMap<id::Domain, Vec<net::SocketAddr>> = IndexMap::new();
    for host in hosts.values() {
        let addresses = found.entry(host.domain.clone()).or_default();
        addresses.push(host.entry_settings.announce);
    }
    found
}
