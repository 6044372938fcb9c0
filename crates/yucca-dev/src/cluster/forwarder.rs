//! TCP forwarders in front of the hosts' peer listeners, which can cut domains off from each other.
//!
//! The hosts of each domain open their connections from a separate loopback address, by which a
//! forwarder recognizes the domain. Data blocked by a cut is delivered once the cut is healed, as
//! TCP retransmission would do.

use std::io;
use std::net;
use std::sync;

use indexmap::IndexSet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;
use tokio::task;

/// Maximum number of bytes buffered for each direction of a connection.
const BUFFER_BYTES: usize = 64 << 10;

/// Number of a domain in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Domain(pub u8);

impl Domain {
    /// Returns the domain with this index in the deployment's ticket.
    pub fn from_index(index: usize) -> Self {
        Self(u8::try_from(index).unwrap_or(u8::MAX))
    }

    /// Returns the loopback address from which the domain's hosts open connections.
    pub fn source(self) -> net::IpAddr {
        net::Ipv4Addr::new(127, 0, 1, self.0).into()
    }

    fn from_source(source: net::IpAddr) -> Option<Self> {
        match source {
            net::IpAddr::V4(address) => match address.octets() {
                [127, 0, 1, number] => Some(Self(number)),
                _ => None,
            },
            net::IpAddr::V6(_) => None,
        }
    }
}

/// An unordered pair of domains, stored with the lower number first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Pair {
    low: Domain,
    high: Domain,
}

impl Pair {
    /// Returns the pair of two domains.
    pub fn new(one: Domain, other: Domain) -> Self {
        Self {
            low: one.min(other),
            high: one.max(other),
        }
    }
}

/// Pairs of domains that are cut off from each other.
#[derive(Debug, Default)]
pub struct Cuts {
    pairs: watch::Sender<IndexSet<Pair>>,
}

impl Cuts {
    /// Cuts a pair of domains off from each other.
    pub fn cut(&self, pair: Pair) {
        self.pairs.send_modify(|pairs| {
            pairs.insert(pair);
        });
    }

    /// Ends the cut between a pair of domains.
    pub fn heal(&self, pair: Pair) {
        self.pairs.send_modify(|pairs| {
            pairs.swap_remove(&pair);
        });
    }

    /// Waits until a pair is not cut. Returns at once for `None`, an unrecognized source.
    async fn healed(&self, pair: Option<Pair>) {
        let Some(pair) = pair else {
            return;
        };
        let mut pairs = self.pairs.subscribe();
        // `self` owns the sender, so the wait ends only when the condition holds.
        let _ = pairs.wait_for(|pairs| !pairs.contains(&pair)).await;
    }
}

/// A running forwarder. Dropping it closes all its connections.
#[derive(Debug)]
pub struct Forwarder {
    address: net::SocketAddr,
    upstream: watch::Sender<Option<net::SocketAddr>>,
    task: task::JoinHandle<()>,
}

impl Forwarder {
    /// Starts a forwarder on `listen` to a host of `domain`. It closes new connections at once until
    /// [`Forwarder::set_upstream`] is called.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(
        listen: net::SocketAddr,
        domain: Domain,
        cuts: sync::Arc<Cuts>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let upstream = watch::Sender::new(None);
        let task = tokio::spawn(accept(listener, upstream.subscribe(), domain, cuts));
        Ok(Self {
            address,
            upstream,
            task,
        })
    }

    /// Returns the address on which the forwarder listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_upstream(&self, upstream: net::SocketAddr) {
        self.upstream.send_replace(Some(upstream));
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    upstream: watch::Receiver<Option<net::SocketAddr>>,
    domain: Domain,
    cuts: sync::Arc<Cuts>,
) {
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let upstream = *upstream.borrow();
                let (Ok((stream, source)), Some(upstream)) = (accepted, upstream) else {
                    continue;
                };
                let origin = Domain::from_source(source.ip());
                let pair = origin.map(|origin| Pair::new(origin, domain));
                connections.spawn(forward(stream, upstream, pair, cuts.clone()));
            }
        }
    }
}

async fn forward(
    downstream: TcpStream,
    upstream: net::SocketAddr,
    pair: Option<Pair>,
    cuts: sync::Arc<Cuts>,
) -> io::Result<()> {
    cuts.healed(pair).await;
    let connected = TcpStream::connect(upstream).await?;
    downstream.set_nodelay(true)?;
    connected.set_nodelay(true)?;
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = connected.into_split();
    let requests = copy(downstream_read, upstream_write, pair, &cuts);
    let answers = copy(upstream_read, downstream_write, pair, &cuts);
    tokio::try_join!(requests, answers).map(|_| ())
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    pair: Option<Pair>,
    cuts: &Cuts,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        cuts.healed(pair).await;
        match read {
            Ok(0) => return to.shutdown().await,
            Ok(count) => to.write_all(&buffer[..count]).await?,
            Err(error) => return Err(error),
        }
    }
}
