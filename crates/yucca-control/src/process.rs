//! The control process: its listeners, shared state and background tasks.

pub mod confirm;
pub mod core;
pub mod hosted;
pub mod leader;
pub mod metric;
mod open;
mod plan;
mod poll;
pub mod ready;

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

/// The addresses at which a process listens, with the ports that the system chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For operators.
    pub operator: net::SocketAddr,
    /// For control and entry processes.
    pub peer: net::SocketAddr,
    /// For `/ready`, `/live` and `/metrics`.
    pub health: net::SocketAddr,
}

/// Why a process could not start.
#[derive(Debug)]
pub enum Error {
    /// An address cannot be bound.
    Listen {
        /// The setting.
        setting: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// The error that the system reported.
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
                "cannot listen on {address}: {error}; change `{setting}` in the settings or stop the process that uses the address"
            ),
            Self::Storage(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// A process that has bound its addresses but does not run yet.
pub struct Bound {
    settings: settings::Settings,
    operator: tokio::net::TcpListener,
    peer: tokio::net::TcpListener,
    health: tokio::net::TcpListener,
    addresses: Addresses,
}

impl Bound {
    /// Binds the addresses in the settings; the system chooses a port in place of port 0.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: settings::Settings) -> Result<Self, Error> {
        let wanted = &settings.addresses;
        let operator = bind("addresses.operator", wanted.operator).await?;
        let peer = bind("addresses.peer", wanted.peer).await?;
        let health = bind("addresses.health", wanted.health).await?;
        let addresses = Addresses {
            operator: address("addresses.operator", wanted.operator, &operator)?,
            peer: address("addresses.peer", wanted.peer, &peer)?,
            health: address("addresses.health", wanted.health, &health)?,
        };
        Ok(Self {
            settings,
            operator,
            peer,
            health,
            addresses,
        })
    }

    /// Returns the addresses at which the process will listen.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Sets the bootstrap control processes of the deployment, if their addresses were not known
    /// before they were bound.
    pub fn set_peers(&mut self, peers: Vec<settings::Peer>) {
        self.settings.peers = peers;
    }

    /// Starts the process.
    ///
    /// # Errors
    /// Fails if the storage cannot be opened.
    pub fn start(self) -> Result<Process, Error> {
        let Self { mut settings, .. } = self;
        if settings.peers.is_empty() {
            settings
                .peers
                .push(own_peer(&settings, self.addresses.peer));
        }
        let client = peer::http::Client::new(&settings.secrets.peer, settings.local);
        let core = core::Core::new(settings, sync::Arc::new(client), rand::random());
        let tasks = core::run(&core).map_err(Error::Storage)?;
        let services = request::Services::new(&core);
        let addresses = self.addresses;
        Ok(Process {
            core,
            tasks,
            operator: serve(addresses.operator, self.operator, services.operator)?,
            peer: serve(addresses.peer, self.peer, services.peer)?,
            health: serve(addresses.health, self.health, services.health)?,
        })
    }
}

/// Returns the only entry of `peers` for a process that runs alone.
fn own_peer(settings: &settings::Settings, address: net::SocketAddr) -> settings::Peer {
    settings::Peer {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        address,
        disk: settings.data.is_some(),
    }
}

impl Process {
    /// Binds the addresses in the settings and starts a control process.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or the storage cannot be opened.
    pub async fn start(settings: settings::Settings) -> Result<Self, Error> {
        Bound::bind(settings).await?.start()
    }

    /// Returns the addresses at which the process listens.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            operator: self.operator.address(),
            peer: self.peer.address(),
            health: self.health.address(),
        }
    }

    /// Returns the state that the listeners share.
    pub fn core(&self) -> &sync::Arc<core::Core> {
        &self.core
    }

    /// Transfers leadership, answers the requests in flight and stops.
    pub async fn stop(mut self) {
        let timeout = self.core.settings.timing.stop.0;
        self.core.ready.stop();
        self.core.hand_over(timeout).await;
        self.tasks.abort_all();
        tokio::join!(
            self.operator.stop(timeout),
            self.peer.stop(timeout),
            self.health.stop(timeout),
        );
        self.core.abort();
    }

    /// Stops immediately, without handing anything over.
    pub fn abort(mut self) {
        self.tasks.abort_all();
        self.operator.abort();
        self.peer.abort();
        self.health.abort();
        self.core.abort();
    }
}

async fn bind(
    setting: &'static str,
    address: net::SocketAddr,
) -> Result<tokio::net::TcpListener, Error> {
    let socket = tokio::net::TcpListener::bind(address).await;
    socket.map_err(|error| Error::Listen {
        setting,
        address,
        error,
    })
}

fn address(
    setting: &'static str,
    address: net::SocketAddr,
    socket: &tokio::net::TcpListener,
) -> Result<net::SocketAddr, Error> {
    socket.local_addr().map_err(|error| Error::Listen {
        setting,
        address,
        error,
    })
}

fn serve(
    address: net::SocketAddr,
    socket: tokio::net::TcpListener,
    service: listener::Service,
) -> Result<listener::Listener, Error> {
    let listener = listener::Listener::start(socket, service);
    listener.map_err(|error| Error::Listen {
        setting: "addresses",
        address,
        error,
    })
}
