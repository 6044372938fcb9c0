//! Detects targets that end while they run a request.
//!
//! A connection that ends without an answer may also be reset on the way, or closed by a target that
//! lost the answer. A target that has ended refuses new connections as well.

use std::io;
use std::net;
use std::time;

use tokio::net::TcpStream;

/// Times after the end of a connection at which a new one is tried. A process that ends may accept
/// connections for a moment longer.
const PROBE_TIMES: [time::Duration; 3] = [
    time::Duration::ZERO,
    time::Duration::from_millis(100),
    time::Duration::from_millis(300),
];

/// Maximum time to open a connection. If there is no reply at all, the target may be out of reach.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Returns whether the target at an address has ended.
pub async fn has_ended(address: net::SocketAddr) -> bool {
    let start = tokio::time::Instant::now();
    for after in PROBE_TIMES {
        tokio::time::sleep_until(start + after).await;
        let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Err(error)) = connected
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
    }
    false
}
