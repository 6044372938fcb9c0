//! State in the form in which requests use it.

use std::net;
use std::sync;

use indexmap::IndexMap;
use yucca_own::site::{self, item, target};

/// Route with its name and revision.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: item::Name,
    /// Its revision.
    pub revision: item::Revision,
    /// The configured route.
    pub route: item::Route,
}

/// Name and address of a target.
#[derive(Debug, Clone)]
pub struct Target {
    /// The name that the target announced.
    pub name: item::Name,
    /// The address that it accepts requests on.
    pub address: net::SocketAddr,
}

/// Routes by host name in lower case, the longest prefix first.
type Routes = IndexMap<String, Vec<sync::Arc<Route>>>;

/// View of one version of the state.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The version.
    pub version: yucca_wire::id::Version,
    routes: sync::Arc<Routes>,
    /// The targets.
    pub targets: sync::Arc<IndexMap<target::Number, Target>>,
    /// The limits for requests of callers, if configured.
    pub limits: Option<item::Limits>,
}

impl View {
    /// Creates the view of a state.
    pub fn new(state: &site::State) -> Self {
        let mut routes = Routes::new();
        let mut limits = None;
        for (key, record) in state.items.active() {
            match &record.body {
                Some(item::Body::Route(route)) => {
                    let entry = Route {
                        name: key.name.clone(),
                        revision: record.revision,
                        route: route.clone(),
                    };
                    let of_host = routes.entry(route.host.to_ascii_lowercase());
                    of_host.or_default().push(sync::Arc::new(entry));
                }
                Some(item::Body::Limits(known)) => limits = Some(known.clone()),
                Some(item::Body::Service(_)) | None => {}
            }
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        let targets = state.targets.iter().map(|record| {
            let target = Target {
                name: record.target.instance.name.clone(),
                address: record.target.address,
            };
            (record.number, target)
        });
        Self {
            version: state.version,
            targets: sync::Arc::new(targets.collect()),
            routes: sync::Arc::new(routes),
            limits,
        }
    }

    /// Returns the same view for a version in which only owners of keys have changed.
    pub fn at(&self, version: yucca_wire::id::Version) -> Self {
        Self {
            version,
            ..self.clone()
        }
    }

    /// Returns whether any route is known.
    pub fn is_configured(&self) -> bool {
        !self.routes.is_empty()
    }

    /// Returns the route that matches a host name and path, if any.
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|entry| path.starts_with(&entry.route.prefix))
    }
}
