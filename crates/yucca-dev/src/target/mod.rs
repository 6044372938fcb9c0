//! A stand-in target: an HTTP server with few slots, seeded service times and faults on demand.

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

/// How a stand-in target behaves.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub name: id::Target,
    /// The service that it serves.
    pub service: id::Service,
    /// The service as a ticket states it: its routes and key rule.
    pub rules: sync::Arc<ticket::Service>,
    /// Where it listens; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// How many requests it works on at a time.
    pub slots: id::Slots,
    /// How many connections it takes.
    pub connections: u16,
    /// Whether it refuses lower fencing tokens and keys that it does not own.
    pub checks_tokens: bool,
    /// Its service times.
    pub model: work::Model,
    /// How long it takes from a cold start to its full rate.
    pub warmup: time::Duration,
    /// How many requests wait before it refuses more.
    pub queue: usize,
    /// By how much its health and load endpoints lag behind.
    pub lag: time::Duration,
    /// The seed of its service times.
    pub seed: u64,
    /// To whom it announces itself; none keeps it unannounced.
    pub announce: Option<Recipients>,
}

/// To whom a target announces itself.
#[derive(Debug, Clone)]
pub struct Recipients {
    /// The announce addresses of its domain's entry hosts; the next is tried where one fails.
    pub hosts: Vec<net::SocketAddr>,
    /// The secret that the announce listeners require.
    pub secret: auth::Secret,
}

/// Why a target does not start.
#[derive(Debug)]
pub enum Error {
    /// The address cannot be bound.
    Listen {
        /// The target.
        target: id::Target,
        /// The address.
        address: net::SocketAddr,
        /// The operating system's reason.
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

/// A running stand-in target. Its drop ends it as a loss does.
#[derive(Debug)]
pub struct Target {
    shared: sync::Arc<Shared>,
    server: task::JoinHandle<()>,
    announcer: Option<task::JoinHandle<()>>,
}

/// What the connections of a target share.
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
    /// Taken before no other lock.
    life: sync::Mutex<Life>,
}

/// What lives from one start of the target to the next.
#[derive(Debug)]
struct Life {
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
    /// Fails where its address cannot be bound.
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
            life: sync::Mutex::new(Life {
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
            announcer.map(|recipients| tokio::spawn(announce::repeat(shared.clone(), recipients)));
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

    /// Returns the service that it serves.
    pub fn service(&self) -> &id::Service {
        &self.shared.settings.service
    }

    /// Returns where it takes work.
    pub fn address(&self) -> net::SocketAddr {
        self.shared.address
    }

    /// Returns the work done so far, in slot-microseconds.
    pub fn work_us(&self) -> u64 {
        self.shared.busy_us.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many shards and pins it was granted and still owns.
    pub fn grant_count(&self) -> usize {
        self.shared.life().grants.len()
    }

    /// Freezes it: it takes connections, and nothing answers until [`Target::thaw`].
    pub fn freeze(&self) {
        self.shared.gate.freeze();
    }

    /// Ends a freeze; held-up work goes on where it stood.
    pub fn thaw(&self) {
        self.shared.gate.thaw();
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub fn silence(&self) {
        self.shared.gate.silence();
    }

    /// Announces another state from now on.
    pub fn set_state(&self, state: border::State) {
        self.shared.life().state = state;
    }

    /// Sets what its health and load endpoints say, whatever is true; none lets them tell.
    pub fn mislead(&self, report: Option<health::Report>) {
        self.shared.health.mislead(report);
    }

    /// Restarts it: connections close, running work is lost, grants are forgotten, and it is cold.
    pub fn restart(&self) {
        let mut life = self.shared.life();
        life.incarnation += 1;
        life.state = border::State::Serving;
        life.started = tokio::time::Instant::now();
        life.grants = grants::Grants::default();
        drop(life);
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
    fn life(&self) -> sync::MutexGuard<'_, Life> {
        self.life
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns how far the target is from a cold start (0) to its full rate (1).
    fn warm(&self) -> f64 {
        let warmup = self.settings.warmup.as_secs_f64();
        let age = self.life().started.elapsed().as_secs_f64();
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
