//! Service at the crest: 10 s of demand at 1.5 times the capacity.

use std::time;

use super::measures;
use super::{Bench, Error};
use crate::load::measure;
use crate::load::router;
use crate::load::table;
use crate::load::trace;

/// Load between crests: 0.75 of the capacity. The crest doubles it.
const LOAD: trace::Load = trace::Load {
    short: 0.6,
    long: 0.15,
};

/// Cycle of demand.
const CYCLE: trace::Cycle = trace::Cycle {
    base: time::Duration::from_secs(5),
    crest: time::Duration::from_secs(10),
    factor: 2.0,
};

/// Runs one cycle, followed by another period at the base rate, over the deployment and each
/// baseline.
///
/// # Errors
/// Fails if the deployment can't be found or has no entry host.
pub async fn crest(bench: &Bench) -> Result<Vec<table::Table>, Error> {
    let columns = ["seconds", "in time", "goodput/capacity"];
    let mut summary = table::Table::new("Service with demand at 1.5 times capacity", &columns);
    let mut detail = measures::classes_table();
    for kind in router::Kind::ALL {
        let mut plan = bench.plan(trace::streams(&bench.deployment, LOAD));
        plan.cycle = Some(CYCLE);
        plan.length = CYCLE.base * 2 + CYCLE.crest;
        let run = bench.run(kind, plan).await?;
        let targets = run.samples.first().map_or(&[][..], Vec::as_slice);
        for (work, measured) in measure::crest(&run.totals, targets) {
            let label = format!("{kind}: {} {:?}", work.service, work.class);
            let figures = [measured.seconds as f64, measured.in_time, measured.goodput];
            summary.push(label.to_lowercase(), &figures);
        }
        measures::classes(&mut detail, &kind.to_string(), &run);
    }
    Ok(vec![summary, detail])
}
