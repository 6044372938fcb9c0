//! The routing table: what an entry host knows of services, homes, targets and owners.
//!
//! It has one part that the global log decides ([`Global`]) and one for each domain, decided by
//! that domain's log ([`Local`]). Each part has its own version, which only rises.

use std::net;
use std::sync;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::key;
use crate::shards;
use crate::unit;

/// The whole routing table of one host.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Table {
    /// What the global log decided.
    pub global: sync::Arc<Global>,
    /// What each domain's log decided.
    pub locals: IndexMap<id::Domain, sync::Arc<Local>>,
}

/// The part of the table that all domains share.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Global {
    /// The version of the global log.
    pub version: id::Version,
    /// The services, by name.
    pub services: IndexMap<id::Service, Service>,
    /// The failure domains, by name.
    pub domains: IndexMap<id::Domain, Domain>,
    /// The home domain of each shard, by service.
    pub homes: IndexMap<id::Service, shards::Homes>,
    /// The shards that their home gives up, and the domain that gets them then, by service.
    #[serde(default)]
    pub leaving: IndexMap<id::Service, IndexMap<id::Shard, id::Domain>>,
    /// The pins that operators set, by service.
    pub pins: IndexMap<id::Service, IndexMap<Bytes, id::Target>>,
    /// The targets that operators drain, by service.
    pub drains: IndexMap<id::Service, Vec<id::Target>>,
}

/// The part of the table that one domain decides.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Local {
    /// The domain.
    pub domain: id::Domain,
    /// The version of the domain's log.
    pub version: id::Version,
    /// The newest global version that the domain's log has taken in.
    pub global: id::Version,
    /// The domain's targets, by name.
    pub targets: IndexMap<id::Target, Target>,
    /// The owner of each shard that has its home here, by service.
    pub owners: IndexMap<id::Service, shards::Owners>,
    /// The owners of hot keys, by service; they go before the owners of their shards.
    pub pins: IndexMap<id::Service, IndexMap<Bytes, Owner>>,
}

/// Who owns a shard or pin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The owning target.
    pub target: id::Target,
    /// The fencing token of the grant.
    pub token: id::Token,
    /// Whether it moves away: requests wait at the lane, none is sent.
    pub moving: bool,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The path prefix by which callers reach it.
    pub prefix: String,
    /// Whether it is divided by key.
    pub kind: Kind,
    /// The deadline of a request whose caller names none.
    pub deadline: unit::Span,
    /// Work classes; the first route that matches holds.
    pub routes: Vec<Route>,
    /// How idempotent work is retried.
    pub retry: Retry,
    /// What it may hold.
    pub limits: Limits,
    /// What becomes of its shards in a domain that the others cannot reach.
    pub on_cut: Cut,
    /// What it promises, by work class.
    pub objectives: IndexMap<Class, Objective>,
}

/// Whether a service is divided by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Each key has one owner.
    Keyed {
        /// Where a request carries its key.
        key: Rule,
        /// The number of shards, a power of two.
        shards: u32,
    },
    /// Any target serves any request.
    Pool,
}

/// Where a request carries its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// In a header of this name.
    Header(String),
    /// In the path segment with this index after the prefix.
    Segment(u32),
    /// In a query parameter of this name.
    Query(String),
}

/// The work class of the requests that match.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The method; any, where absent.
    pub method: Option<String>,
    /// The path pattern after the prefix; `*` matches one segment, a last `**` any rest.
    pub path: String,
    /// The class of the work.
    pub class: Class,
    /// Whether running it again does no harm.
    pub idempotent: bool,
    /// The deadline where the caller names none.
    pub deadline: Option<unit::Span>,
}

/// A work class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Work that takes milliseconds.
    Short,
    /// Work that takes many times longer.
    Long,
}

/// How idempotent work is retried.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Retry {
    /// The most times one request is sent, the first included.
    pub attempts: u32,
    /// The most retries, as a share of recent successes.
    pub budget: f64,
}

/// What a service may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest request body.
    pub body: unit::Size,
    /// The most requests that wait for one target.
    pub queue_requests: u32,
    /// The most bytes that wait for one target.
    pub queue_bytes: unit::Size,
    /// How many of a target's slots long work never holds.
    pub short_reserve: id::Slots,
}

/// What becomes of the shards of a domain that the others cannot reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cut {
    /// The domain keeps them.
    Hold,
    /// They move this long after the domain's last renewal of its home lease.
    MoveAfter(unit::Span),
}

/// What a service promises for one work class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// The share of requests answered in time.
    pub availability: f64,
    /// The time within which 99 of 100 are answered.
    pub latency: unit::Span,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// The region that holds it.
    pub region: id::Region,
    /// Rises whenever its shards are given to other domains.
    pub generation: u32,
    /// Operators stated that all its targets are off.
    pub lost: bool,
    /// Its hosts, by name.
    pub hosts: IndexMap<id::Host, Host>,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Where its entry process hears its peers.
    pub peer: net::SocketAddr,
    /// Where its control process hears its peers.
    pub control: net::SocketAddr,
    /// Whether it has a disk.
    pub disk: bool,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service that it serves.
    pub service: id::Service,
    /// Where it takes work.
    pub address: net::SocketAddr,
    /// Rises with each start of the target.
    pub incarnation: u64,
    /// How many requests it works on at a time.
    pub slots: id::Slots,
    /// How many connections it takes.
    pub connections: u16,
    /// Whether it refuses lower fencing tokens.
    pub checks_tokens: bool,
    /// What the system decided about it.
    pub state: State,
    /// The host that holds its lane; none while it changes hands.
    pub lane: Option<id::Host>,
    /// The host that takes the lane over when its host is lost.
    pub standby: Option<id::Host>,
    /// The fencing token of the lane.
    pub token: id::Token,
    /// How far it is from a cold start (0) to its full rate (1).
    pub warm: f32,
}

/// What the system decided about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes work.
    Serving,
    /// It takes no new work; what it owns moves away.
    Draining,
    /// It is silent and its keys move away.
    Lost,
}

/// The owner of a key and its home domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location<'a> {
    /// The home domain.
    pub domain: &'a id::Domain,
    /// The owning target.
    pub target: &'a id::Target,
    /// The fencing token of the grant.
    pub token: id::Token,
}

/// The part of the table that is missing for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// The service is not divided by key or not known.
    Service,
    /// No home domain was decided for the shard.
    Home,
    /// The home domain's decisions are not known here.
    Domain,
    /// The shard has no owner now.
    Owner,
}

impl Table {
    /// Finds the owner of a key.
    ///
    /// # Errors
    /// Tells what is missing where the key has no owner.
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
    /// Returns the state of a domain about which nothing was decided.
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

    /// Returns the owner of a key that falls into `shard`: its pin's, or else its shard's.
    pub fn owner(&self, service: &id::Service, shard: id::Shard, key: &[u8]) -> Option<&Owner> {
        let pinned = self.pins.get(service).and_then(|pins| pins.get(key));
        pinned.or_else(|| self.owners.get(service)?.get(&shard))
    }
}
