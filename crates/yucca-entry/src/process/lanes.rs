//! The lanes of this host, and the ledgers that it stores as a standby.

use std::sync;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time;
use yucca_lane::lane;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::report;

use crate::process::peer;
use crate::process::shared;
use crate::request::answer;
use crate::request::body;

mod attempt;
mod cache;
pub mod grants;
mod leases;
pub mod message;
mod reconcile;
pub mod runtime;
pub mod standbys;

pub use reconcile::reconcile;

/// Interval at which lanes are checked for due ticks.
const TICK: Duration = Duration::from_millis(5);

/// Maximum time that a stopping host waits until its lanes are assigned to other hosts.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Lanes of this host.
#[derive(Default)]
pub struct Lanes {
    // First in the lock order.
    open: sync::Mutex<IndexMap<id::Target, sync::Arc<runtime::Runtime>>>,
    // Last in the lock order.
    leases: sync::Mutex<leases::Leases>,
    /// Ledgers stored for lanes of other hosts.
    pub standbys: standbys::Standbys,
}

impl Lanes {
    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<id::Target, sync::Arc<runtime::Runtime>>> {
        self.open
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Returns the time until which the lanes of a service may send.
    pub fn lease(&self, service: &id::Service) -> Duration {
        self.lock_leases().until(service)
    }

    fn lock_leases(&self) -> sync::MutexGuard<'_, leases::Leases> {
        self.leases
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Returns the lane of a target, if it is on this host.
    pub fn get(&self, target: &id::Target) -> Option<sync::Arc<runtime::Runtime>> {
        self.lock().get(target).cloned()
    }

    /// Stops a lane's worker and removes the lane, unless another one of the target replaced it.
    fn close(&self, runtime: &sync::Arc<runtime::Runtime>) {
        runtime.grants.close();
        let mut open = self.lock();
        let same = open.get(runtime.target());
        if same.is_some_and(|same| sync::Arc::ptr_eq(same, runtime)) {
            open.swap_remove(runtime.target());
        }
    }

    /// Returns all lanes.
    pub fn all(&self) -> Vec<sync::Arc<runtime::Runtime>> {
        self.lock().values().cloned().collect()
    }
}

/// Runs a request in the lane of its target and returns the answer.
///
/// Dropping the future cancels the request for this caller.
pub async fn run(
    shared: &sync::Arc<shared::Shared>,
    head: head::Request,
    stream: body::Stream,
    deadline: time::Instant,
) -> answer::Answer {
    let Some(runtime) = shared.lanes.get(&head.target) else {
        return peer::not_here(&head.target);
    };
    runtime.run(shared, head, stream, deadline).await
}

/// Applies the leases in the answer to a report that was sent at `sent`.
pub fn renew(shared: &sync::Arc<shared::Shared>, update: &report::Update, sent: Duration) {
    if !shared.lanes.lock_leases().apply(update, sent) {
        return;
    }
    for runtime in shared.lanes.all() {
        let until = shared.lanes.lease(runtime.service());
        runtime.step(shared, lane::Input::Renew { until });
    }
}

/// Sends ticks to the lanes when they are due, and removes idle lanes that were handed over.
pub async fn tick(shared: sync::Arc<shared::Shared>) {
    let mut interval = time::interval(TICK);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = shared.now();
        for runtime in shared.lanes.all() {
            if runtime.needs_tick(now) {
                runtime.step(&shared, lane::Input::Tick);
            }
            if runtime.is_handed_over() && runtime.is_idle() {
                shared.lanes.close(&runtime);
            }
        }
    }
}

/// Returns the reports of all lanes, with their observations since the last report.
pub fn report(shared: &sync::Arc<shared::Shared>) -> IndexMap<id::Target, report::Lane> {
    let lanes = shared.lanes.all();
    let reports = lanes
        .iter()
        .map(|lane| (lane.target().clone(), lane.report()));
    reports.collect()
}

/// Waits until all lanes are handed over or `HANDOVER_TIMEOUT` has passed, and until no lane has
/// requests and no caller waits.
pub async fn drained(shared: &sync::Arc<shared::Shared>) {
    let handover_ends = time::Instant::now() + HANDOVER_TIMEOUT;
    let mut interval = time::interval(TICK);
    loop {
        interval.tick().await;
        let lanes = shared.lanes.all();
        let handed = lanes.is_empty() || time::Instant::now() >= handover_ends;
        let idle = lanes.iter().all(|lane| lane.is_idle());
        let in_flight = shared.in_flight.load(sync::atomic::Ordering::Relaxed);
        if handed && idle && in_flight == 0 {
            return;
        }
    }
}
