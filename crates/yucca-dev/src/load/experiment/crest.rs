//! Service at the crest: ten seconds of demand at one and a half times the capacity.

use std::time;

use super::measures;
use super::{Bench, Error};
use crate::load::measure;
use crate::load::router;
use crate::load::table;
use crate::load::trace;

/// The load between crests, half of that at the crest.
const LOAD: trace::Load = trace::Load {
    short: 0.6,
    long: 0.15,
};

/// The cycle of demand.
const CYCLE: trace::Cycle = trace::Cycle {
    base: time::Duration::from_secs(5),
    crest: time::Duration::from_secs(10),
    factor: 2.0,
};

/// Runs one cycle over the deployment and each baseline.
///
/// # Errors
/// Fails where the deployment is not found.
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
        for (work, found) in measure::crest(&run.totals, targets) {
            let label = format!("{kind}: {} {:?}", work.service, work.class);
            let figures = [found.seconds as f64, found.in_time, found.goodput];
            summary.push(label.to_lowercase(), &figures);
        }
        measures::classes(&mut detail, &kind.to_string(), &run);
    }
    Ok(vec![summary, detail])
}
