//! The entry process: it takes requests of callers and sends them to targets.

mod desk;
mod exchange;
mod follow;
mod gossip;
mod peak;
mod pool;
mod request;
mod trail;
mod view;

use std::net;
use std::sync;
use std::time;

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::future;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task;
use yucca_lane::shared::window;

use crate::clock;
use crate::dialect::{caller, target};
use crate::error;
use crate::mesh::message;
use crate::metric;
use crate::server;
use crate::settings;

/// The most events of connections that wait.
const EVENTS: usize = 1024;

/// How long a process that stops still takes new connections, until balancers have noticed.
const LINGER: time::Duration = time::Duration::from_millis(2_600);

/// The part of the time to stop that is left for the end of the process itself.
const END_MARGIN: time::Duration = time::Duration::from_millis(300);

/// The longest wait for a head of a question about health.
const HEALTH_IDLE: time::Duration = time::Duration::from_secs(30);

/// The most bytes of a head of a question about health.
const HEALTH_HEAD_BYTES: usize = 8 << 10;

/// What the parts of the process share.
pub(crate) struct Core {
    settings: settings::Settings,
    caller: Box<dyn caller::Caller>,
    target: Box<dyn target::Target>,
    clock: clock::Clock,
    view: ArcSwap<view::View>,
    desk: sync::Arc<desk::Desk>,
    pool: pool::Pool,
    /// Whether the newest state was seen.
    synced: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    /// The seeds, as the settings last named them.
    seeds: watch::Sender<Vec<net::IpAddr>>,
    /// The most entry hosts that were seen lately, this one included.
    hosts: sync::Mutex<peak::Peak>,
    /// The other entry hosts.
    peers: ArcSwap<gossip::Peers>,
}

/// A running entry process.
pub struct Process {
    core: sync::Arc<Core>,
    server: server::Running,
    _health: server::Running,
    _metrics: Option<server::Running>,
    _tasks: task::JoinSet<()>,
}

impl Process {
    /// Starts an entry process.
    ///
    /// # Errors
    /// Fails where a setting is missing or an address is taken.
    pub async fn start(
        settings: settings::Settings,
        caller: Box<dyn caller::Caller>,
        target: Box<dyn target::Target>,
    ) -> Result<Self, error::Error> {
        let callers = settings.addresses.callers;
        let callers = callers.ok_or(error::Error::Missing("addresses.callers"))?;
        let health = settings.addresses.health;
        let health = health.ok_or(error::Error::Missing("addresses.health"))?;
        let hello = message::Hello {
            role: message::Role::Entry,
            host: settings.host().map_err(error::Error::Name)?,
            ip: settings.ip,
            domain: settings.domain.clone(),
        };
        let callers = server::listen(callers).await?;
        let health = server::listen(health).await?;
        let address = settings.addresses.mesh;
        let digests = UdpSocket::bind(address).await;
        let digests = digests.map_err(|error| error::Error::Listen { address, error })?;
        let metrics = metric::start(settings.addresses.metrics).await?;
        let retries = settings.retries;
        let core = sync::Arc::new(Core {
            desk: sync::Arc::new(desk::Desk::new(window::Config {
                window: retries.window.0,
                ratio: retries.ratio,
                extra: retries.extra,
            })),
            seeds: watch::Sender::new(settings.seeds.clone()),
            settings,
            caller,
            target,
            clock: clock::Clock::default(),
            view: ArcSwap::default(),
            pool: pool::Pool::default(),
            synced: watch::Sender::new(false),
            stopping: watch::Sender::new(false),
            hosts: sync::Mutex::default(),
            peers: ArcSwap::default(),
        });
        let (events, received) = mpsc::channel(EVENTS);
        let mut tasks = task::JoinSet::new();
        tasks.spawn(follow::run(core.clone(), hello, events, received));
        tasks.spawn(gossip::run(core.clone(), digests));
        tasks.spawn(core.clone().keep_time());
        let handler = sync::Arc::new(request::Handler(core.clone()));
        Ok(Self {
            _health: server::Running::start(health, sync::Arc::new(Health(core.clone()))),
            core,
            server: server::Running::start(callers, handler),
            _metrics: metrics,
            _tasks: tasks,
        })
    }

    /// Takes in other seeds, as the settings now name them.
    pub fn set_seeds(&self, seeds: Vec<net::IpAddr>) {
        self.core.seeds.send_replace(seeds);
    }

    /// Says that it is not ready, lets balancers notice, lets open requests end and stops.
    pub async fn stop(mut self) {
        self.core.stopping.send_replace(true);
        tokio::time::sleep(LINGER).await;
        let stop = self.core.settings.timing.stop.0;
        self.server
            .stop(stop.saturating_sub(LINGER + END_MARGIN))
            .await;
    }
}

impl Core {
    fn is_ready(&self) -> bool {
        *self.synced.borrow() && !*self.stopping.borrow()
    }

    /// Looks at requests that wait when their time comes.
    async fn keep_time(self: sync::Arc<Self>) {
        loop {
            let next = self.desk.next_wake(self.clock.now());
            tokio::select! {
                () = self.desk.changed() => {}
                () = sleep(&self.clock, next) => self.desk.dispatch(self.clock.now()),
            }
        }
    }
}

async fn sleep(clock: &clock::Clock, until: Option<time::Duration>) {
    match until {
        Some(at) => tokio::time::sleep_until(clock.instant(at)).await,
        None => future::pending().await,
    }
}

/// Answers the balancer.
struct Health(sync::Arc<Core>);

impl server::Handler for Health {
    fn handle(
        self: sync::Arc<Self>,
        _request: Request<body::Incoming>,
    ) -> future::BoxFuture<'static, Response<Full<Bytes>>> {
        let status = if self.0.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = status;
        Box::pin(future::ready(answer))
    }

    fn head_timeout(&self) -> time::Duration {
        HEALTH_IDLE
    }

    fn head_bytes(&self) -> usize {
        HEALTH_HEAD_BYTES
    }
}
