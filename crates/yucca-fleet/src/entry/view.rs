//! The state in the form that requests need.

use std::net;
use std::sync;

use indexmap::IndexMap;
use yucca_own::site::{self, item, target};

/// A route, ready for use.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: item::Name,
    /// Its revision.
    pub revision: item::Revision,
    /// What it says.
    pub route: item::Route,
}

/// A target, as requests need it.
#[derive(Debug, Clone)]
pub struct Target {
    /// The name that it gives itself.
    pub name: item::Name,
    /// Where it takes work.
    pub address: net::SocketAddr,
}

/// One version of the state.
#[derive(Debug, Default)]
pub struct View {
    /// The version.
    pub version: yucca_wire::id::Version,
    /// Routes by the host name they are for, the longest prefix first.
    routes: IndexMap<String, Vec<sync::Arc<Route>>>,
    /// The targets.
    pub targets: IndexMap<target::Number, Target>,
    /// What callers may send.
    pub limits: Option<item::Limits>,
}

impl View {
    /// Returns the view of a state.
    pub fn new(state: &site::State) -> Self {
        let mut view = Self {
            version: state.version,
            ..Self::default()
        };
        for (key, kept) in state.items.standing() {
            match &kept.body {
                Some(item::Body::Route(route)) => {
                    let entry = Route {
                        name: key.name.clone(),
                        revision: kept.revision,
                        route: route.clone(),
                    };
                    let routes = view.routes.entry(route.host.to_ascii_lowercase());
                    routes.or_default().push(sync::Arc::new(entry));
                }
                Some(item::Body::Limits(limits)) => view.limits = Some(limits.clone()),
                Some(item::Body::Service(_)) | None => {}
            }
        }
        for routes in view.routes.values_mut() {
            routes.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        for kept in state.targets.iter() {
            let target = Target {
                name: kept.target.life.name.clone(),
                address: kept.target.address,
            };
            view.targets.insert(kept.number, target);
        }
        view
    }

    /// Tells whether any configuration is known.
    pub fn is_configured(&self) -> bool {
        !self.routes.is_empty()
    }

    /// Returns the route of a request.
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
