//! Grants and revocations of shards and pins: sends them to the target and reports to the lane what
//! the target confirmed.
//!
//! Requests for a shard are sent only after the target confirmed its grant. A shard counts as
//! released only after the target confirmed its revocation or `REVOKE_ATTEMPTS` orders to revoke
//! it failed.

use std::mem;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time;
use yucca_lane::lane;
use yucca_lane::ledger;
use yucca_lane::owners;
use yucca_wire::grant;
use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::table;

use crate::process::lanes::message;
use crate::process::lanes::runtime;
use crate::process::shared;
use crate::request::body;

/// Timeout of an order, after which it is sent again on a new connection.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of failed orders after which a revocation takes effect without confirmation, see
/// [`split_failed`].
const REVOKE_ATTEMPTS: u32 = 2;

/// Time between a failed order and the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Grants that were sent to a target.
#[derive(Default)]
pub struct Grants {
    // Last in the lock order.
    state: sync::Mutex<State>,
    // Wakes the worker that sends orders.
    wake: Notify,
}

#[derive(Default)]
struct State {
    scopes: IndexMap<owners::Scope, Granted>,
    pending: Vec<Change>,
    // Repeated in each report until the control process acts on them, since a report may be lost.
    released: IndexMap<owners::Scope, report::Release>,
    closed: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
struct Granted {
    token: id::Token,
    moving: bool,
    // Whether the target confirmed the grant.
    confirmed: bool,
}

impl Granted {
    fn matches(&self, owner: &table::Owner) -> bool {
        self.token == owner.token && self.moving == owner.moving
    }
}

/// Change that the target has not confirmed yet.
#[derive(Clone)]
enum Change {
    Grant {
        scope: owners::Scope,
        token: id::Token,
        previous_owner: Option<id::Target>,
    },
    Revoke {
        scope: owners::Scope,
        release: report::Release,
        attempts: u32,
    },
}

/// Desired owner of a shard or pin, according to the current table version.
pub struct Desired {
    /// Owner in the current table.
    pub owner: table::Owner,
    /// Other target that owned the shard in the previous table.
    pub previous_owner: Option<id::Target>,
}

impl Grants {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Returns the releases that the control process has not processed yet.
    pub fn released(&self) -> Vec<report::Release> {
        self.lock().released.values().cloned().collect()
    }

    /// Stops the worker.
    pub fn close(&self) {
        self.lock().closed = true;
        self.wake.notify_one();
    }

    /// Queues the orders that bring the target's grants in line with `desired`, and returns the
    /// changes that apply to the lane at once.
    pub fn reconcile(&self, desired: &IndexMap<owners::Scope, Desired>) -> Vec<lane::Change> {
        let mut state = self.lock();
        let mut changes = Vec::new();
        let gone: Vec<owners::Scope> = state
            .scopes
            .keys()
            .filter(|scope| !desired.contains_key(*scope))
            .cloned()
            .collect();
        for scope in gone {
            state.scopes.swap_remove(&scope);
            state.released.swap_remove(&scope);
            changes.push(lane::Change::Release { scope, to: None });
        }
        for (scope, desired) in desired {
            changes.extend(state.apply(scope, desired));
        }
        if !state.pending.is_empty() {
            self.wake.notify_one();
        }
        changes
    }

    /// Returns the order with all changes that are to be sent.
    pub fn pending_order(&self, token: id::Token) -> grant::Order {
        order(token, &self.lock().pending)
    }

    /// Marks a grant as confirmed by the target. Returns whether the grant is still current.
    pub fn confirm(&self, scope: &owners::Scope, token: id::Token) -> bool {
        self.lock().confirm(scope, token)
    }

    fn take_pending(&self) -> Vec<Change> {
        mem::take(&mut self.lock().pending)
    }

    /// Puts back changes whose order failed, except those that are outdated.
    fn put_back(&self, changes: Vec<Change>) {
        let mut state = self.lock();
        let still_desired = |change: &Change| match change {
            Change::Grant { scope, token, .. } => state
                .scopes
                .get(scope)
                .is_some_and(|granted| granted.token == *token && !granted.moving),
            Change::Revoke { scope, .. } => state.scopes.contains_key(scope),
        };
        let mut retried: Vec<Change> = changes.into_iter().filter(still_desired).collect();
        retried.append(&mut state.pending);
        state.pending = retried;
        self.wake.notify_one();
    }
}

impl State {
    fn apply(&mut self, scope: &owners::Scope, desired: &Desired) -> Option<lane::Change> {
        let owner = &desired.owner;
        let known = self.scopes.get(scope).copied();
        if known.is_some_and(|known| known.matches(owner)) {
            return None;
        }
        let known = known.filter(|known| known.token == owner.token);
        let granted = Granted {
            token: owner.token,
            moving: owner.moving,
            confirmed: known.is_some_and(|known| known.confirmed),
        };
        self.scopes.insert(scope.clone(), granted);
        let scope = scope.clone();
        match (owner.moving, granted.confirmed) {
            (true, true) => Some(lane::Change::Hold { scope }),
            (true, false) => {
                // The lane sent nothing under this grant, but the target may have received it.
                let release = release(&scope, owner.token);
                self.pending.push(Change::Revoke {
                    scope,
                    release,
                    attempts: 0,
                });
                None
            }
            (false, true) if !self.released.contains_key(&scope) => {
                Some(lane::Change::Resume { scope })
            }
            (false, _) => {
                // The grant is new, or it was revoked before its move was cancelled.
                self.released.swap_remove(&scope);
                if let Some(granted) = self.scopes.get_mut(&scope) {
                    granted.confirmed = false;
                }
                self.grant(scope, desired);
                None
            }
        }
    }

    fn is_moving(&self, scope: &owners::Scope) -> bool {
        self.scopes.get(scope).is_some_and(|granted| granted.moving)
    }

    /// Marks a grant as confirmed by the target. Returns whether the grant is still current.
    fn confirm(&mut self, scope: &owners::Scope, token: id::Token) -> bool {
        let granted = self.scopes.get_mut(scope);
        let current = granted.filter(|granted| granted.token == token && !granted.moving);
        current.map(|granted| granted.confirmed = true).is_some()
    }

    fn grant(&mut self, scope: owners::Scope, desired: &Desired) {
        self.pending.push(Change::Grant {
            scope,
            token: desired.owner.token,
            previous_owner: desired.previous_owner.clone(),
        });
    }
}

fn release(scope: &owners::Scope, token: id::Token) -> report::Release {
    let key = match scope {
        owners::Scope::Shard(_) => None,
        owners::Scope::Pin { key, .. } => Some(key.clone()),
    };
    report::Release {
        shard: scope.shard(),
        key,
        token,
    }
}

/// Queues the revocation of a shard or pin that the lane released. Once the target confirmed it,
/// the release is reported to the control process.
pub fn revoke(runtime: &sync::Arc<runtime::Runtime>, release: report::Release) {
    let scope = match &release.key {
        None => owners::Scope::Shard(release.shard),
        Some(key) => owners::Scope::Pin {
            shard: release.shard,
            key: key.clone(),
        },
    };
    let mut state = runtime.grants.lock();
    state.pending.push(Change::Revoke {
        scope,
        release,
        attempts: 0,
    });
    runtime.grants.wake.notify_one();
}

/// Sends orders to the target until the lane is closed.
pub async fn run_worker(shared: sync::Arc<shared::Shared>, runtime: sync::Arc<runtime::Runtime>) {
    loop {
        runtime.grants.wake.notified().await;
        if runtime.grants.lock().closed {
            return;
        }
        let changes = runtime.grants.take_pending();
        if changes.is_empty() {
            continue;
        }
        let order = order(runtime.token(), &changes);
        if send(&runtime, &order).await {
            apply_confirmed(&shared, &runtime, changes).await;
        } else {
            metrics::counter!("yucca_orders_failed_total").increment(1);
            time::sleep(RETRY_PAUSE).await;
            let (given_up, again) = split_failed(changes);
            apply_confirmed(&shared, &runtime, given_up).await;
            runtime.grants.put_back(again);
        }
    }
}

/// Splits changes into revocations that take effect without confirmation and changes to send again.
///
/// The lane is the only sender and its requests for the shard or pin have ended. So a target that
/// does not answer orders receives no more requests for it.
fn split_failed(changes: Vec<Change>) -> (Vec<Change>, Vec<Change>) {
    let mut given_up = Vec::new();
    let mut again = Vec::new();
    for mut change in changes {
        if let Change::Revoke { attempts, .. } = &mut change {
            *attempts += 1;
            if *attempts >= REVOKE_ATTEMPTS {
                given_up.push(change);
                continue;
            }
        }
        again.push(change);
    }
    (given_up, again)
}

/// Probes the target with an empty order over a new connection; returns whether it answered.
///
/// A frozen target still accepts connections, so opening a connection is not sufficient.
pub async fn probe(runtime: &sync::Arc<runtime::Runtime>) -> bool {
    send(runtime, &order(runtime.token(), &[])).await
}

fn order(token: id::Token, changes: &[Change]) -> grant::Order {
    let mut order = grant::Order {
        token,
        granted: Vec::new(),
        revoked: Vec::new(),
        pinned: Vec::new(),
        unpinned: Vec::new(),
    };
    for change in changes {
        let (scope, token, shards, pins) = match change {
            Change::Grant { scope, token, .. } => {
                (scope, *token, &mut order.granted, &mut order.pinned)
            }
            Change::Revoke { scope, release, .. } => (
                scope,
                release.token,
                &mut order.revoked,
                &mut order.unpinned,
            ),
        };
        match scope {
            owners::Scope::Shard(shard) => shards.push(grant::Shard {
                shard: *shard,
                token,
            }),
            owners::Scope::Pin { key, .. } => pins.push(grant::Pin {
                key: key.clone(),
                token,
            }),
        }
    }
    order
}

/// Sends one order over a new connection. Returns whether the target accepted it.
async fn send(runtime: &sync::Arc<runtime::Runtime>, order: &grant::Order) -> bool {
    let Ok(text) = serde_json::to_vec(order) else {
        return false;
    };
    let exchange = async {
        let mut connection = runtime.pool.dial().await.ok()?;
        let mut request = http::Request::new(body::full(Bytes::from(text)));
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = http::Uri::from_static(grant::PATH);
        let headers = request.headers_mut();
        headers.insert(http::header::HOST, http::HeaderValue::from_static("target"));
        headers.insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        if let Ok(token) = http::HeaderValue::from_str(&order.token.to_string()) {
            headers.insert(grant::TOKEN_HEADER, token);
        }
        connection.send(request).await.ok()
    };
    match time::timeout(ORDER_TIMEOUT, exchange).await {
        // A target that does not implement grants answers 404 and serves all requests.
        Ok(Some(response)) => {
            response.status().is_success() || response.status() == http::StatusCode::NOT_FOUND
        }
        Ok(None) | Err(_) => false,
    }
}

/// Applies changes that the target confirmed, or revocations that need no confirmation.
async fn apply_confirmed(
    shared: &sync::Arc<shared::Shared>,
    runtime: &sync::Arc<runtime::Runtime>,
    changes: Vec<Change>,
) {
    for change in changes {
        match change {
            Change::Grant {
                scope,
                token,
                previous_owner,
            } => {
                let ledger = match previous_owner {
                    Some(previous_owner) => {
                        message::ledger(shared, &previous_owner, scope.shard()).await
                    }
                    None => ledger::Snapshot::default(),
                };
                if !runtime.grants.confirm(&scope, token) {
                    continue;
                }
                let change = lane::Change::Grant {
                    scope: scope.clone(),
                    token,
                    ledger,
                };
                runtime.step(shared, lane::Input::Owners(change));
                // A newer table version may have started to move the scope after the confirmation.
                // Its `Hold` may have reached the lane before the grant, so it is repeated.
                if runtime.grants.lock().is_moving(&scope) {
                    let change = lane::Change::Hold { scope };
                    runtime.step(shared, lane::Input::Owners(change));
                }
            }
            Change::Revoke { scope, release, .. } => {
                let mut state = runtime.grants.lock();
                if state.scopes.contains_key(&scope) {
                    state.released.insert(scope, release);
                }
                drop(state);
                shared.announcements.urgent.notify_one();
            }
        }
    }
}
