//! Configuration as named items, each with a revision of its own.
//!
//! For each name the highest revision takes effect, whether it sets or drops the item. A change
//! that a higher revision has overtaken has no effect and is no error, so a repeated or late call
//! is acknowledged again.

use std::fmt;
use std::str;
use std::time;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use yucca_wire::id;

/// The name of an item, as operators write it.
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

/// The revision of one item.
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

/// What an item describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Which requests go to which services.
    Route,
    /// A service.
    Service,
    /// What callers may send; there is one such item.
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

/// Identifies an item.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// What it describes.
    pub kind: Kind,
    /// Its name.
    pub name: Name,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`", self.kind, self.name)
    }
}

/// One destination of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: Name,
    /// Its part of the requests, relative to the other destinations.
    pub weight: u32,
}

/// Which requests go to which services, and how they may be treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The host name that requests are for.
    pub host: String,
    /// The prefix of their paths.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// How long a caller may be kept waiting.
    pub timeout: time::Duration,
    /// Within which time an answer is worth the most.
    pub objective: time::Duration,
    /// The rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The most targets to which one request may be sent.
    pub attempts: u32,
    /// The services.
    pub destinations: Vec<Destination>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether its targets divide the keys among themselves.
    pub keyed: bool,
    /// The most connections that one target takes from all hosts together.
    pub connections: u32,
    /// How long keys are slow on a target that got them without a handover.
    pub warmup: time::Duration,
}

/// What callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The most bytes of a request's head.
    pub head_bytes: u64,
    /// The most bytes of a request's body.
    pub body_bytes: u64,
    /// How long a request's head may take.
    pub head_timeout: time::Duration,
    /// How long a connection may be idle.
    pub idle_timeout: time::Duration,
}

/// What an item says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Of a route.
    Route(Route),
    /// Of a service.
    Service(Service),
    /// Of the limits.
    Limits(Limits),
}

/// One item at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Which one.
    pub key: Key,
    /// The revision.
    pub revision: Revision,
    /// What it says; none where it is dropped.
    pub body: Option<Body>,
    /// The text that the operator sent, to be read back unchanged.
    pub source: Bytes,
}

/// Items that are set and dropped together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The items.
    pub items: Vec<Item>,
}

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A route names a service that there is not.
    UnknownService {
        /// The route.
        route: Name,
        /// The service.
        service: Name,
    },
    /// Two routes are for the same host and prefix.
    SamePlace {
        /// The one route.
        route: Name,
        /// The other one.
        other: Name,
    },
    /// The weights of a route add up to nothing.
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

/// An item that is kept, and when it last changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision.
    pub revision: Revision,
    /// What it says; none where it is dropped.
    pub body: Option<Body>,
    /// The operator's text.
    pub source: Bytes,
    /// The version of the state at which it changed.
    pub changed: id::Version,
}

/// All items, dropped ones included.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    kept: IndexMap<Key, Record>,
}

impl Store {
    /// Returns the items with their keys, dropped ones included.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.kept.iter()
    }

    /// Returns the items that stand.
    pub fn active(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.kept.iter().filter(|(_, kept)| kept.body.is_some())
    }

    /// Returns a service that stands.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        let key = Key {
            kind: Kind::Service,
            name: name.clone(),
        };
        match self.kept.get(&key)?.body.as_ref()? {
            Body::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Takes an item as it was kept elsewhere, where it is newer.
    pub fn merge(&mut self, key: Key, kept: Record) {
        let newer = self
            .kept
            .get(&key)
            .is_none_or(|known| known.revision < kept.revision);
        if newer {
            self.kept.insert(key, kept);
        }
    }

    /// Applies a patch as a whole.
    ///
    /// # Errors
    /// Gives all faults; nothing has changed then.
    pub fn change(&mut self, version: id::Version, patch: Patch) -> Result<(), Vec<Fault>> {
        let mut faults: Vec<Fault> = patch.items.iter().flat_map(form_faults).collect();
        let mut next = self.kept.clone();
        let mut changed = false;
        for item in patch.items {
            let held = next.get(&item.key);
            if held.is_some_and(|held| held.revision >= item.revision) {
                faults.extend(self.overtaken_faults(&item));
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
            faults.extend(link_faults(&next));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        self.kept = next;
        Ok(())
    }

    /// An overtaken route may name a service that was dropped since, but none that never was.
    fn overtaken_faults(&self, item: &Item) -> Vec<Fault> {
        let Some(Body::Route(route)) = &item.body else {
            return Vec::new();
        };
        let unknown = route.destinations.iter().filter(|destination| {
            let key = Key {
                kind: Kind::Service,
                name: destination.service.clone(),
            };
            !self.kept.contains_key(&key)
        });
        unknown
            .map(|destination| Fault::UnknownService {
                route: item.key.name.clone(),
                service: destination.service.clone(),
            })
            .collect()
    }
}

/// Returns what is wrong with an item by itself.
fn form_faults(item: &Item) -> Vec<Fault> {
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

/// Returns what is wrong between items that stand together.
fn link_faults(kept: &IndexMap<Key, Record>) -> Vec<Fault> {
    let standing = || kept.iter().filter(|(_, kept)| kept.body.is_some());
    let services: IndexSet<&Name> = standing()
        .filter(|(key, _)| key.kind == Kind::Service)
        .map(|(key, _)| &key.name)
        .collect();
    let mut places: IndexMap<(&str, &str), &Name> = IndexMap::new();
    let mut faults = Vec::new();
    for (key, kept) in standing() {
        let Some(Body::Route(route)) = &kept.body else {
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
