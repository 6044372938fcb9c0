//! The control process: it takes part in the log, handles requests of targets and operators, and
//! sends committed state to entry hosts.

mod announce;
mod call;
mod leader;
mod machine;
mod peer;
mod quarantine;
mod transport;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use arc_swap::ArcSwap;
use indexmap::{IndexMap, IndexSet};
use rand::rngs;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::task;
use yucca_control::{directory, message as log_name, replica, version::feed};
use yucca_log::node;
use yucca_own::site::{lease, target};

use crate::body;
use crate::clock;
use crate::dialect::operator;
use crate::error::Error;
use crate::mesh::{link, message};
use crate::metric;
use crate::server;
use crate::settings;

/// Interval between heartbeats of the log's leader.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(80);

/// Minimum time without contact with the leader after which an election starts.
const ELECTION_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// Number of missed announcements after which a target gets no further keys.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// Time that the first assignment of keys waits for further targets, in intervals between
/// announcements.
const CLAIM_DELAY_ANNOUNCEMENTS: f64 = 1.3;

/// Maximum number of queued connection events.
const MAX_QUEUED_EVENTS: usize = 4096;

/// Open requests get the stop time divided by this; the handover of leadership may take the rest.
const DRAIN_DIVISOR: u32 = 4;

/// Maximum time that a stopping process waits for another leader and for a voter in its place.
const HANDOVER_TIMEOUT: time::Duration = time::Duration::from_millis(3_000);

/// State that the parts of the process share.
///
/// Locks are taken in the order `machine`, `leases`, `peers`, `quarantine`, `heard`, `dialers`; none is
/// held
/// across an await.
pub(crate) struct Core {
    settings: settings::Settings,
    dialect: Box<dyn operator::Operator>,
    clock: clock::Clock,
    /// Memory for the bodies of requests.
    bodies: sync::Arc<body::Budget>,
    replica: replica::Replica,
    /// Whether the state has contained all that was committed at some time since the start. Until
    /// then it may be older than what entry hosts have had before.
    caught_up: atomic::AtomicBool,
    machine: sync::Arc<sync::Mutex<machine::Site>>,
    /// The leases, with the term in which this host grants them as the leader.
    leases: sync::Mutex<Option<(u64, lease::Registry)>>,
    peers: sync::Mutex<IndexMap<link::Id, peer::Peer>>,
    /// What entry hosts know of requests that crash targets.
    quarantine: sync::Mutex<yucca_lane::shared::quarantine::Table>,
    /// Targets heard from since the leader was last told, without those it hears of anyway.
    heard: sync::Mutex<IndexSet<target::Number>>,
    transport: sync::Arc<transport::Transport>,
    leader_requests: leader::PendingRequests,
    /// Next confirmation of leadership, which heartbeats can join until it begins.
    confirmation: sync::Mutex<Option<call::Confirmation>>,
    /// Port for operators and targets, the same on all control hosts.
    operator_port: u16,
    /// Known control hosts, from which the log's membership is maintained.
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
    /// Fails if a setting is missing, an address can't be used or the log can't be opened.
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
        let operators = server::listen(operator).await?;
        let mesh = server::listen(settings.addresses.mesh).await?;
        let (events, received) = mpsc::channel(MAX_QUEUED_EVENTS);
        let transport = transport::Transport::new(&settings, hello.clone(), events.clone());
        let transport = sync::Arc::new(transport);
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
            transport: transport.clone(),
            feed: sync::Arc::new(feed::Feed::default()),
            hosts: sync::Arc::new(move || seen.load_full()),
            rule: replica::Rule::Spread,
        };
        let core = sync::Arc::new(Core {
            dialect,
            clock: clock::Clock::default(),
            bodies: body::Budget::new(settings.memory),
            replica: replica::Replica::start(parts).map_err(Error::Storage)?,
            caught_up: atomic::AtomicBool::new(false),
            machine,
            leases: sync::Mutex::default(),
            peers: sync::Mutex::default(),
            quarantine: sync::Mutex::default(),
            heard: sync::Mutex::default(),
            transport,
            leader_requests: leader::PendingRequests::default(),
            confirmation: sync::Mutex::default(),
            operator_port: operator.port(),
            hosts,
            settings,
        });
        core.record_host(&hello);
        core.transport.dial(&core.settings.seeds);
        let mut tasks = task::JoinSet::new();
        tasks.spawn(link::accept(mesh, hello, events));
        tasks.spawn(core.clone().handle_events(received));
        tasks.spawn(core.clone().publish());
        tasks.spawn(core.clone().tell_contacts());
        let handler = sync::Arc::new(call::Handler(core.clone()));
        Ok(Self {
            core,
            server: server::Running::start(operators, handler),
            _metrics: metrics,
            _tasks: tasks,
        })
    }

    /// Applies changed seeds: opens connections to them.
    pub fn set_seeds(&self, seeds: &[net::IpAddr]) {
        log::info!("seeds={seeds:?} in effect");
        self.core.transport.dial(seeds);
    }

    /// Hands leadership over, waits for open requests and stops.
    pub async fn stop(mut self) {
        self.core.replica.hand_over(HANDOVER_TIMEOUT).await;
        let timeout = self.core.settings.timing.stop.0 / DRAIN_DIVISOR;
        self.server.stop(timeout).await;
    }
}

impl Drop for Process {
    /// Ends at once, as a killed process does.
    fn drop(&mut self) {
        self.core.replica.abort();
    }
}

impl Core {
    /// Returns the configuration of leases.
    fn lease_config(&self) -> lease::Config {
        let announce = self.settings.timing.announce.0;
        lease::Config {
            duration: self.settings.lease_duration(),
            contact_timeout: announce * MISSED_ANNOUNCEMENTS,
            claim_delay: announce.mul_f64(CLAIM_DELAY_ANNOUNCEMENTS),
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
    config.heartbeat_interval = HEARTBEAT_INTERVAL;
    config.election_timeout = ELECTION_TIMEOUT;
    config.seed = seed;
    config
}
