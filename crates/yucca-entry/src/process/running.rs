//! Start and stop of an entry process.

use std::fmt;
use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::task::JoinSet;
use tokio::time;

use crate::process::announce;
use crate::process::balancer;
use crate::process::callers;
use crate::process::lanes;
use crate::process::listen;
use crate::process::peer;
use crate::process::shared;
use crate::settings;
use crate::version::sync as reports;

/// Maximum size of the HTTP head of a message between processes of the deployment, in bytes.
const PEER_HEAD_BYTES: usize = 64 << 10;

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of the metrics recorder's upkeep, which aggregates recorded durations. Without it they
/// accumulate in memory between scrapes.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

async fn upkeep(recorder: PrometheusHandle) {
    let mut interval = time::interval(UPKEEP_INTERVAL);
    loop {
        interval.tick().await;
        recorder.run_upkeep();
    }
}

/// Reason why an entry process could not start.
#[derive(Debug)]
pub enum Error {
    /// An address could not be bound.
    Bind {
        /// Name of the setting with the address.
        setting: &'static str,
        /// Address to bind.
        address: net::SocketAddr,
        /// I/O error.
        source: io::Error,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind {
                setting,
                address,
                source,
            } => write!(
                f,
                "cannot listen on {address}: {source}; change `{setting}` in the settings"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Addresses of a process's listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: net::SocketAddr,
    /// Listener for other entry hosts.
    pub peer: net::SocketAddr,
    /// Listener for the platform's balancer.
    pub balancer: net::SocketAddr,
    /// Listener for announcements of targets.
    pub announce: net::SocketAddr,
}

/// Running entry process.
pub struct Process {
    shared: sync::Arc<shared::Shared>,
    addresses: Addresses,
    tasks: JoinSet<()>,
}

/// Bound listeners and settings of a process that has not started yet.
pub struct Bound {
    settings: settings::Settings,
    callers: listen::Listener,
    peer: listen::Listener,
    balancer: listen::Listener,
    announce: listen::Listener,
}

async fn bind(setting: &'static str, address: net::SocketAddr) -> Result<listen::Listener, Error> {
    let bound = listen::Listener::bind(address).await;
    bound.map_err(|source| Error::Bind {
        setting,
        address,
        source,
    })
}

impl Bound {
    /// Binds the listeners at the addresses in the settings.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: settings::Settings) -> Result<Self, Error> {
        Ok(Self {
            callers: bind("callers", settings.callers).await?,
            peer: bind("peer", settings.peer).await?,
            balancer: bind("balancer", settings.balancer).await?,
            announce: bind("announce", settings.announce).await?,
            settings,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            callers: self.callers.address,
            peer: self.peer.address,
            balancer: self.balancer.address,
            announce: self.announce.address,
        }
    }

    /// Sets the addresses of the control processes, if they were not known when the listeners were
    /// bound.
    pub fn set_control(&mut self, control: Vec<net::SocketAddr>) {
        self.settings.control = control;
    }

    /// Starts the process.
    pub fn start(self, recorder: Option<PrometheusHandle>) -> Process {
        Process::run(self, recorder)
    }
}

impl Process {
    /// Binds the listeners and starts the process.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(settings: settings::Settings) -> Result<Self, Error> {
        Ok(Bound::bind(settings).await?.start(None))
    }

    fn run(bound: Bound, recorder: Option<PrometheusHandle>) -> Self {
        let addresses = bound.addresses();
        let shared = sync::Arc::new(shared::Shared::new(bound.settings));
        let mut tasks = JoinSet::new();
        let limits = listen::Limits {
            head_bytes: shared.settings.head_limit.0 as usize,
            head_timeout: HEAD_TIMEOUT,
        };
        let peer_limits = listen::Limits {
            head_bytes: PEER_HEAD_BYTES,
            ..limits
        };
        let phase = || shared.phase.subscribe();
        tasks.spawn(listen::serve(
            bound.callers,
            limits,
            phase(),
            shared::Phase::Stopping,
            listen::with_shared(&shared, callers::serve),
        ));
        // The other listeners stay open until the end: lanes still finish requests of other hosts.
        tasks.spawn(listen::serve(
            bound.peer,
            peer_limits,
            phase(),
            shared::Phase::Stopped,
            listen::with_shared(&shared, peer::serve),
        ));
        tasks.spawn(listen::serve(
            bound.announce,
            limits,
            phase(),
            shared::Phase::Stopped,
            listen::with_shared(&shared, announce::serve),
        ));
        if let Some(recorder) = recorder.clone() {
            tasks.spawn(upkeep(recorder));
        }
        let balancer_shared = sync::Arc::clone(&shared);
        tasks.spawn(listen::serve(
            bound.balancer,
            limits,
            phase(),
            shared::Phase::Stopped,
            move |request| {
                let answer =
                    balancer::serve(&balancer_shared, recorder.as_ref(), request.uri().path());
                std::future::ready(answer)
            },
        ));
        tasks.spawn(reports::run(sync::Arc::clone(&shared), rand::random()));
        tasks.spawn(lanes::tick(sync::Arc::clone(&shared)));
        Self {
            shared,
            addresses,
            tasks,
        }
    }

    /// Returns the addresses of the listeners.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Waits until the process has a table and serves requests.
    pub async fn ready(&self) {
        let mut phase = self.shared.phase.subscribe();
        let _ = phase
            .wait_for(|phase| *phase != shared::Phase::Starting)
            .await;
    }

    /// Returns the versions of the table in effect at this host.
    pub fn versions(&self) -> crate::version::current::Versions {
        self.shared.current.versions()
    }

    /// Stops gracefully: accepts no new callers, hands lanes over and finishes requests in flight.
    ///
    /// Returns the number of requests that were aborted at the time limit in the settings.
    pub async fn stop(mut self) -> usize {
        self.shared.phase.send_replace(shared::Phase::Stopping);
        log::info!("host {} is stopping", self.shared.settings.host);
        let limit = time::Instant::now() + self.shared.settings.stop_limit.0;
        let _ = time::timeout_at(limit, lanes::drained(&self.shared)).await;
        let left = self.shared.in_flight.load(sync::atomic::Ordering::Relaxed);
        if left > 0 {
            metrics::counter!("yucca_stop_cut_off_total").increment(left as u64);
            log::warn!("{left} requests were aborted at the time limit of the stop");
        }
        self.shared.phase.send_replace(shared::Phase::Stopped);
        self.tasks.shutdown().await;
        left
    }

    /// Ends the process at once, without a handover, as in a crash.
    pub fn abort(mut self) {
        self.shared.phase.send_replace(shared::Phase::Stopped);
        self.tasks.abort_all();
    }
}
