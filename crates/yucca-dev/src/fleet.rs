//! All stand-in targets of a deployment.

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

/// The slots of each target.
const SLOTS: id::Slots = id::Slots(3);

/// The connections of each target.
const CONNECTIONS: u16 = 130;

/// How many requests wait at a target before it refuses more.
const QUEUE: usize = 512;

/// By how much health and load endpoints lag behind.
const LAG: time::Duration = time::Duration::from_secs(2);

/// One target in `N` does not check fencing tokens.
const UNCHECKED_EVERY: usize = 3;

/// How the targets of a deployment start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The IP address on which they listen, each on a free port.
    pub ip: net::IpAddr,
    /// How long each takes from a cold start to its full rate.
    pub warmup: time::Duration,
    /// The seed of all service times.
    pub seed: u64,
    /// By domain, the announce addresses of its entry hosts; none keeps the targets unannounced
    /// and lets them check nothing.
    pub announce: IndexMap<id::Domain, Vec<net::SocketAddr>>,
    /// The secret that the announce listeners require.
    pub secret: auth::Secret,
}

/// A target in the list at the faults address.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listing {
    /// Its name.
    pub target: id::Target,
    /// The service that it serves.
    pub service: id::Service,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it takes work.
    pub address: net::SocketAddr,
    /// The work done so far, in slot-microseconds.
    pub work_us: u64,
}

/// The targets of a deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The record of all their runs.
    pub journal: sync::Arc<journal::Journal>,
    members: IndexMap<id::Target, Member>,
}

#[derive(Debug)]
struct Member {
    domain: id::Domain,
    target: target::Target,
}

/// Why a fleet does not start.
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
    /// Starts all targets of a deployment, spread over its domains.
    ///
    /// # Errors
    /// Fails where a name is malformed or a target does not start.
    pub async fn start(
        deployment: &deployment::Deployment,
        settings: &Settings,
    ) -> Result<Self, Error> {
        let journal = sync::Arc::new(journal::Journal::default());
        let domains = deployment.domains().map_err(Error::Deployment)?;
        let mut members = IndexMap::new();
        for group in &deployment.groups {
            for (index, domain) in (0..group.targets).zip(domains.iter().cycle()) {
                let member = member(group, index, domain, settings);
                let member = member.map_err(Error::Deployment)?;
                let started = target::Target::start(member, journal.clone()).await;
                let target = started.map_err(Error::Target)?;
                let domain = domain.clone();
                members.insert(target.name().clone(), Member { domain, target });
            }
        }
        Ok(Self { journal, members })
    }

    /// Returns the target of this name.
    pub fn get(&self, name: &id::Target) -> Option<&target::Target> {
        self.members.get(name).map(|member| &member.target)
    }

    /// Ends a target as a loss does.
    pub fn lose(&mut self, name: &id::Target) -> bool {
        self.members.shift_remove(name).is_some()
    }

    /// Returns all targets with the work that they did so far.
    pub fn list(&self) -> Vec<Listing> {
        let members = self.members.values();
        members.map(listed).collect()
    }
}

fn listed(member: &Member) -> Listing {
    Listing {
        target: member.target.name().clone(),
        service: member.target.service().clone(),
        domain: member.domain.clone(),
        address: member.target.address(),
        work_us: member.target.work_us(),
    }
}

fn member(
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
