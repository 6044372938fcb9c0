//! Reports to the control processes and applies the table updates and leases in their answers.

use std::net;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time;
use yucca_own::delta;
use yucca_wire::codec;
use yucca_wire::report;
use yucca_wire::table;

use crate::process::lanes;
use crate::process::shared;
use crate::request::body;
use crate::version::current;

/// Timeout of a report, in addition to the heartbeat interval, for which the control process may
/// delay its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between a failed report and the next one, to another control process.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Sends reports until the process stops.
pub async fn run(shared: sync::Arc<shared::Shared>, incarnation: u64) {
    let mut turn = 0;
    let mut fetch = Fetch::Changes;
    while shared.phase() != shared::Phase::Stopped {
        let addresses = &shared.settings.control;
        let Some(address) = addresses.get(turn % addresses.len().max(1)) else {
            log::error!("the settings list no control process; set `control`");
            return;
        };
        let sent = shared.now();
        let exchanged = tokio::select! {
            // An urgent change is sent in a new report. The control process has already received
            // the current one.
            () = shared.announcements.urgent.notified() => continue,
            exchanged = exchange(&shared, *address, incarnation, fetch) => exchanged,
        };
        match exchanged {
            Ok(update) => fetch = apply_update(&shared, update, sent),
            Err(reason) => {
                metrics::counter!("yucca_reports_failed_total").increment(1);
                log::debug!("report to {address} failed: {reason}");
                turn += 1;
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn exchange(
    shared: &sync::Arc<shared::Shared>,
    address: net::SocketAddr,
    incarnation: u64,
    fetch: Fetch,
) -> Result<report::Update, String> {
    let report = compose(shared, incarnation, fetch);
    let message = codec::encode(shared.deployment, &report).map_err(|error| error.to_string())?;
    let posted = shared
        .peers
        .post(address, report::PATH, body::full(message));
    let limit = shared.settings.heartbeat.0 + ANSWER_TIMEOUT;
    let answered = async {
        let response = posted.await.map_err(|error| error.to_string())?;
        let collected = response.into_body().collect().await;
        collected
            .map(|collected| collected.to_bytes())
            .map_err(|error| error.to_string())
    };
    let bytes: Bytes = match time::timeout(limit, answered).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(reason)) => return Err(reason),
        Err(_) => return Err("no answer in time".into()),
    };
    codec::decode(shared.deployment, &bytes).map_err(|error| error.to_string())
}

fn compose(shared: &sync::Arc<shared::Shared>, incarnation: u64, fetch: Fetch) -> report::Report {
    let versions = match fetch {
        Fetch::Changes => shared.current.versions(),
        Fetch::Full => current::Versions::default(),
    };
    report::Report {
        host: shared.settings.host.clone(),
        incarnation,
        global: versions.global,
        locals: versions.locals,
        announced: shared.announcements.take_latest(),
        lanes: lanes::report(shared),
        stopping: shared.phase() == shared::Phase::Stopping,
    }
}

/// Parts of a table that an update changes.
type Parts = (
    Option<sync::Arc<table::Global>>,
    Vec<sync::Arc<table::Local>>,
);

fn apply_changes(current: &table::Table, update: report::Update) -> Result<Parts, delta::Error> {
    let global = match update.global {
        Some(change) => Some(sync::Arc::new(delta::apply(
            Some(&*current.global),
            change,
        )?)),
        None => None,
    };
    let mut locals = Vec::with_capacity(update.locals.len());
    for change in update.locals {
        let domain = match &change {
            report::Change::Snapshot(local) => &local.domain,
            report::Change::Delta { changed, .. } => &changed.domain,
        };
        let known = current.locals.get(domain);
        let local = delta::apply(known.map(|known| &**known), change)?;
        locals.push(sync::Arc::new(local));
    }
    Ok((global, locals))
}

/// Parts of the table that the next report requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fetch {
    /// Parts that are newer than those in effect here.
    Changes,
    /// All parts, because a delta could not be applied.
    Full,
}

fn apply_update(
    shared: &sync::Arc<shared::Shared>,
    update: report::Update,
    sent: Duration,
) -> Fetch {
    lanes::renew(shared, &update, sent);
    let previous = shared.current.load();
    let Ok((global, locals)) = apply_changes(&previous.table, update) else {
        metrics::counter!("yucca_deltas_refused_total").increment(1);
        return Fetch::Full;
    };
    if shared.current.advance(global, locals) {
        lanes::reconcile(shared, &previous.table);
    }
    let current = shared.current.load();
    let known = current.table.global.version.0 > 0
        && current.table.locals.contains_key(&shared.settings.domain);
    if known && shared.phase() == shared::Phase::Starting {
        shared.phase.send_replace(shared::Phase::Ready);
        log::info!(
            "host {} of {} is ready at version {}",
            shared.settings.host,
            shared.settings.domain,
            current.table.global.version
        );
    }
    Fetch::Changes
}
