//! Opens TCP connections.

use std::io;
use std::net;
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};
use tokio::time;

/// How long opening a connection may take; within a region it takes about 1 ms.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Opens a connection without delay of small writes.
///
/// # Errors
/// Fails where the address refuses, or does not answer within [`DIAL_TIMEOUT`].
pub async fn dial(address: net::SocketAddr) -> io::Result<TcpStream> {
    dial_from(None, address).await
}

/// Opens a connection as [`dial`] does, from a local IP address where one is given.
///
/// # Errors
/// Fails as [`dial`] does, and where the local address is not of this host or of another family.
pub async fn dial_from(
    local: Option<net::IpAddr>,
    address: net::SocketAddr,
) -> io::Result<TcpStream> {
    let stream = match time::timeout(DIAL_TIMEOUT, connect(local, address)).await {
        Ok(connected) => connected?,
        Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)),
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn connect(local: Option<net::IpAddr>, address: net::SocketAddr) -> io::Result<TcpStream> {
    let Some(local) = local else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(net::SocketAddr::new(local, 0))?;
    socket.connect(address).await
}
