//! Resident memory of a process: idle, and with many requests in flight.

use std::fs;
use std::path;
use std::time;

use tokio::time as clock;
use yucca_wire::table as wire;

use super::{Bench, Error};
use crate::load::router;
use crate::load::table;
use crate::load::tally;
use crate::load::trace;

/// Service time of each request at its target.
const SERVICE_TIME: time::Duration = time::Duration::from_secs(30);

/// Delay before memory is read, so that all requests can arrive.
const ARRIVAL_DELAY: time::Duration = time::Duration::from_secs(5);

/// Measures the resident memory of the process `pid`, idle and with `in_flight` requests open.
///
/// # Errors
/// Fails if the deployment has no entry host or keyed service, or if the memory can't be read.
pub async fn memory(bench: &Bench, pid: u32, in_flight: u64) -> Result<Vec<table::Table>, Error> {
    let idle = resident_mib(pid)?;
    let router = bench.router(router::Kind::Yuccahill).await?;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..in_flight {
        let arrival = arrival(bench, number)?;
        let router = router.clone();
        tasks.spawn(async move {
            let response = router.send(&arrival).await;
            tally::Outcome::of(Some(&response))
        });
    }
    clock::sleep(ARRIVAL_DELAY).await;
    let mut ended_early = 0;
    while tasks.try_join_next().is_some() {
        ended_early += 1;
    }
    let loaded = resident_mib(pid)?;
    tasks.shutdown().await;
    let columns = ["in flight", "ended early", "resident MB"];
    let mut summary = table::Table::new(format!("Memory of process {pid}"), &columns);
    summary.push("idle", &[0.0, 0.0, idle]);
    summary.push(
        "loaded",
        &[(in_flight - ended_early) as f64, ended_early as f64, loaded],
    );
    Ok(vec![summary])
}

fn arrival(bench: &Bench, number: u64) -> Result<trace::Arrival, Error> {
    let group = bench.keyed()?;
    Ok(trace::Arrival {
        at: time::Duration::ZERO,
        service: group.service.clone(),
        class: wire::Class::Short,
        method: "GET",
        path: format!("{}/k{number}", group.rules.prefix),
        key: Some(number),
        work: SERVICE_TIME,
        deadline: SERVICE_TIME * 100,
    })
}

/// Returns the resident memory of a process in MiB, or NaN if its status file has no value.
fn resident_mib(pid: u32) -> Result<f64, Error> {
    let file = path::PathBuf::from(format!("/proc/{pid}/status"));
    let text = fs::read_to_string(&file);
    let text = text.map_err(|source| Error::Memory { file, source })?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    Ok(kilobytes.map_or(f64::NAN, |kilobytes| kilobytes / 1024.0))
}
