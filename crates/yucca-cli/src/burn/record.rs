//! Record of counters over time: a file with one reading as JSON on each line.

use std::fs;
use std::io::{self, Write};
use std::net;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::burn::scrape;
use crate::error::Error;

/// Counters at one time, summed over all entry processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Number of processes that were read.
    pub hosts: usize,
    /// Counters by service and class.
    pub sample: scrape::Sample,
}

/// Reads all processes once. A process that cannot be read is left out, and reported on standard
/// error.
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
                for (labels, counts) in sample {
                    reading.sample.entry(labels).or_default().add(&counts);
                }
            }
            Err(reason) => eprintln!("{reason}"),
        }
    }
    reading
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis() as u64
}

/// Appends `count` readings to a file, one every `interval`.
///
/// # Errors
/// Returns [`Error::File`] if the file cannot be written.
pub async fn append(
    path: &Path,
    addresses: &[net::SocketAddr],
    interval: Duration,
    count: u32,
) -> Result<(), Error> {
    let file_error = |source: io::Error| Error::File {
        path: path.into(),
        source,
    };
    let opened = fs::OpenOptions::new().create(true).append(true).open(path);
    let mut file = opened.map_err(file_error)?;
    let mut ticks = time::interval(interval);
    for _ in 0..count {
        ticks.tick().await;
        let reading = read(addresses).await;
        let line = serde_json::to_string(&reading).map_err(|error| Error::InvalidResponse {
            reason: error.to_string(),
        })?;
        writeln!(file, "{line}").map_err(file_error)?;
    }
    Ok(())
}

/// Loads a record.
///
/// # Errors
/// Returns an error if the file cannot be read or a line is not a reading.
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
