//! Handling of the requests of operators, peers and health checks.

mod body;
mod entry;
mod health;
mod operator;
pub mod peer;
mod serve;
mod status;
mod ticket;
mod view;

use std::sync;

use yucca_wire::auth;

use crate::connection::listener;
use crate::process::core;

/// Maximum number of concurrent requests of operators.
const MAX_OPERATORS: usize = 128;

/// Maximum number of concurrent requests of peers. It is large because replies to reports and polls
/// are delayed until there is a newer version.
const MAX_PEERS: usize = 8192;

/// Maximum number of concurrent health requests.
const MAX_HEALTH: usize = 64;

/// The services of a process's listeners.
pub struct Services {
    /// For operators.
    pub operator: listener::Service,
    /// For control and entry processes.
    pub peer: listener::Service,
    /// For `/ready`, `/live` and `/metrics`.
    pub health: listener::Service,
}

impl Services {
    /// Returns the services that answer with the state in `core`.
    pub fn new(core: &sync::Arc<core::Core>) -> Self {
        let shared = core.clone();
        let operator = move |request| operator::answer(shared.clone(), request);
        let shared = core.clone();
        let peer = move |request| peer::answer(shared.clone(), request);
        let shared = core.clone();
        let health = move |request| health::answer(shared.clone(), request);
        Self {
            operator: listener::service(MAX_OPERATORS, operator),
            peer: listener::service(MAX_PEERS, peer),
            health: listener::service(MAX_HEALTH, health),
        }
    }
}

/// Returns whether a request carries the secret.
fn is_authorized(
    secret: &auth::Secret,
    request: &listener::Request,
    listener: &'static str,
) -> bool {
    let header = request.headers().get(http::header::AUTHORIZATION);
    let authorized = secret.authorizes(header.map(http::HeaderValue::as_bytes));
    if !authorized {
        metrics::counter!("yucca_control_unauthorized_total", "listener" => listener).increment(1);
    }
    authorized
}
