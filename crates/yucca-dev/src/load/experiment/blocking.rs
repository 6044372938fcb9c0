//! Head-of-line blocking of short work behind long work.

use yucca_wire::table as wire;

use super::measures;
use super::{Bench, Error, Run};
use crate::load::router;
use crate::load::table;
use crate::load::trace;

/// Share of all slots that short work occupies.
const SHORT: f64 = 0.3;

/// Share of all slots that long work occupies in the runs with long work.
const LONG: f64 = 0.4;

/// Runs short work with and without long work over the deployment and each baseline.
///
/// # Errors
/// Fails if the deployment can't be found, or has no entry host or keyed service.
pub async fn blocking(bench: &Bench) -> Result<Vec<table::Table>, Error> {
    let columns = ["p99 alone ms", "p99 with long ms", "ratio"];
    let mut summary =
        table::Table::new("Short work's p99 with long work at 40% of slots", &columns);
    let mut detail = measures::classes_table();
    let group = bench.keyed()?;
    for kind in router::Kind::ALL {
        let mut p99 = Vec::new();
        for long in [0.0, LONG] {
            let streams = trace::group_streams(group, trace::Load { short: SHORT, long });
            let run = bench.run(kind, bench.plan(streams)).await?;
            p99.push(short_p99(&run));
            measures::classes(&mut detail, &format!("{kind}, long {long}"), &run);
        }
        summary.push(kind.to_string(), &[p99[0], p99[1], p99[1] / p99[0]]);
    }
    Ok(vec![summary, detail])
}

fn short_p99(run: &Run) -> f64 {
    let mut rows = run.totals.rows.iter();
    let short = rows.find(|(kind, _)| kind.class == wire::Class::Short);
    short.map_or(f64::NAN, |(_, row)| row.latency_ms(0.99))
}
