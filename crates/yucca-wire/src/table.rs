//! Routing table of an entry host: services, homes, targets and owners.
//!
//! It has one part that the global log decides ([`Global`]) and one part for each domain, which
//! that domain's log decides ([`Local`]). Each part has its own version, which only increases.

use std::net;
use std::sync;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::key;
use crate::shards;
use crate::unit;

/// Routing table of one host.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Table {
    /// State from the global log.
    pub global: sync::Arc<Global>,
    /// State from each domain's log.
    pub locals: IndexMap<id::Domain, sync::Arc<Local>>,
}

/// Part of the table that all domains share.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Global {
    /// Version of the global log.
    pub version: id::Version,
    /// Services, by name.
    pub services: IndexMap<id::Service, Service>,
    /// Failure domains, by name.
    pub domains: IndexMap<id::Domain, Domain>,
    /// Home domain of each shard, by service.
    pub homes: IndexMap<id::Service, shards::Homes>,
    /// Shards that leave their home domain, and the domain that gets them next, by service.
    #[serde(default)]
    pub leaving: IndexMap<id::Service, IndexMap<id::Shard, id::Domain>>,
    /// Pins that operators set, by service.
    pub pins: IndexMap<id::Service, IndexMap<Bytes, id::Target>>,
    /// Targets that operators drain, by service.
    pub drains: IndexMap<id::Service, Vec<id::Target>>,
}

/// Part of the table that one domain decides.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Local {
    /// Name of the domain.
    pub domain: id::Domain,
    /// Version of the domain's log.
    pub version: id::Version,
    /// Newest global version that the domain's log has applied.
    pub global: id::Version,
    /// Targets of the domain, by name.
    pub targets: IndexMap<id::Target, Target>,
    /// Owner of each shard whose home is this domain, by service.
    pub owners: IndexMap<id::Service, shards::Owners>,
    /// Owners of hot keys, by service; they take precedence over the owners of the keys' shards.
    pub pins: IndexMap<id::Service, IndexMap<Bytes, Owner>>,
}

/// Owner of a shard or pin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Target that owns the shard or pin.
    pub target: id::Target,
    /// Fencing token of the grant.
    pub token: id::Token,
    /// Whether the shard or pin is moving to another owner: requests wait at the lane and none is
    /// sent.
    pub moving: bool,
}

/// Definition of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path prefix of the service's requests.
    pub prefix: String,
    /// Whether the service is divided by key.
    pub kind: Kind,
    /// Deadline of requests for which the caller states none.
    pub deadline: unit::Span,
    /// Routes that set the work class of requests; the first matching route applies.
    pub routes: Vec<Route>,
    /// Retry policy for idempotent requests.
    pub retry: Retry,
    /// Limits on bodies, queues and slots.
    pub limits: Limits,
    /// Handling of the service's shards in a domain that the other domains cannot reach.
    pub on_cut: Cut,
    /// Service-level objectives, by work class.
    pub objectives: IndexMap<Class, Objective>,
}

/// Kind of a service: divided by key, or a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Each key has one owner.
    Keyed {
        /// Position of the key in a request.
        key: Rule,
        /// Number of shards, a power of two.
        shards: u32,
    },
    /// Any target serves any request.
    Pool,
}

/// Position of the key in a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// In the header with this name.
    Header(String),
    /// In the path segment with this index after the prefix.
    Segment(u32),
    /// In the query parameter with this name.
    Query(String),
}

/// Rule that sets the work class of the requests that match.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// HTTP method; any method if `None`.
    pub method: Option<String>,
    /// Pattern of the path after the prefix: `*` matches one segment, a final `**` the rest.
    pub path: String,
    /// Work class.
    pub class: Class,
    /// Whether running such a request more than once is safe.
    pub idempotent: bool,
    /// Deadline of requests for which the caller states none.
    pub deadline: Option<unit::Span>,
}

/// Work class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Work that takes milliseconds.
    Short,
    /// Work that takes many times as long.
    Long,
}

/// Retry policy for idempotent requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Retry {
    /// Maximum number of attempts for one request, including the first.
    pub attempts: u32,
    /// Maximum number of retries, as a fraction of the number of recent successes.
    pub budget: f64,
}

/// Limits of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body: unit::Size,
    /// Maximum number of requests that wait for one target.
    pub queue_requests: u32,
    /// Maximum total size of the requests that wait for one target.
    pub queue_bytes: unit::Size,
    /// Number of a target's slots that long work cannot use.
    pub short_reserve: id::Slots,
}

/// Handling of the shards of a domain that the other domains cannot reach (a network partition).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cut {
    /// They stay with the domain.
    Hold,
    /// They move to other domains this long after the domain last renewed its home lease.
    MoveAfter(unit::Span),
}

/// Service-level objective for one work class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Fraction of requests that get a response in time.
    pub availability: f64,
    /// Time within which 99 of 100 requests must get a response.
    pub latency: unit::Span,
}

/// Failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Region that contains the domain.
    pub region: id::Region,
    /// Number that increases each time the domain's shards are assigned to other domains.
    pub generation: u32,
    /// Whether operators declared that all targets of the domain are off.
    pub lost: bool,
    /// Hosts of the domain, by name.
    pub hosts: IndexMap<id::Host, Host>,
}

/// Entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Address at which the host's entry process listens for peers.
    pub peer: net::SocketAddr,
    /// Address at which the host's control process listens for peers.
    pub control: net::SocketAddr,
    /// Whether the host has a disk.
    pub disk: bool,
}

/// Target and its lane.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Service of the target.
    pub service: id::Service,
    /// Address at which the target accepts requests.
    pub address: net::SocketAddr,
    /// Incarnation of the target; it increases with each start.
    pub incarnation: u64,
    /// Maximum number of requests that the target processes at a time.
    pub slots: id::Slots,
    /// Maximum number of connections that the target accepts.
    pub connections: u16,
    /// Whether the target rejects lower fencing tokens.
    pub checks_tokens: bool,
    /// State of the target as decided by its domain.
    pub state: State,
    /// Host that has the target's lane; `None` while the lane moves to another host.
    pub lane: Option<id::Host>,
    /// Host that takes over the lane if the lane's host is lost.
    pub standby: Option<id::Host>,
    /// Fencing token of the lane.
    pub token: id::Token,
    /// Warm-up progress, from 0 (cold start) to 1 (full rate).
    pub warm: f32,
}

/// State of a target as decided by its domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The target accepts requests.
    Serving,
    /// The target accepts no new work; its shards and pins move to other targets.
    Draining,
    /// The target does not respond; its keys move to other targets.
    Lost,
}

/// The owner of a key and its home domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location<'a> {
    /// Home domain of the key.
    pub domain: &'a id::Domain,
    /// Target that owns the key.
    pub target: &'a id::Target,
    /// Fencing token of the grant.
    pub token: id::Token,
}

/// Part of the table that is missing for a key, so that it has no known owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// The service is unknown or not divided by key.
    Service,
    /// The key's shard has no home domain.
    Home,
    /// The table does not contain the home domain's part.
    Domain,
    /// The key's shard has no owner at present.
    Owner,
}

impl Table {
    /// Returns the owner of a key and its home domain.
    ///
    /// # Errors
    /// Returns the part of the table that is missing if the key has no known owner.
    pub fn locate(&self, service: &id::Service, key: &[u8]) -> Result<Location<'_>, Missing> {
        let found = self.global.services.get(service).ok_or(Missing::Service)?;
        let Kind::Keyed { shards, .. } = found.kind else {
            return Err(Missing::Service);
        };
        let shard = key::shard(key, shards);
        let homes = self.global.homes.get(service).ok_or(Missing::Home)?;
        let domain = homes.get(shard.0 as usize).ok_or(Missing::Home)?;
        let local = self.locals.get(domain).ok_or(Missing::Domain)?;
        let owner = local.owner(service, shard, key).ok_or(Missing::Owner)?;
        Ok(Location {
            domain,
            target: &owner.target,
            token: owner.token,
        })
    }

    /// Returns the address of a host's entry process.
    pub fn peer(&self, host: &id::Host) -> Option<net::SocketAddr> {
        let mut domains = self.global.domains.values();
        domains.find_map(|domain| domain.hosts.get(host).map(|host| host.peer))
    }
}

impl Local {
    /// Returns the empty part of a domain, at version 0.
    pub fn new(domain: id::Domain) -> Self {
        Self {
            domain,
            version: id::Version(0),
            global: id::Version(0),
            targets: IndexMap::new(),
            owners: IndexMap::new(),
            pins: IndexMap::new(),
        }
    }

    /// Returns the owner of a key in `shard`: the owner of its pin if there is one, otherwise the
    /// owner of the shard.
    pub fn owner(&self, service: &id::Service, shard: id::Shard, key: &[u8]) -> Option<&Owner> {
        let pinned = self.pins.get(service).and_then(|pins| pins.get(key));
        pinned.or_else(|| self.owners.get(service)?.get(&shard))
    }
}
