//! What lives as long as the process.

pub mod core;
pub mod errand;
mod follow;
pub(crate) mod lead;
pub mod metric;
pub mod ready;
pub mod seat;

use std::fmt;
use std::io;
use std::net;
use std::sync;

use tokio::task;

use crate::connection::listener;
use crate::peer;
use crate::request;
use crate::settings;

/// A running control process.
pub struct Process {
    core: sync::Arc<core::Core>,
    tasks: task::JoinSet<()>,
    operator: listener::Listener,
    peer: listener::Listener,
    health: listener::Listener,
}

/// Where a process listens, with the ports that the system chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For operators.
    pub operator: net::SocketAddr,
    /// For control and entry processes.
    pub peer: net::SocketAddr,
    /// For `/ready`, `/live` and `/metrics`.
    pub health: net::SocketAddr,
}

/// Why a process does not start.
#[derive(Debug)]
pub enum Error {
    /// An address cannot be had.
    Listen {
        /// The setting.
        setting: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// What the system reported.
        error: io::Error,
    },
    /// The storage of a log cannot be opened.
    Storage(yucca_log::storage::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen {
                setting,
                address,
                error,
            } => write!(
                f,
                "cannot listen at {address}: {error}; change `{setting}` in the settings or end what listens there"
            ),
            Self::Storage(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl Process {
    /// Starts a control process.
    ///
    /// # Errors
    /// Fails where an address cannot be had or the storage cannot be opened.
    pub async fn start(settings: settings::Settings) -> Result<Self, Error> {
        let client =
            peer::http::Client::from_local(&settings.secrets.peer, settings.addresses.local);
        let addresses = settings.addresses.clone();
        let core = core::Core::new(settings, sync::Arc::new(client), rand::random());
        let services = request::Services::new(&core);
        let operator = listen("addresses.operator", addresses.operator, services.operator).await?;
        let peer = listen("addresses.peer", addresses.peer, services.peer).await?;
        let health = listen("addresses.health", addresses.health, services.health).await?;
        let tasks = core::run(&core).map_err(Error::Storage)?;
        Ok(Self {
            core,
            tasks,
            operator,
            peer,
            health,
        })
    }

    /// Returns where the process listens.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            operator: self.operator.address(),
            peer: self.peer.address(),
            health: self.health.address(),
        }
    }

    /// Returns the core, which the listeners share.
    pub fn core(&self) -> &sync::Arc<core::Core> {
        &self.core
    }

    /// Hands leadership over, answers what is in flight and ends.
    pub async fn stop(mut self) {
        let patience = self.core.settings.timing.stop.0;
        self.core.ready.stop();
        self.core.hand_over(patience).await;
        self.tasks.abort_all();
        tokio::join!(
            self.operator.stop(patience),
            self.peer.stop(patience),
            self.health.stop(patience),
        );
        self.core.abort();
    }

    /// Ends at once, as after a loss of the process.
    pub fn abort(mut self) {
        self.tasks.abort_all();
        self.operator.abort();
        self.peer.abort();
        self.health.abort();
        self.core.abort();
    }
}

async fn listen(
    setting: &'static str,
    address: net::SocketAddr,
    service: listener::Service,
) -> Result<listener::Listener, Error> {
    let listener = listener::Listener::start(address, service).await;
    listener.map_err(|error| Error::Listen {
        setting,
        address,
        error,
    })
}
