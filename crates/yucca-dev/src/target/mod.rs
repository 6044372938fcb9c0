//! A mock target: an HTTP server with few slots, seeded service times and fault injection.

mod announce;
mod answer;
mod gate;
mod grants;
mod health;
mod serve;
mod slot;

use std::fmt;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::SeedableRng;
use tokio::net::TcpListener;
use tokio::task;
use yucca_wire::announce as border;
use yucca_wire::auth;
use yucca_wire::id;
use yucca_wire::ticket;

use crate::journal;
use crate::work;

pub use grants::{Grants, Refusal};
pub use health::Report;

/// Settings of a mock target.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name.
    pub name: id::Target,
    /// Service that the target belongs to.
    pub service: id::Service,
    /// Definition of the service in the ticket: its routes and key rule.
    pub rules: sync::Arc<ticket::Service>,
    /// Address to listen on; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Maximum number of requests that run at the same time.
    pub slots: id::Slots,
    /// Maximum number of open connections; more are closed at once.
    pub connections: u16,
    /// Whether the target refuses fencing tokens that are lower than the highest one received, and
    /// keys that it does not own.
    pub checks_tokens: bool,
    /// Distribution of the service times.
    pub model: work::Model,
    /// Time from a cold start to the full rate.
    pub warmup: time::Duration,
    /// Maximum number of waiting requests; more are refused.
    pub queue: usize,
    /// Time for which the health and load endpoints repeat a report.
    pub lag: time::Duration,
    /// Seed of the service times.
    pub seed: u64,
    /// Recipients of heartbeats; with `None` the target does not announce itself.
    pub announce: Option<Recipients>,
}

/// Entry hosts to which a target announces itself.
#[derive(Debug, Clone)]
pub struct Recipients {
    /// Announce addresses of the entry hosts in the target's domain; if one fails, the next is tried.
    pub hosts: Vec<net::SocketAddr>,
    /// Secret that the announce listeners require.
    pub secret: auth::Secret,
}

/// Reason why a target does not start.
#[derive(Debug)]
pub enum Error {
    /// The target's address cannot be bound.
    Listen {
        /// The target.
        target: id::Target,
        /// The address.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen {
                target,
                address,
                source,
            } => write!(
                f,
                "target {target} cannot listen on {address}: {source}; use another --port"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// A running mock target. Dropping it ends it abruptly, as when a target is lost.
#[derive(Debug)]
pub struct Target {
    shared: sync::Arc<Shared>,
    server: task::JoinHandle<()>,
    announcer: Option<task::JoinHandle<()>>,
}

/// State that the connections of a target share.
#[derive(Debug)]
struct Shared {
    settings: Settings,
    address: net::SocketAddr,
    journal: sync::Arc<journal::Journal>,
    gate: sync::Arc<gate::Gate>,
    slots: slot::Slots,
    busy_us: atomic::AtomicU64,
    health: health::Health,
    restart: tokio::sync::Notify,
    /// No other lock is taken while this one is held.
    instance: sync::Mutex<Instance>,
}

/// State of the target from one start to the next.
#[derive(Debug)]
struct Instance {
    incarnation: u64,
    state: border::State,
    started: tokio::time::Instant,
    grants: grants::Grants,
    rng: rand_chacha::ChaCha8Rng,
}

impl Target {
    /// Starts a target that records its runs in `journal`.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub async fn start(
        settings: Settings,
        journal: sync::Arc<journal::Journal>,
    ) -> Result<Self, Error> {
        let failed = |source| Error::Listen {
            target: settings.name.clone(),
            address: settings.listen,
            source,
        };
        let listener = TcpListener::bind(settings.listen).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let shared = sync::Arc::new(Shared {
            address,
            journal,
            gate: sync::Arc::default(),
            slots: slot::Slots::new(settings.slots, settings.queue),
            busy_us: atomic::AtomicU64::new(0),
            health: health::Health::new(settings.lag),
            restart: tokio::sync::Notify::new(),
            instance: sync::Mutex::new(Instance {
                incarnation: unix_millis(),
                state: border::State::Serving,
                started: tokio::time::Instant::now(),
                grants: grants::Grants::default(),
                rng: rand_chacha::ChaCha8Rng::seed_from_u64(settings.seed),
            }),
            settings,
        });
        let server = tokio::spawn(serve::accept(shared.clone(), listener));
        let announcer = shared.settings.announce.clone();
        let announcer =
            announcer.map(|recipients| tokio::spawn(announce::run(shared.clone(), recipients)));
        Ok(Self {
            shared,
            server,
            announcer,
        })
    }

    /// Returns the target's name.
    pub fn name(&self) -> &id::Target {
        &self.shared.settings.name
    }

    /// Returns the service that the target belongs to.
    pub fn service(&self) -> &id::Service {
        &self.shared.settings.service
    }

    /// Returns the address on which the target serves requests.
    pub fn address(&self) -> net::SocketAddr {
        self.shared.address
    }

    /// Returns the total running time of requests so far, in microseconds summed over the slots.
    pub fn work_us(&self) -> u64 {
        self.shared.busy_us.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of shards and pins that are granted now.
    pub fn grant_count(&self) -> usize {
        self.shared.instance().grants.len()
    }

    /// Freezes the target: it accepts connections, but answers nothing until [`Target::thaw`].
    pub fn freeze(&self) {
        self.shared.gate.freeze();
    }

    /// Ends a freeze; blocked work continues.
    pub fn thaw(&self) {
        self.shared.gate.thaw();
    }

    /// Permanently blocks the connections that are open now; new ones work.
    pub fn silence(&self) {
        self.shared.gate.silence();
    }

    /// Sets the state that the heartbeats announce.
    pub fn set_state(&self, state: border::State) {
        self.shared.instance().state = state;
    }

    /// Sets a false report for the health and load endpoints. `None` restores true reports.
    pub fn mislead(&self, report: Option<health::Report>) {
        self.shared.health.mislead(report);
    }

    /// Restarts the target: connections close, running work and grants are lost, and it is cold.
    pub fn restart(&self) {
        let mut instance = self.shared.instance();
        instance.incarnation += 1;
        instance.state = border::State::Serving;
        instance.started = tokio::time::Instant::now();
        instance.grants = grants::Grants::default();
        drop(instance);
        self.shared.gate.thaw();
        self.shared.restart.notify_one();
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.server.abort();
        if let Some(announcer) = &self.announcer {
            announcer.abort();
        }
    }
}

impl Shared {
    fn instance(&self) -> sync::MutexGuard<'_, Instance> {
        self.instance
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the progress of the warmup, from 0 (cold start) to 1 (full rate).
    fn warm(&self) -> f64 {
        let warmup = self.settings.warmup.as_secs_f64();
        let age = self.instance().started.elapsed().as_secs_f64();
        if warmup > 0.0 {
            (age / warmup).min(1.0)
        } else {
            1.0
        }
    }
}

fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
