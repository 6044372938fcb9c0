//! Keeps this host's table current: reports to control and takes in what the answers bring.

use std::net;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time;
use yucca_wire::codec;
use yucca_wire::report;

use crate::process::lanes;
use crate::process::shared;
use crate::request::body;

/// How long a report may wait for its answer beyond the time that control holds it back.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// How long to wait before the next control process is asked after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Reports to control until the process stops.
pub async fn run(shared: sync::Arc<shared::Shared>, incarnation: u64) {
    let mut turn = 0;
    while shared.phase() != shared::Phase::Stopped {
        let addresses = &shared.settings.control;
        let Some(address) = addresses.get(turn % addresses.len().max(1)) else {
            log::error!("no control process in the settings; set `control`");
            return;
        };
        let exchanged = tokio::select! {
            // What is urgent goes out in a new report; control has already heard this one.
            () = shared.announced.urgent.notified() => continue,
            exchanged = exchange(&shared, *address, incarnation) => exchanged,
        };
        match exchanged {
            Ok(update) => take_in(&shared, update),
            Err(reason) => {
                metrics::counter!("yucca_reports_failed_total").increment(1);
                log::debug!("report to {address} failed: {reason}");
                turn += 1;
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn exchange(
    shared: &sync::Arc<shared::Shared>,
    address: net::SocketAddr,
    incarnation: u64,
) -> Result<report::Update, String> {
    let report = compose(shared, incarnation);
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

fn compose(shared: &sync::Arc<shared::Shared>, incarnation: u64) -> report::Report {
    let versions = shared.current.versions();
    report::Report {
        host: shared.settings.host.clone(),
        incarnation,
        global: versions.global,
        locals: versions.locals,
        announced: shared.announced.drain(),
        lanes: lanes::report(shared),
        stopping: shared.phase() == shared::Phase::Stopping,
    }
}

fn take_in(shared: &sync::Arc<shared::Shared>, update: report::Update) {
    let earlier = shared.current.load();
    let global = update.global.and_then(|change| match change {
        report::Change::Snapshot(global) => Some(sync::Arc::new(global)),
        report::Change::Delta { .. } => None,
    });
    let mut locals = Vec::new();
    for change in update.locals {
        match change {
            report::Change::Snapshot(local) => locals.push(sync::Arc::new(local)),
            report::Change::Delta { .. } => {}
        }
    }
    if shared.current.advance(global, locals) {
        lanes::reconcile(shared, &earlier.table);
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
}
