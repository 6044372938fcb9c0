//! Opens TCP connections.

use std::io;
use std::net;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time;

/// How long opening a connection may take; within a region it takes about 1 ms.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Opens a connection without delay of small writes.
///
/// # Errors
/// Fails where the address refuses, or does not answer within [`DIAL_TIMEOUT`].
pub async fn dial(address: net::SocketAddr) -> io::Result<TcpStream> {
    let stream = match time::timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await {
        Ok(connected) => connected?,
        Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)),
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}
