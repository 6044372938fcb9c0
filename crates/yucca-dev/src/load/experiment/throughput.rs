//! Throughput of one entry host compared with direct requests, in alternating time slices.

use std::sync;
use std::time;

use super::{Bench, Error};
use crate::load::drive;
use crate::load::router;
use crate::load::table;
use crate::load::trace;
use crate::work;

/// Number of workers, each with one request open at a time.
const WORKERS: u64 = 64;

/// Number of time slices for each router.
const SLICES: u32 = 5;

/// Rate of the traces, in requests per second of trace time. Workers ignore arrival times and send
/// their next request at once.
const RATE: f64 = 1.0;

/// Length of the traces in trace time, so long that no worker reaches the end.
const LENGTH: time::Duration = time::Duration::from_secs(1 << 30);

/// Measures the rate of small requests without work over one entry host and directly.
///
/// # Errors
/// Fails if the deployment can't be found, or has no entry host or keyed service.
pub async fn throughput(bench: &Bench) -> Result<Vec<table::Table>, Error> {
    let load = trace::Load {
        short: 1.0,
        long: 0.0,
    };
    let mut streams = trace::group_streams(bench.keyed()?, load);
    for stream in &mut streams {
        stream.rate = RATE;
        stream.service_time = work::Distribution {
            median: time::Duration::ZERO,
            sigma: 0.0,
            max: time::Duration::ZERO,
        };
    }
    let mut plan = bench.plan(streams);
    plan.length = LENGTH;
    plan.keys.move_every = LENGTH;
    let first_entry = bench.entries()?.into_iter().take(1).collect();
    let ours: sync::Arc<dyn router::Router> =
        sync::Arc::new(router::Entries::new(bench.client.clone(), first_entry));
    let direct = bench.router(router::Kind::Direct).await?;
    let slice = bench.length / (2 * SLICES);
    let mut counts = [0; 2];
    for turn in 0..SLICES {
        eprint!("\rslice {} of {SLICES}", turn + 1);
        for (count, router) in counts.iter_mut().zip([&direct, &ours]) {
            *count += drive::closed_loop(router, &plan, WORKERS, slice).await;
        }
    }
    eprintln!();
    let seconds = (slice * SLICES).as_secs_f64();
    let [direct, ours] = counts.map(|count| count as f64 / seconds);
    let columns = ["requests/s", "over direct"];
    let mut summary = table::Table::new("Throughput, small bodies, no work", &columns);
    summary.push("direct", &[direct, 1.0]);
    summary.push("one entry host", &[ours, ours / direct]);
    Ok(vec![summary])
}
