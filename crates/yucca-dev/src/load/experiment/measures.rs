//! The five measures, for the deployment and each baseline under the same arrivals.

use std::time;

use yucca_wire::id;
use yucca_wire::table as wire;

use super::{Bench, Error, Run};
use crate::load::measure;
use crate::load::router;
use crate::load::table;
use crate::load::tally;
use crate::load::trace;

/// Load between crests.
const LOAD: trace::Load = trace::Load {
    short: 0.45,
    long: 0.15,
};

/// Factor by which demand is multiplied during a crest.
const CREST_FACTOR: f64 = 2.2;

/// Duration of a crest.
const CREST: time::Duration = time::Duration::from_secs(3);

/// Runs the mixed load, and the same load without long work, over each router.
///
/// # Errors
/// Fails if the deployment can't be found, or has no entry host or keyed service.
pub async fn measures(bench: &Bench) -> Result<Vec<table::Table>, Error> {
    let streams = trace::streams(&bench.deployment, LOAD);
    let mut mixed_plan = bench.plan(streams);
    mixed_plan.cycle = Some(trace::Cycle {
        base: (bench.length / 2).saturating_sub(CREST),
        crest: CREST,
        factor: CREST_FACTOR,
    });
    let mut short_plan = mixed_plan.clone();
    short_plan
        .streams
        .retain(|stream| stream.class == wire::Class::Short);
    let mut summary = table::Table::new(
        "Five measures",
        &[
            "keyed imbalance (CV)",
            "pool imbalance (CV)",
            "churn (share/h)",
            "unavailable (key-s/h)",
            "crest short in time",
            "crest long in time",
            "short p99 with/without long",
        ],
    );
    let mut detail = classes_table();
    for kind in router::Kind::ALL {
        let mixed = bench.run(kind, mixed_plan.clone()).await?;
        let alone = bench.run(kind, short_plan.clone()).await?;
        summary.push(kind.to_string(), &summarise(bench, &mixed, &alone)?);
        classes(&mut detail, &kind.to_string(), &mixed);
    }
    Ok(vec![summary, detail])
}

fn summarise(bench: &Bench, mixed: &Run, alone: &Run) -> Result<Vec<f64>, Error> {
    let keyed = &bench.keyed()?.service;
    let imbalance = measure::imbalance(&mixed.samples);
    let pools = imbalance.iter().filter(|(service, _)| *service != keyed);
    let pools: Vec<f64> = pools.map(|(_, measured)| measured.variation).collect();
    let pool_mean = pools.iter().sum::<f64>() / pools.len() as f64;
    Ok(vec![
        imbalance
            .get(keyed)
            .map_or(f64::NAN, |measured| measured.variation),
        pool_mean,
        measure::churn(&mixed.totals, mixed.length),
        measure::unavailable(&mixed.totals, mixed.length),
        crest(mixed, keyed, wire::Class::Short),
        crest(mixed, keyed, wire::Class::Long),
        short_p99(mixed, keyed) / short_p99(alone, keyed),
    ])
}

fn crest(run: &Run, service: &id::Service, class: wire::Class) -> f64 {
    let targets = run.samples.first().map_or(&[][..], Vec::as_slice);
    let kind = tally::Kind {
        service: service.clone(),
        class,
    };
    let crests = measure::crest(&run.totals, targets);
    crests.get(&kind).map_or(f64::NAN, |crest| crest.in_time)
}

fn short_p99(run: &Run, service: &id::Service) -> f64 {
    let kind = tally::Kind {
        service: service.clone(),
        class: wire::Class::Short,
    };
    let row = run.totals.rows.get(&kind);
    row.map_or(f64::NAN, |row| row.latency_ms(0.99))
}

/// Returns an empty table for counts and latencies by service and class.
pub fn classes_table() -> table::Table {
    table::Table::new(
        "By service and class",
        &[
            "arrived", "in time", "not run", "unknown", "late", "failed", "p50 ms", "p99 ms",
            "p99.9 ms",
        ],
    )
}

/// Adds the counts and latencies of a run to a table made by [`classes_table`].
pub fn classes(table: &mut table::Table, label: &str, run: &Run) {
    for (kind, row) in &run.totals.rows {
        let class = match kind.class {
            wire::Class::Short => "short",
            wire::Class::Long => "long",
        };
        let figures = [
            row.arrived as f64,
            row.in_time as f64,
            row.not_run as f64,
            row.unknown as f64,
            row.late as f64,
            row.failed as f64,
            row.latency_ms(0.5),
            row.latency_ms(0.99),
            row.latency_ms(0.999),
        ];
        table.push(format!("{label}: {} {class}", kind.service), &figures);
    }
}
