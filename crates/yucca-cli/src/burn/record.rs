//! A record of counters over time: one JSON line a reading.

use std::fs;
use std::io::{self, Write};
use std::net;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::burn::scrape;
use crate::error::Error;

/// One reading: the sum over all entry processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The time in milliseconds since 1970.
    pub at_ms: u64,
    /// How many processes were read.
    pub hosts: usize,
    /// The counters.
    pub sample: scrape::Sample,
}

/// Reads all processes once. A process that cannot be read is left out and named on standard error.
pub async fn read(addresses: &[net::SocketAddr]) -> Reading {
    let mut reading = Reading {
        at_ms: now_ms(),
        hosts: 0,
        sample: scrape::Sample::new(),
    };
    for address in addresses {
        match scrape::read(*address).await {
            Ok(sample) => {
                reading.hosts += 1;
                for (line, counts) in sample {
                    reading.sample.entry(line).or_default().add(&counts);
                }
            }
            Err(reason) => eprintln!("{reason}"),
        }
    }
    reading
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Adds readings to a file, `count` of them, one every `interval`.
///
/// # Errors
/// Fails where the file cannot be written.
pub async fn append(
    path: &Path,
    addresses: &[net::SocketAddr],
    interval: Duration,
    count: u32,
) -> Result<(), Error> {
    let explain = |source: io::Error| Error::File {
        path: path.into(),
        source,
    };
    let opened = fs::OpenOptions::new().create(true).append(true).open(path);
    let mut file = opened.map_err(explain)?;
    let mut ticks = time::interval(interval);
    for _ in 0..count {
        ticks.tick().await;
        let reading = read(addresses).await;
        let line = serde_json::to_string(&reading).map_err(|error| Error::InvalidResponse {
            reason: error.to_string(),
        })?;
        writeln!(file, "{line}").map_err(explain)?;
    }
    Ok(())
}

/// Loads a record.
///
/// # Errors
/// Fails where the file cannot be read or a line is not a reading.
pub fn load(path: &Path) -> Result<Vec<Reading>, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::File {
        path: path.into(),
        source,
    })?;
    let mut readings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let reading = serde_json::from_str(line).map_err(|error| Error::Argument {
            name: "RECORD",
            problem: format!("line {}: {error}", index + 1),
        })?;
        readings.push(reading);
    }
    Ok(readings)
}
