//! Reads the counters of entry processes.

use std::fmt;
use std::net;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;

/// The counter of requests by service and class.
const REQUESTS: &str = "yucca_requests_total";

/// The counter of requests that were not served, by service, class and cause.
const FAILED: &str = "yucca_requests_failed_total";

/// The counter of requests that were answered later than their objective, by service and class.
const SLOW: &str = "yucca_requests_slow_total";

/// What is counted apart: one service and work class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Labels {
    /// The service.
    pub service: String,
    /// The work class.
    pub class: String,
}

impl fmt::Display for Labels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.class)
    }
}

impl From<Labels> for String {
    fn from(labels: Labels) -> Self {
        labels.to_string()
    }
}

impl TryFrom<String> for Labels {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (service, class) = text
            .split_once('/')
            .ok_or_else(|| format!("{text:?} is not SERVICE/CLASS"))?;
        Ok(Self {
            service: service.into(),
            class: class.into(),
        })
    }
}

/// The counters of one service and class, summed over hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All requests.
    pub requests: u64,
    /// Requests that were answered later than the objective.
    pub slow: u64,
    /// Requests that were not served, by cause.
    pub failed: IndexMap<String, u64>,
}

impl Counts {
    /// Returns how many requests were not served.
    pub fn failures(&self) -> u64 {
        self.failed.values().sum()
    }

    /// Returns what was counted since `earlier`. A counter that fell was reset by a restart: then
    /// all of it came since.
    pub fn since(&self, earlier: &Self) -> Self {
        let differ = |now: u64, then: u64| if now >= then { now - then } else { now };
        let failed = self.failed.iter().map(|(cause, count)| {
            let then = earlier.failed.get(cause).copied().unwrap_or_default();
            (cause.clone(), differ(*count, then))
        });
        Self {
            requests: differ(self.requests, earlier.requests),
            slow: differ(self.slow, earlier.slow),
            failed: failed.collect(),
        }
    }

    /// Adds other counters.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.slow += other.slow;
        for (cause, count) in &other.failed {
            *self.failed.entry(cause.clone()).or_default() += count;
        }
    }
}

/// The counters by service and class.
pub type Sample = IndexMap<Labels, Counts>;

/// Reads the counters of one entry process.
///
/// # Errors
/// Tells which process could not be read and why.
pub async fn read(address: net::SocketAddr) -> Result<Sample, String> {
    let text = fetch(address)
        .await
        .map_err(|reason| format!("cannot read the metrics of {address}: {reason}"))?;
    Ok(parse(&text))
}

async fn fetch(address: net::SocketAddr) -> Result<String, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let driver = tokio::spawn(connection);
    let request = http::Request::get("/metrics")
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    let collected = response
        .into_body()
        .collect()
        .await
        .map_err(|e| e.to_string())?;
    driver.abort();
    String::from_utf8(collected.to_bytes().to_vec()).map_err(|e| e.to_string())
}

/// Reads counters from the Prometheus text format; lines of other metrics are passed over.
pub fn parse(text: &str) -> Sample {
    let mut sample = Sample::new();
    for line in text.lines() {
        take_in(&mut sample, line);
    }
    sample
}

fn take_in(sample: &mut Sample, line: &str) -> Option<()> {
    let (name, rest) = line.split_once('{')?;
    let (labels, value) = rest.rsplit_once('}')?;
    let count = value.trim().parse::<f64>().ok()? as u64;
    let line = Labels {
        service: label(labels, "service")?,
        class: label(labels, "class")?,
    };
    let counts = sample.entry(line).or_default();
    match name {
        REQUESTS => counts.requests += count,
        SLOW => counts.slow += count,
        FAILED => *counts.failed.entry(label(labels, "cause")?).or_default() += count,
        _ => {}
    }
    Some(())
}

fn label(labels: &str, name: &str) -> Option<String> {
    labels.split(',').find_map(|label| {
        let (key, value) = label.split_once('=')?;
        (key.trim() == name).then(|| value.trim_matches('"').to_owned())
    })
}
