//! Latency added by entry host and lane, compared with direct requests in the same run.

use std::sync;
use std::time;

use super::{Bench, Error};
use crate::load::drive;
use crate::load::router;
use crate::load::table;
use crate::load::tally;
use crate::load::trace;
use crate::work;

/// Load on the deployment, and the same load on the spare targets, as a share of all slots.
const LOAD: f64 = 0.5;

/// Total rate of the requests without work over both variants, in requests per second.
const IDLE_RATE: f64 = 1000.0;

/// Sends arrivals alternately through the deployment and directly to the spare targets.
///
/// # Errors
/// Fails if the deployment can't be found, or has no entry host or keyed service.
pub async fn latency(bench: &Bench) -> Result<Vec<table::Table>, Error> {
    let columns = [
        "answered",
        "p50 ms",
        "p99 ms",
        "added p50 ms",
        "added p99 ms",
    ];
    let mut summary = table::Table::new("Latency less the target's work", &columns);
    let load = trace::Load {
        short: 2.0 * LOAD,
        long: 0.0,
    };
    let half_load = trace::group_streams(bench.keyed()?, load);
    let idle = half_load.iter().map(without_work).collect();
    for (label, streams) in [("half load", half_load), ("no work", idle)] {
        let kinds = [router::Kind::Direct, router::Kind::Yuccahill];
        let tallies = [(); 2].map(|()| sync::Arc::new(tally::Tally::default()));
        let mut variants = Vec::new();
        for (kind, tally) in kinds.into_iter().zip(&tallies) {
            variants.push(drive::Variant {
                router: bench.router(kind).await?,
                tally: tally.clone(),
            });
        }
        drive::run(label, trace::Trace::new(bench.plan(streams)), variants).await;
        let [direct, ours] = tallies.map(|tally| row(&tally));
        for (kind, row) in kinds.into_iter().zip([&direct, &ours]) {
            let p50 = row.overhead_ms(0.5);
            let p99 = row.overhead_ms(0.99);
            let added = [
                p50 - direct.overhead_ms(0.5),
                p99 - direct.overhead_ms(0.99),
            ];
            let figures = [row.in_time as f64, p50, p99, added[0], added[1]];
            summary.push(format!("{label}: {kind}"), &figures);
        }
    }
    Ok(vec![summary])
}

fn without_work(stream: &trace::Stream) -> trace::Stream {
    trace::Stream {
        rate: IDLE_RATE,
        service_time: work::Distribution {
            median: time::Duration::ZERO,
            sigma: 0.0,
            max: time::Duration::ZERO,
        },
        ..stream.clone()
    }
}

fn row(tally: &tally::Tally) -> tally::Row {
    let totals = tally.totals();
    totals.rows.into_values().next().unwrap_or_default()
}
