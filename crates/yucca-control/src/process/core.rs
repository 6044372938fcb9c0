//! The state that the parts of the process share.

use std::sync;
use std::time;

use arc_swap::{ArcSwap, ArcSwapOption};
use indexmap::IndexMap;
use rand::rngs;
use rand::{Rng, SeedableRng};
use tokio::task;
use yucca_log::message as log_message;
use yucca_wire::{codec, id};

use crate::client;
use crate::directory;
use crate::message;
use crate::mutex::lock;
use crate::peer;
use crate::process::{confirm, hosted, plan, poll, ready};
use crate::replay;
use crate::replica;
use crate::settings;
use crate::transport;
use crate::version::feed;

/// The state that the parts of the process share.
///
/// Locks are taken in this order: `hosted`; of one hosted log, `evidence`, `machine` and
/// `last_reports`; the feed's own lock. None is held across an await.
pub struct Core {
    /// The settings.
    pub settings: settings::Settings,
    /// The deployment.
    pub deployment: codec::Deployment,
    /// Sends messages to other control processes.
    pub client: sync::Arc<client::Client>,
    /// The newest version of the table.
    pub feed: sync::Arc<feed::Feed>,
    /// The hosts of the deployment.
    pub directory: sync::Arc<ArcSwap<directory::Directory>>,
    /// Detects messages that were received before.
    pub replay_filter: replay::Filter,
    /// The readiness of the process.
    pub ready: ready::Ready,
    /// Sends the messages of the logs.
    pub transport: sync::Arc<transport::Transport>,
    /// Wakes the planning for domains before its interval ends.
    pub plan_now: tokio::sync::Notify,
    random: sync::Mutex<rngs::StdRng>,
    reported_leader: ArcSwapOption<id::Host>,
    hosted: sync::RwLock<Hosted>,
    start: tokio::time::Instant,
}

/// The logs that this host takes part in.
#[derive(Default)]
struct Hosted {
    global: Option<sync::Arc<hosted::Global>>,
    domains: IndexMap<id::Domain, sync::Arc<hosted::Domain>>,
}

impl Core {
    /// Returns the state of a process that calls others through `peer` and whose random numbers
    /// come from `seed`.
    pub fn new(
        settings: settings::Settings,
        peer: sync::Arc<dyn peer::Peer>,
        seed: u64,
    ) -> sync::Arc<Self> {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let deployment = codec::Deployment::new(&settings.deployment);
        let host = settings.host.clone();
        let client = client::Client::new(peer, deployment, host, random.random());
        let client = sync::Arc::new(client);
        let feed = sync::Arc::new(feed::Feed::default());
        let known = directory::Directory::new(&settings.peers, &feed.global());
        let directory = sync::Arc::new(ArcSwap::from_pointee(known));
        let transport = transport::Transport::new(client.clone(), loader(&directory));
        let core = sync::Arc::new(Self {
            settings,
            deployment,
            client,
            feed,
            directory,
            replay_filter: replay::Filter::default(),
            ready: ready::Ready::default(),
            transport: sync::Arc::new(transport),
            plan_now: tokio::sync::Notify::new(),
            random: sync::Mutex::new(random),
            reported_leader: ArcSwapOption::empty(),
            hosted: sync::RwLock::default(),
            start: tokio::time::Instant::now(),
        });
        let weak = sync::Arc::downgrade(&core);
        core.transport.set_sink(Box::new(move |from, messages| {
            if let Some(core) = weak.upgrade() {
                core.receive(from, messages);
            }
        }));
        core
    }

    pub(super) fn draw(&self) -> u64 {
        lock(&self.random).random()
    }

    pub(super) fn incarnations(&self) -> rngs::StdRng {
        rngs::StdRng::seed_from_u64(self.draw())
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> time::Duration {
        self.start.elapsed()
    }

    fn hosted(&self) -> sync::RwLockReadGuard<'_, Hosted> {
        self.hosted
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn hosted_mut(&self) -> sync::RwLockWriteGuard<'_, Hosted> {
        self.hosted
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the global log, if this host takes part in it.
    pub fn global(&self) -> Option<sync::Arc<hosted::Global>> {
        self.hosted().global.clone()
    }

    /// Returns a domain's log, if this host takes part in it.
    pub fn domain(&self, domain: &id::Domain) -> Option<sync::Arc<hosted::Domain>> {
        self.hosted().domains.get(domain).cloned()
    }

    /// Returns the logs of domains that this host takes part in.
    pub fn domains(&self) -> Vec<sync::Arc<hosted::Domain>> {
        self.hosted().domains.values().cloned().collect()
    }

    /// Returns the status of a log, if this host takes part in it.
    pub fn status(&self, log: &message::Log) -> Option<replica::Status> {
        match log {
            message::Log::Global => self.global().map(|hosted| hosted.replica.status()),
            message::Log::Domain(domain) => {
                self.domain(domain).map(|hosted| hosted.replica.status())
            }
            message::Log::Site => None,
        }
    }

    /// Returns the probable leader of a log, if this host knows one.
    pub fn leader_hint(&self, log: &message::Log) -> Option<id::Host> {
        if let Some(status) = self.status(log).filter(|status| status.member) {
            return status.leader;
        }
        let own = matches!(log, message::Log::Domain(domain) if *domain == self.settings.domain);
        self.reported_leader
            .load_full()
            .filter(|_| own)
            .map(|leader| id::Host::clone(&leader))
    }

    /// Records the leader of this host's domain that another host reported. It is used only while
    /// this host is not a member of the domain's log.
    pub fn set_reported_leader(&self, leader: Option<id::Host>) {
        self.reported_leader.store(leader.map(sync::Arc::new));
    }

    /// Returns whether this host leads the log of its own domain.
    pub fn leads_domain(&self) -> bool {
        let log = message::Log::Domain(self.settings.domain.clone());
        self.status(&log).is_some_and(|status| status.leads)
    }

    /// Delivers the messages of another host to the replicas on this host.
    pub fn receive(&self, from: &id::Host, messages: Vec<log_message::Message>) {
        let hosted = self.hosted();
        for message in messages {
            match hosted.find(message.group) {
                Some(replica) => replica.receive(from.clone(), message),
                None => metrics::counter!("yucca_control_log_messages_lost_total").increment(1),
            }
        }
    }

    /// Adds the global log to the logs that this host takes part in.
    pub(super) fn set_global(&self, global: hosted::Global) {
        self.hosted_mut().global = Some(sync::Arc::new(global));
    }

    /// Adds a domain's log to the logs that this host takes part in.
    pub(super) fn set_domain(&self, added: hosted::Domain) {
        let domain = added.domain.clone();
        let mut hosted = self.hosted_mut();
        hosted.domains.insert(domain, sync::Arc::new(added));
    }

    /// Transfers the leadership of all logs that this host leads; waits up to `timeout`.
    pub async fn hand_over(&self, timeout: time::Duration) {
        let global = self.global();
        let domains = self.domains();
        let mut replicas: Vec<&replica::Replica> = Vec::new();
        replicas.extend(global.iter().map(|hosted| &hosted.replica));
        replicas.extend(domains.iter().map(|hosted| &hosted.replica));
        let all = replicas
            .into_iter()
            .map(|replica| replica.hand_over(timeout));
        futures_util::future::join_all(all).await;
    }

    /// Stops all replicas immediately.
    pub fn abort(&self) {
        self.transport.abort();
        let mut hosted = self.hosted_mut();
        if let Some(hosted) = hosted.global.take() {
            hosted.replica.abort();
        }
        for (_, hosted) in hosted.domains.drain(..) {
            hosted.replica.abort();
        }
    }

    /// Updates the directory and starts replicas when tickets change the hosts.
    async fn update_directory(self: sync::Arc<Self>) {
        let mut updates = self.feed.subscribe();
        while updates.changed().await.is_ok() {
            let known = directory::Directory::new(&self.settings.peers, &self.feed.global());
            if **self.directory.load() == known {
                continue;
            }
            log::info!("hosts: {} known", known.hosts.len());
            self.directory.store(sync::Arc::new(known));
            if let Err(error) = self.start_replicas() {
                log::error!("cannot start a replica: {error}");
            }
        }
    }
}

impl Hosted {
    fn find(&self, group: log_message::Group) -> Option<&replica::Replica> {
        let global = self.global.iter().map(|hosted| &hosted.replica);
        let domains = self.domains.values().map(|hosted| &hosted.replica);
        let mut all = global.chain(domains);
        all.find(|replica| replica.group() == group)
    }
}

pub(super) fn loader(directory: &sync::Arc<ArcSwap<directory::Directory>>) -> directory::Hosts {
    let directory = directory.clone();
    sync::Arc::new(move || directory.load_full())
}

/// Starts the replicas and the tasks of a process.
///
/// # Errors
/// Fails if the storage of a log cannot be opened.
pub fn run(core: &sync::Arc<Core>) -> Result<task::JoinSet<()>, yucca_log::storage::Error> {
    core.start_replicas()?;
    let mut tasks = task::JoinSet::new();
    tasks.spawn(core.clone().update_directory());
    tasks.spawn(plan::run_global(core.clone()));
    tasks.spawn(plan::run_domains(core.clone()));
    tasks.spawn(poll::run(core.clone()));
    tasks.spawn(confirm::run(core.clone()));
    Ok(tasks)
}
