//! The entry process: it accepts requests of callers and sends them to targets.

mod crash;
pub mod dispatcher;
mod exchange;
mod follow;
mod gossip;
mod history;
mod metered;
mod peak;
mod pool;
mod quarantine;
mod request;
mod view;

use std::net;
use std::sync;
use std::time;

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::future;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task;
use yucca_lane::shared::window;

use crate::body;
use crate::clock;
use crate::dialect::{caller, target};
use crate::error;
use crate::mesh::message;
use crate::metric;
use crate::server;
use crate::settings;

/// Maximum number of queued connection events.
const MAX_QUEUED_EVENTS: usize = 1024;

/// Time that a stopping process still accepts connections, so that load balancers notice first.
const DRAIN_NOTICE: time::Duration = time::Duration::from_millis(2_600);

/// Part of the stop time that is reserved for the exit of the process itself.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(300);

/// Time before that in which the answers to requests that are cut off are written.
const CUT_OFF_MARGIN: time::Duration = time::Duration::from_millis(100);

/// Maximum time that a connection waits for the complete head of a health check.
const HEALTH_HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Maximum size of the head of a health check.
const HEALTH_MAX_HEAD_BYTES: usize = 8 << 10;

/// State that the parts of the process share.
pub(crate) struct Core {
    settings: settings::Settings,
    caller: Box<dyn caller::Caller>,
    target: Box<dyn target::Target>,
    clock: clock::Clock,
    view: ArcSwap<view::View>,
    /// The limits of callers' connections.
    limits: watch::Sender<server::Limits>,
    dispatcher: sync::Arc<dispatcher::Dispatcher>,
    pool: pool::Pool,
    /// Memory for the bodies of requests and answers.
    bodies: sync::Arc<body::Budget>,
    /// Whether this host has reached the newest version of the state since its start.
    synced: watch::Sender<bool>,
    /// When requests are cut off, if the process is stopping.
    stopping: watch::Sender<Option<time::Duration>>,
    /// The seeds in the current settings.
    seeds: watch::Sender<Vec<net::IpAddr>>,
    /// Greatest recent number of known entry hosts, this one included.
    host_peak: sync::Mutex<peak::Peak>,
    /// The same for the hosts in this host's domain.
    near_peak: sync::Mutex<peak::Peak>,
    /// Random number from 0 to 1, see [`service::Hosts::phase`].
    phase: f64,
    /// The other entry hosts.
    peers: ArcSwap<gossip::Peers>,
    quarantine: quarantine::Quarantine,
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
    /// Fails if a setting is missing or an address can't be used.
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
        let (quarantine, news) = quarantine::Quarantine::new();
        let clock = clock::Clock::default();
        let budget = window::Config {
            window: retries.window.0,
            ratio: retries.ratio,
            extra: retries.extra,
        };
        let core = sync::Arc::new(Core {
            dispatcher: sync::Arc::new(dispatcher::Dispatcher::new(clock, budget)),
            seeds: watch::Sender::new(settings.seeds.clone()),
            bodies: body::Budget::new(settings.memory),
            settings,
            caller,
            target,
            clock,
            view: ArcSwap::default(),
            limits: watch::Sender::new(request::connection_limits(None)),
            pool: pool::Pool::default(),
            synced: watch::Sender::new(false),
            stopping: watch::Sender::new(None),
            host_peak: sync::Mutex::default(),
            near_peak: sync::Mutex::default(),
            phase: rand::rng().random(),
            peers: ArcSwap::default(),
            quarantine,
        });
        let (events, received) = mpsc::channel(MAX_QUEUED_EVENTS);
        let mut tasks = task::JoinSet::new();
        tasks.spawn(follow::run(core.clone(), hello, events, received, news));
        tasks.spawn(gossip::run(core.clone(), digests));
        let dispatcher = core.dispatcher.clone();
        tasks.spawn(async move { dispatcher.run().await });
        let shared = core.clone();
        tasks.spawn(async move { shared.pool.close_idle().await });
        let handler = sync::Arc::new(request::Handler(core.clone()));
        Ok(Self {
            _health: server::Running::start(health, sync::Arc::new(Health(core.clone()))),
            core,
            server: server::Running::start(callers, handler),
            _metrics: metrics,
            _tasks: tasks,
        })
    }

    /// Applies changed seeds.
    pub fn set_seeds(&self, seeds: Vec<net::IpAddr>) {
        self.core.seeds.send_replace(seeds);
    }

    /// Fails health checks, waits until load balancers have noticed and open requests have ended,
    /// and stops.
    pub async fn stop(mut self) {
        let stop = self.core.settings.timing.stop.0;
        let open = stop.saturating_sub(CUT_OFF_MARGIN + EXIT_MARGIN);
        let cut_off_at = self.core.clock.now() + open;
        self.core.stopping.send_replace(Some(cut_off_at));
        tokio::time::sleep(DRAIN_NOTICE).await;
        self.server
            .stop(stop.saturating_sub(DRAIN_NOTICE + EXIT_MARGIN))
            .await;
    }
}

impl Core {
    fn is_ready(&self) -> bool {
        *self.synced.borrow() && self.stopping.borrow().is_none()
    }

    /// Waits until a stopping process cuts off its open requests.
    async fn cut_off(&self) {
        let mut stopping = self.stopping.subscribe();
        // The sender exists as long as this.
        let stopping = stopping.wait_for(Option::is_some).await;
        let at = stopping.ok().and_then(|at| *at);
        self.clock.sleep_until(at).await;
    }
}

/// Handler of health checks.
struct Health(sync::Arc<Core>);

impl server::Handler for Health {
    fn handle(
        self: sync::Arc<Self>,
        _request: Request<Incoming>,
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

    fn limits(&self) -> watch::Receiver<server::Limits> {
        server::Limits {
            head_timeout: HEALTH_HEAD_TIMEOUT,
            head_bytes: HEALTH_MAX_HEAD_BYTES,
        }
        .fixed()
    }
}
