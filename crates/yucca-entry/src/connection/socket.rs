//! Outgoing TCP connections.

use std::io;
use std::net;
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};
use tokio::time;

/// Timeout of opening a connection; within a region it takes about 1 ms.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Opens a connection with `TCP_NODELAY`.
///
/// # Errors
/// Fails if the connection is refused or does not open within [`DIAL_TIMEOUT`].
pub async fn dial(address: net::SocketAddr) -> io::Result<TcpStream> {
    dial_from(None, address).await
}

/// Opens a connection like [`dial`], from a local IP address if one is given.
///
/// # Errors
/// Fails like [`dial`], and if the local address does not belong to this host or to the address
/// family of `address`.
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
