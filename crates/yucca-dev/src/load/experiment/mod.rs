//! Experiments. Most compare the deployment with one or more baselines in one invocation.

mod blocking;
mod crest;
mod imbalance;
mod latency;
mod measures;
mod memory;
mod throughput;

use std::fmt;
use std::io;
use std::net;
use std::path;
use std::sync;
use std::time;

use tokio::time as clock;

use super::client;
use super::discovery;
use super::drive;
use super::router;
use super::tally;
use super::trace;
use crate::deployment;
use crate::fleet;

pub use blocking::blocking;
pub use crest::crest;
pub use imbalance::imbalance;
pub use latency::latency;
pub use measures::measures;
pub use memory::memory;
pub use throughput::throughput;

/// Interval between two samples of the targets' work.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Number of keys of a keyed service.
const KEYS: u64 = 100_000;

/// The deployment that an experiment runs against, and the parameters of its runs.
#[derive(Debug, Clone)]
pub struct Bench {
    /// Addresses of the running deployment.
    pub ready: discovery::Ready,
    /// Services and targets of the deployment.
    pub deployment: deployment::Deployment,
    /// HTTP client of all runs.
    pub client: client::Client,
    /// Time during which requests arrive in each run.
    pub length: time::Duration,
    /// Exponent of the Zipf distribution of keys.
    pub zipf: f64,
    /// Interval at which the hot keys change.
    pub move_every: time::Duration,
    /// Seed of all runs.
    pub seed: u64,
}

/// Why an experiment has no result.
#[derive(Debug)]
pub enum Error {
    /// The deployment can't be found.
    Discovery(discovery::Error),
    /// The resident memory of a process can't be read.
    Memory {
        /// The file.
        file: path::PathBuf,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The ready line names no entry host.
    NoEntry,
    /// The deployment has no keyed service.
    NoKeyed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Discovery(error) => error.fmt(f),
            Self::Memory { file, source } => {
                write!(
                    f,
                    "cannot read {}: {source}; give a running --pid",
                    file.display()
                )
            }
            Self::NoEntry => f.write_str("the ready line names no entry host"),
            Self::NoKeyed => f.write_str("the deployment has no keyed service"),
        }
    }
}

impl std::error::Error for Error {}

impl From<discovery::Error> for Error {
    fn from(error: discovery::Error) -> Self {
        Self::Discovery(error)
    }
}

/// Results of one run.
#[derive(Debug)]
pub struct Run {
    /// Counts and latencies of its requests.
    pub totals: tally::Totals,
    /// Cumulative work of the targets that the router used, one sample per window.
    pub samples: Vec<Vec<fleet::Listing>>,
    /// Time during which requests arrived.
    pub length: time::Duration,
}

impl Bench {
    /// Returns the callers' addresses of the entry hosts.
    ///
    /// # Errors
    /// Fails if there are none.
    pub fn entries(&self) -> Result<Vec<net::SocketAddr>, Error> {
        let entries = self.ready.entries.iter();
        let addresses: Vec<_> = entries.map(|entry| entry.callers).collect();
        if addresses.is_empty() {
            return Err(Error::NoEntry);
        }
        Ok(addresses)
    }

    /// Returns the group of targets of the first keyed service.
    ///
    /// # Errors
    /// Fails if the deployment has no keyed service.
    pub fn keyed(&self) -> Result<&deployment::Group, Error> {
        let is_keyed = |group: &&deployment::Group| {
            matches!(group.rules.kind, yucca_wire::ticket::Kind::Keyed(_))
        };
        let mut groups = self.deployment.groups.iter();
        groups.find(is_keyed).ok_or(Error::NoKeyed)
    }

    /// Returns a plan with these streams at a constant rate.
    pub fn plan(&self, streams: Vec<trace::Stream>) -> trace::Plan {
        trace::Plan {
            streams,
            cycle: None,
            keys: trace::Keys {
                count: KEYS,
                exponent: self.zipf,
                move_every: self.move_every,
            },
            length: self.length,
            seed: self.seed,
        }
    }

    /// Returns a router of a kind; baselines use the spare targets.
    ///
    /// # Errors
    /// Fails if the deployment can't be found or has no entry host.
    pub async fn router(&self, kind: router::Kind) -> Result<sync::Arc<dyn router::Router>, Error> {
        let client = self.client.clone();
        if kind == router::Kind::Yuccahill {
            return Ok(sync::Arc::new(router::Entries::new(
                client,
                self.entries()?,
            )));
        }
        let targets = self.ready.targets(&self.client).await?;
        Ok(sync::Arc::new(router::Baseline::new(
            client,
            kind,
            &targets.spare,
        )))
    }

    /// Runs a plan over one router and samples the work of its targets.
    ///
    /// # Errors
    /// Fails if the deployment can't be found or has no entry host.
    pub async fn run(&self, kind: router::Kind, plan: trace::Plan) -> Result<Run, Error> {
        let tally = sync::Arc::new(tally::Tally::default());
        let variant = drive::Variant {
            router: self.router(kind).await?,
            tally: tally.clone(),
        };
        let length = plan.length;
        let sampler = tokio::spawn(sample(self.clone(), kind, length));
        drive::run(&kind.to_string(), trace::Trace::new(plan), vec![variant]).await;
        Ok(Run {
            totals: tally.totals(),
            samples: sampler.await.unwrap_or_default(),
            length,
        })
    }
}

/// Samples the work of the targets once per window while requests arrive.
///
/// Leaves out samples that can't be fetched.
async fn sample(
    bench: Bench,
    kind: router::Kind,
    length: time::Duration,
) -> Vec<Vec<fleet::Listing>> {
    let end = clock::Instant::now() + length;
    let mut ticks = clock::interval(WINDOW);
    let mut samples = Vec::new();
    while clock::Instant::now() < end {
        ticks.tick().await;
        let Ok(targets) = bench.ready.targets(&bench.client).await else {
            continue;
        };
        samples.push(match kind {
            router::Kind::Yuccahill => targets.served,
            _ => targets.spare,
        });
    }
    samples
}
