//! Reads request counters from the metrics of entry processes.

use std::fmt;
use std::net;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;

/// Counter of requests by service and class.
const REQUESTS: &str = "yucca_requests_total";

/// Counter of requests that were not served, by service, class and cause.
const FAILED: &str = "yucca_requests_failed_total";

/// Counter of requests that were served later than the latency objective, by service and class.
const SLOW: &str = "yucca_requests_slow_total";

/// Service and work class that a counter belongs to. The text form is `SERVICE/CLASS`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Labels {
    /// Service.
    pub service: String,
    /// Work class.
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

/// Counters of one service and class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that were served later than the latency objective.
    pub slow: u64,
    /// Number of requests that were not served, by cause.
    pub failed: IndexMap<String, u64>,
}

impl Counts {
    /// Returns the number of requests that were not served.
    pub fn failures(&self) -> u64 {
        self.failed.values().sum()
    }

    /// Returns the increase since `earlier`. A counter that decreased was reset by a restart, so
    /// its whole value counts as increase.
    pub fn since(&self, earlier: &Self) -> Self {
        let increase = |now: u64, then: u64| if now >= then { now - then } else { now };
        let failed = self.failed.iter().map(|(cause, count)| {
            let then = earlier.failed.get(cause).copied().unwrap_or_default();
            (cause.clone(), increase(*count, then))
        });
        Self {
            requests: increase(self.requests, earlier.requests),
            slow: increase(self.slow, earlier.slow),
            failed: failed.collect(),
        }
    }

    /// Adds the values of other counters.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.slow += other.slow;
        for (cause, count) in &other.failed {
            *self.failed.entry(cause.clone()).or_default() += count;
        }
    }
}

/// Counters by service and class.
pub type Sample = IndexMap<Labels, Counts>;

/// Reads the counters of one entry process.
///
/// # Errors
/// Returns a message with the address and the reason if the process cannot be read.
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

/// Reads counters from the Prometheus text format. Other metrics are not counted.
pub fn parse(text: &str) -> Sample {
    let mut sample = Sample::new();
    for line in text.lines() {
        add_line(&mut sample, line);
    }
    sample
}

fn add_line(sample: &mut Sample, line: &str) -> Option<()> {
    let (name, rest) = line.split_once('{')?;
    let (labels, value) = rest.rsplit_once('}')?;
    let count = value.trim().parse::<f64>().ok()? as u64;
    let key = Labels {
        service: label(labels, "service")?,
        class: label(labels, "class")?,
    };
    let counts = sample.entry(key).or_default();
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
