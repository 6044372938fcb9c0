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

/// How long the target works on each request.
const WORK: time::Duration = time::Duration::from_secs(30);

/// How long the requests may take to arrive before memory is read.
const SETTLE: time::Duration = time::Duration::from_secs(5);

/// Holds `in_flight` requests open and reads the resident memory of the process `pid`.
///
/// # Errors
/// Fails where the deployment is not found or the process's memory cannot be read.
pub async fn memory(bench: &Bench, pid: u32, in_flight: u64) -> Result<Vec<table::Table>, Error> {
    let idle = resident(pid)?;
    let router = bench.router(router::Kind::Yuccahill).await?;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..in_flight {
        let arrival = arrival(bench, number)?;
        let router = router.clone();
        tasks.spawn(async move {
            let answer = router.send(&arrival).await;
            tally::Outcome::of(Some(&answer))
        });
    }
    clock::sleep(SETTLE).await;
    let mut refused = 0;
    while tasks.try_join_next().is_some() {
        refused += 1;
    }
    let loaded = resident(pid)?;
    tasks.shutdown().await;
    let columns = ["in flight", "ended early", "resident MB"];
    let mut summary = table::Table::new(format!("Memory of process {pid}"), &columns);
    summary.push("idle", &[0.0, 0.0, idle]);
    summary.push(
        "loaded",
        &[(in_flight - refused) as f64, refused as f64, loaded],
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
        work: WORK,
        deadline: WORK * 100,
    })
}

/// Reads the resident memory of a process, in MB.
fn resident(pid: u32) -> Result<f64, Error> {
    let file = path::PathBuf::from(format!("/proc/{pid}/status"));
    let text = fs::read_to_string(&file);
    let text = text.map_err(|source| Error::Memory { file, source })?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    Ok(kilobytes.map_or(f64::NAN, |kilobytes| kilobytes / 1024.0))
}
