//! Imbalance of work over the targets of pool services, compared with random routing.

use super::{Bench, Error};
use crate::load::measure;
use crate::load::router;
use crate::load::table;
use crate::load::trace;

/// Load on each pool.
const LOAD: trace::Load = trace::Load {
    short: 0.5,
    long: 0.1,
};

/// Runs the pool services over the deployment and with random routing.
///
/// # Errors
/// Fails if the deployment can't be found, or has no entry host or keyed service.
pub async fn imbalance(bench: &Bench) -> Result<Vec<table::Table>, Error> {
    let columns = ["CV", "max/mean", "CV over random's"];
    let mut summary = table::Table::new("Imbalance of work over 1 s windows", &columns);
    let keyed = &bench.keyed()?.service;
    let mut streams = trace::streams(&bench.deployment, LOAD);
    streams.retain(|stream| stream.service != *keyed);
    let random = bench.run(router::Kind::Direct, bench.plan(streams.clone()));
    let random = measure::imbalance(&random.await?.samples);
    let ours = bench.run(router::Kind::Yuccahill, bench.plan(streams));
    let ours = measure::imbalance(&ours.await?.samples);
    for (service, base) in &random {
        summary.push(
            format!("random: {service}"),
            &[base.variation, base.peak, 1.0],
        );
        if let Some(measured) = ours.get(service) {
            let ratio = measured.variation / base.variation;
            let figures = [measured.variation, measured.peak, ratio];
            summary.push(format!("yuccahill: {service}"), &figures);
        }
    }
    Ok(vec![summary])
}
