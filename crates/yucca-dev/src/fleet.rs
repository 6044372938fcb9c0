//! All mock targets of a deployment.

use std::net;
use std::sync;
use std::time;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;
use yucca_wire::auth;
use yucca_wire::id;

use crate::deployment;
use crate::journal;
use crate::target;

/// Number of slots of each target.
const SLOTS: id::Slots = id::Slots(3);

/// Maximum number of open connections of each target.
const CONNECTIONS: u16 = 130;

/// Maximum number of waiting requests of each target.
const QUEUE: usize = 512;

/// Time for which health and load endpoints repeat a report.
const LAG: time::Duration = time::Duration::from_secs(2);

/// One target of this many does not check fencing tokens.
const UNCHECKED_EVERY: usize = 3;

/// Settings of the targets of a deployment.
#[derive(Debug, Clone)]
pub struct Settings {
    /// IP address on which the targets listen, each on a free port.
    pub ip: net::IpAddr,
    /// Time that a target takes from a cold start to the full rate.
    pub warmup: time::Duration,
    /// Seed of all service times.
    pub seed: u64,
    /// Announce addresses of the entry hosts, by domain. Targets of a domain that is not in
    /// the map don't announce themselves and don't check tokens.
    pub announce: IndexMap<id::Domain, Vec<net::SocketAddr>>,
    /// Secret that the announce listeners require.
    pub secret: auth::Secret,
}

/// A target in the list of the fault API.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listing {
    /// Name.
    pub target: id::Target,
    /// Service that the target belongs to.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address on which the target serves requests.
    pub address: net::SocketAddr,
    /// Total running time of requests so far, in microseconds summed over the slots.
    pub work_us: u64,
}

/// Targets of a deployment.
#[derive(Debug)]
pub struct Fleet {
    /// Journal of the runs at all targets.
    pub journal: sync::Arc<journal::Journal>,
    members: IndexMap<id::Target, Member>,
}

#[derive(Debug)]
struct Member {
    domain: id::Domain,
    target: target::Target,
}

/// Reason why a fleet does not start.
#[derive(Debug)]
pub enum Error {
    /// The deployment is malformed.
    Deployment(deployment::Error),
    /// A target does not start.
    Target(target::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Deployment(error) => error.fmt(f),
            Self::Target(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl Fleet {
    /// Starts all targets of a deployment, distributed over its domains.
    ///
    /// # Errors
    /// Fails if a name is malformed or a target does not start.
    pub async fn start(
        deployment: &deployment::Deployment,
        settings: &Settings,
    ) -> Result<Self, Error> {
        let journal = sync::Arc::new(journal::Journal::default());
        let domains = deployment.domains().map_err(Error::Deployment)?;
        let mut members = IndexMap::new();
        for group in &deployment.groups {
            for (index, domain) in (0..group.targets).zip(domains.iter().cycle()) {
                let settings = target_settings(group, index, domain, settings);
                let settings = settings.map_err(Error::Deployment)?;
                let started = target::Target::start(settings, journal.clone()).await;
                let target = started.map_err(Error::Target)?;
                let domain = domain.clone();
                members.insert(target.name().clone(), Member { domain, target });
            }
        }
        Ok(Self { journal, members })
    }

    /// Returns the target with this name.
    pub fn get(&self, name: &id::Target) -> Option<&target::Target> {
        self.members.get(name).map(|member| &member.target)
    }

    /// Ends a target abruptly. Returns whether it existed.
    pub fn lose(&mut self, name: &id::Target) -> bool {
        self.members.shift_remove(name).is_some()
    }

    /// Returns all targets, each with its running time so far.
    pub fn list(&self) -> Vec<Listing> {
        let members = self.members.values();
        members.map(listing).collect()
    }
}

fn listing(member: &Member) -> Listing {
    Listing {
        target: member.target.name().clone(),
        service: member.target.service().clone(),
        domain: member.domain.clone(),
        address: member.target.address(),
        work_us: member.target.work_us(),
    }
}

fn target_settings(
    group: &deployment::Group,
    index: usize,
    domain: &id::Domain,
    settings: &Settings,
) -> Result<target::Settings, deployment::Error> {
    let name: id::Target = format!("{}-{}", group.service, index + 1).parse()?;
    let hosts = settings.announce.get(domain).cloned();
    Ok(target::Settings {
        seed: settings.seed ^ xxh3::xxh3_64(name.as_str().as_bytes()),
        name,
        service: group.service.clone(),
        rules: group.rules.clone(),
        listen: net::SocketAddr::new(settings.ip, 0),
        slots: SLOTS,
        connections: CONNECTIONS,
        checks_tokens: hosts.is_some() && !(index + 1).is_multiple_of(UNCHECKED_EVERY),
        model: group.model,
        warmup: settings.warmup,
        queue: QUEUE,
        lag: LAG,
        announce: hosts.map(|hosts| target::Recipients {
            hosts,
            secret: settings.secret.clone(),
        }),
    })
}
