//! The control process: it takes part in the log, hears targets and operators, and tells entry
//! hosts what is agreed on.

mod announce;
mod ask;
mod call;
mod carry;
mod follower;
mod machine;

use std::net;
use std::sync;
use std::time;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use rand::rngs;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::task;
use yucca_control::{directory, message as log_name, replica, version::feed};
use yucca_log::node;
use yucca_own::site::lease;

use crate::clock;
use crate::dialect::operator;
use crate::error::Error;
use crate::mesh::{link, message};
use crate::metric;
use crate::server;
use crate::settings;

/// How often the leader of the log is heard.
const HEARTBEAT: time::Duration = time::Duration::from_millis(80);

/// The shortest silence of a leader after which another one is sought.
const ELECTION: time::Duration = time::Duration::from_millis(350);

/// A target that missed so many announcements gets no further keys.
const SILENT_ANNOUNCEMENTS: u32 = 3;

/// The first sharing out of keys waits so many announcements for further targets.
const SETTLE_ANNOUNCEMENTS: f64 = 1.3;

/// The most events of connections that wait.
const EVENTS: usize = 4096;

/// Open requests get this part of the time to stop; handing leadership over may take the rest.
const DRAIN_DIVISOR: u32 = 4;

/// How long a process that stops waits for another leader.
const HAND_OVER_PATIENCE: time::Duration = time::Duration::from_millis(1_500);

/// What the parts of the process share.
///
/// Locks are taken in the order `machine`, `book`, `followers`, `dialers`; none is held across an
/// await.
pub(crate) struct Core {
    settings: settings::Settings,
    dialect: Box<dyn operator::Operator>,
    clock: clock::Clock,
    replica: replica::Replica,
    machine: sync::Arc<sync::Mutex<machine::Site>>,
    /// The leases, with the term in which this host gives them.
    book: sync::Mutex<Option<(u64, lease::Registry)>>,
    followers: sync::Mutex<IndexMap<link::Id, follower::Follower>>,
    carrier: sync::Arc<carry::Carrier>,
    questions: ask::Questions,
    /// The confirmation of leadership that heartbeats wait for, until it begins.
    confirmation: sync::Mutex<Option<call::Confirmation>>,
    /// The port for operators and targets, the same on all control hosts.
    operator_port: u16,
    hosts: sync::Arc<ArcSwap<directory::Directory>>,
}

/// A running control process.
pub struct Process {
    core: sync::Arc<Core>,
    server: server::Running,
    _metrics: Option<server::Running>,
    _tasks: task::JoinSet<()>,
}

impl Process {
    /// Starts a control process.
    ///
    /// # Errors
    /// Fails where a setting is missing, an address is taken or the log does not open.
    pub async fn start(
        settings: settings::Settings,
        dialect: Box<dyn operator::Operator>,
    ) -> Result<Self, Error> {
        let operator = settings.addresses.operator;
        let operator = operator.ok_or(Error::Missing("addresses.operator"))?;
        let data = settings.data.clone().ok_or(Error::Missing("data"))?;
        let host = settings.host().map_err(Error::Name)?;
        let hello = message::Hello {
            role: message::Role::Control,
            host: host.clone(),
            ip: settings.ip,
            domain: settings.domain.clone(),
        };
        let metrics = metric::start(settings.addresses.metrics).await?;
        let callers = server::listen(operator).await?;
        let peers = server::listen(settings.addresses.mesh).await?;
        let (events, received) = mpsc::channel(EVENTS);
        let carrier = carry::Carrier::new(&settings, hello.clone(), events.clone());
        let carrier = sync::Arc::new(carrier);
        let hosts = sync::Arc::new(ArcSwap::from_pointee(directory::Directory::default()));
        let machine = sync::Arc::new(sync::Mutex::new(machine::Site::default()));
        let mut random = rngs::StdRng::from_os_rng();
        let seen = hosts.clone();
        let parts = replica::Parts {
            log: log_name::Log::Site,
            config: config(&settings, &host, random.random()),
            opener: Box::new(replica::storage::Disk {
                data,
                host: host.clone(),
                log: log_name::Log::Site,
                incarnations: rngs::StdRng::from_rng(&mut random),
            }),
            machine: machine.clone(),
            courier: carrier.clone(),
            feed: sync::Arc::new(feed::Feed::default()),
            hosts: sync::Arc::new(move || seen.load_full()),
            rule: replica::Rule::Spread,
        };
        let core = sync::Arc::new(Core {
            dialect,
            clock: clock::Clock::default(),
            replica: replica::Replica::start(parts).map_err(Error::Storage)?,
            machine,
            book: sync::Mutex::default(),
            followers: sync::Mutex::default(),
            carrier,
            questions: ask::Questions::default(),
            confirmation: sync::Mutex::default(),
            operator_port: operator.port(),
            hosts,
            settings,
        });
        core.note_hosts(&hello);
        core.carrier.dial(&core.settings.seeds);
        let mut tasks = task::JoinSet::new();
        tasks.spawn(link::accept(peers, hello, events));
        tasks.spawn(core.clone().hear(received));
        tasks.spawn(core.clone().publish());
        let handler = sync::Arc::new(call::Handler(core.clone()));
        Ok(Self {
            core,
            server: server::Running::start(callers, handler),
            _metrics: metrics,
            _tasks: tasks,
        })
    }

    /// Takes in other seeds, as the settings now name them.
    pub fn set_seeds(&self, seeds: &[net::IpAddr]) {
        log::info!("seeds={seeds:?} in force");
        self.core.carrier.dial(seeds);
    }

    /// Hands leadership over, lets open requests end and stops.
    pub async fn stop(mut self) {
        self.core.replica.hand_over(HAND_OVER_PATIENCE).await;
        let patience = self.core.settings.timing.stop.0 / DRAIN_DIVISOR;
        self.server.stop(patience).await;
    }
}

impl Drop for Process {
    /// Ends at once, as a killed process does.
    fn drop(&mut self) {
        self.core.replica.abort();
    }
}

impl Core {
    /// Returns the settings of the leases.
    fn lease_config(&self) -> lease::Config {
        let announce = self.settings.timing.announce.0;
        lease::Config {
            duration: self.settings.lease_duration(),
            contact_timeout: announce * SILENT_ANNOUNCEMENTS,
            claim_delay: announce.mul_f64(SETTLE_ANNOUNCEMENTS),
        }
    }
}

fn config(settings: &settings::Settings, host: &yucca_wire::id::Host, seed: u64) -> node::Config {
    let mut config = node::Config::new(host.clone(), &log_name::Log::Site.to_string());
    let mut seeds: Vec<yucca_wire::id::Host> = settings
        .seeds
        .iter()
        .filter_map(|ip| ip.to_string().parse().ok())
        .collect();
    seeds.sort();
    seeds.dedup();
    if settings.bootstrap {
        config.bootstrap_members = seeds;
    } else {
        config.peers = seeds;
    }
    config.heartbeat_interval = HEARTBEAT;
    config.election_timeout = ELECTION;
    config.seed = seed;
    config
}
