//! Configuration as named items, each with its own revision.
//!
//! The highest revision of each item is in effect, whether it sets or removes the item. A change
//! whose revision is not higher than the stored one has no effect and is not an error, so a
//! repeated or late call is acknowledged again.

use std::fmt;
use std::str;
use std::time;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use yucca_wire::id;

/// Name of an item, as operators write it.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(pub String);

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for Name {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

/// Revision of one item.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Kind of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A route, which directs requests to services.
    Route,
    /// A service.
    Service,
    /// Limits on what callers may send; there is one such item.
    Limits,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Route => "route",
            Self::Service => "service",
            Self::Limits => "limits",
        })
    }
}

/// Identifier of an item.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: Name,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`", self.kind, self.name)
    }
}

/// Weighted destination of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: Name,
    /// Share of the requests, relative to the weights of the other destinations.
    pub weight: u32,
}

/// Selects requests by host and path, and defines where they go and how they are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host name of the requests.
    pub host: String,
    /// Prefix of their paths.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Maximum time that a caller may wait for an answer.
    pub timeout: time::Duration,
    /// Latency objective: an answer within this time is worth the most.
    pub objective: time::Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of targets to which one request may be sent.
    pub attempts: u32,
    /// Services that get the requests, with their weights.
    pub destinations: Vec<Destination>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether keys are partitioned among the targets.
    pub keyed: bool,
    /// Maximum number of connections that one target accepts from all hosts together.
    pub connections: u32,
    /// How long requests for a key are slow on a target that got the key without a handover.
    pub warmup: time::Duration,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time for receiving a request head.
    pub head_timeout: time::Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: time::Duration,
}

/// Content of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Content of a route.
    Route(Route),
    /// Content of a service.
    Service(Service),
    /// Content of the limits.
    Limits(Limits),
}

/// One revision of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Identifier of the item.
    pub key: Key,
    /// The revision.
    pub revision: Revision,
    /// The content; none if the item is removed.
    pub body: Option<Body>,
    /// The operator's text, which is returned unchanged when the item is read.
    pub source: Bytes,
}

/// Items that are set and removed together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The items.
    pub items: Vec<Item>,
}

impl Patch {
    /// Returns the faults that the patch has by itself, whatever is stored.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults: Vec<Fault> = self.items.iter().flat_map(item_faults).collect();
        let mut newest: IndexMap<&Key, &Item> = IndexMap::new();
        for item in &self.items {
            let known = newest.get(&item.key);
            if known.is_none_or(|known| known.revision < item.revision) {
                newest.insert(&item.key, item);
            }
        }
        let mut places: IndexMap<(&str, &str), &Name> = IndexMap::new();
        for item in newest.values() {
            let Some(Body::Route(route)) = &item.body else {
                continue;
            };
            if let Some(other) = places.insert((&route.host, &route.prefix), &item.key.name) {
                faults.push(Fault::SamePlace {
                    route: item.key.name.clone(),
                    other: other.clone(),
                });
            }
        }
        faults
    }
}

/// Reason for refusing a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A route names a service that does not exist.
    UnknownService {
        /// The route.
        route: Name,
        /// The service.
        service: Name,
    },
    /// Two routes have the same host and prefix.
    SamePlace {
        /// The one route.
        route: Name,
        /// The other one.
        other: Name,
    },
    /// The weights of a route add up to 0.
    NoWeight {
        /// The route.
        route: Name,
    },
    /// A route has no host.
    NoHost {
        /// The route.
        route: Name,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => write!(
                f,
                "route `{route}` names service `{service}`, which does not exist; add the service first"
            ),
            Self::SamePlace { route, other } => write!(
                f,
                "routes `{route}` and `{other}` have the same host and prefix; change one of them"
            ),
            Self::NoWeight { route } => write!(
                f,
                "the weights of route `{route}` add up to 0; give a service a weight"
            ),
            Self::NoHost { route } => write!(f, "route `{route}` has no host; name one"),
        }
    }
}

/// Stored revision of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision.
    pub revision: Revision,
    /// The content; none if the item is removed.
    pub body: Option<Body>,
    /// The operator's text; empty on followers.
    pub source: Bytes,
    /// Version of the state at which it last changed.
    pub changed: id::Version,
}

/// All items, including removed ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    records: IndexMap<Key, Record>,
}

impl Store {
    /// Returns all items with their keys, including removed ones.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.records.iter()
    }

    /// Returns the items that are not removed.
    pub fn active(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.records
            .iter()
            .filter(|(_, record)| record.body.is_some())
    }

    /// Returns a service, if it exists and is not removed.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        let key = Key {
            kind: Kind::Service,
            name: name.clone(),
        };
        match self.records.get(&key)?.body.as_ref()? {
            Body::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Stores an item received from another host if its revision is higher.
    pub fn merge(&mut self, key: Key, record: Record) {
        let newer = self
            .records
            .get(&key)
            .is_none_or(|known| known.revision < record.revision);
        if newer {
            self.records.insert(key, record);
        }
    }

    /// Applies a patch as a whole.
    ///
    /// # Errors
    /// Returns all faults, and leaves the items unchanged.
    pub fn change(&mut self, version: id::Version, patch: Patch) -> Result<(), Vec<Fault>> {
        let mut faults: Vec<Fault> = patch.items.iter().flat_map(item_faults).collect();
        let mut next = self.records.clone();
        let mut changed = false;
        for item in patch.items {
            let stored = next.get(&item.key);
            if stored.is_some_and(|stored| stored.revision >= item.revision) {
                faults.extend(self.superseded_faults(&item));
                continue;
            }
            changed = true;
            next.insert(
                item.key,
                Record {
                    revision: item.revision,
                    body: item.body,
                    source: item.source,
                    changed: version,
                },
            );
        }
        if changed {
            faults.extend(relation_faults(&next));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        self.records = next;
        Ok(())
    }

    /// Returns the conflicts of superseded routes of a patch with the routes that are active once it
    /// is applied. Such a patch was either accepted earlier, when the place was free, or is invalid;
    /// the stored revisions do not tell which.
    pub fn conflicts(&self, patch: &Patch) -> Vec<Fault> {
        if !patch.items.iter().any(|item| self.supersedes(item)) {
            return Vec::new();
        }
        let mut next = self.clone();
        if next.change(id::Version::default(), patch.clone()).is_err() {
            return Vec::new();
        }
        let mut places: IndexMap<(&str, &str), &Name> = IndexMap::new();
        for (key, record) in next.active() {
            if let Some(Body::Route(route)) = &record.body {
                places.insert((&route.host, &route.prefix), &key.name);
            }
        }
        let superseded = patch.items.iter().filter(|item| next.supersedes(item));
        let conflicts = superseded.filter_map(|item| {
            let Some(Body::Route(route)) = &item.body else {
                return None;
            };
            let other = *places.get(&(route.host.as_str(), route.prefix.as_str()))?;
            (*other != item.key.name).then(|| Fault::SamePlace {
                route: item.key.name.clone(),
                other: other.clone(),
            })
        });
        conflicts.collect()
    }

    /// Returns whether other content is stored under the same or a higher revision of an item.
    fn supersedes(&self, item: &Item) -> bool {
        let stored = self.records.get(&item.key);
        stored.is_some_and(|stored| stored.revision >= item.revision && stored.body != item.body)
    }

    /// Returns the faults of an item whose revision is not higher than the stored one. A route may
    /// then name a service that was removed, but not one that never existed.
    fn superseded_faults(&self, item: &Item) -> Vec<Fault> {
        let Some(Body::Route(route)) = &item.body else {
            return Vec::new();
        };
        let unknown = route.destinations.iter().filter(|destination| {
            let key = Key {
                kind: Kind::Service,
                name: destination.service.clone(),
            };
            !self.records.contains_key(&key)
        });
        unknown
            .map(|destination| Fault::UnknownService {
                route: item.key.name.clone(),
                service: destination.service.clone(),
            })
            .collect()
    }
}

/// Returns the faults of an item by itself.
fn item_faults(item: &Item) -> Vec<Fault> {
    let Some(Body::Route(route)) = &item.body else {
        return Vec::new();
    };
    let mut faults = Vec::new();
    let name = || item.key.name.clone();
    if route.host.is_empty() {
        faults.push(Fault::NoHost { route: name() });
    }
    if route
        .destinations
        .iter()
        .all(|destination| destination.weight == 0)
    {
        faults.push(Fault::NoWeight { route: name() });
    }
    faults
}

/// Returns the faults in the relations between items.
fn relation_faults(records: &IndexMap<Key, Record>) -> Vec<Fault> {
    let active = || records.iter().filter(|(_, record)| record.body.is_some());
    let services: IndexSet<&Name> = active()
        .filter(|(key, _)| key.kind == Kind::Service)
        .map(|(key, _)| &key.name)
        .collect();
    let mut places: IndexMap<(&str, &str), &Name> = IndexMap::new();
    let mut faults = Vec::new();
    for (key, record) in active() {
        let Some(Body::Route(route)) = &record.body else {
            continue;
        };
        for destination in &route.destinations {
            if !services.contains(&destination.service) {
                faults.push(Fault::UnknownService {
                    route: key.name.clone(),
                    service: destination.service.clone(),
                });
            }
        }
        if let Some(other) = places.insert((&route.host, &route.prefix), &key.name) {
            faults.push(Fault::SamePlace {
                route: key.name.clone(),
                other: other.clone(),
            });
        }
    }
    faults
}
