//! Slopes of the replicated state: shards, pins, targets, hosts and tickets.

mod fixture;

use std::hint;
use std::time;

use yucca_own::{delta, domain};
use yucca_wire::id;
use yucca_wire::report;

use super::probe;
use super::{Error, Slope};

const SHARDS: u32 = 65_536;
/// Number of shards of the states that are compared with those of [`SHARDS`].
const FEW_SHARDS: u32 = 64;
const TARGETS: u32 = 200;
const HOSTS: u32 = 3700;
const TICKETS: u32 = 200_000;
const ROUNDS: u32 = 2000;
/// Number of busy shards of each lane in a report.
const BUSY_SHARDS: u32 = 300;

/// Measures sizes of states, then the cost of moves, heartbeats and tickets.
pub fn measure() -> Result<Vec<Slope>, Error> {
    let mut slopes = sizes()?;
    slopes.extend(global_sizes()?);
    slopes.extend(moves()?);
    slopes.extend(heartbeats()?);
    slopes.extend(tickets()?);
    Ok(slopes)
}

fn sizes() -> Result<Vec<Slope>, Error> {
    let few = fixture::domain(FEW_SHARDS, TARGETS)?.state;
    let many = fixture::domain(SHARDS, TARGETS)?.state;
    let more = fixture::domain(FEW_SHARDS, 2 * TARGETS)?.state;
    let pinned = fixture::with_pins(&fixture::domain(FEW_SHARDS, TARGETS)?.state.table())?;
    let state_memory = probe::memory_of(&few)?;
    let state_bytes = probe::encoded(&few)?.len() as f64;
    let table_bytes = probe::encoded(&*few.table())?.len() as f64;
    let shards = f64::from(SHARDS - FEW_SHARDS);
    let targets = f64::from(TARGETS);
    let pins = f64::from(fixture::PINS);
    let shard_bytes = probe::encoded(&many)?.len() as f64 - state_bytes;
    let target_bytes = probe::encoded(&more)?.len() as f64 - state_bytes;
    let pin_bytes = probe::encoded(&pinned)?.len() as f64 - table_bytes;
    let pin_memory = probe::memory_of(&pinned)? - probe::memory_of(&*few.table())?;
    Ok(vec![
        Slope::new(
            "shard, held",
            (probe::memory_of(&many)? - state_memory) / shards,
            "B",
        ),
        Slope::new("shard, encoded", shard_bytes / shards, "B"),
        Slope::new(
            "target, held",
            (probe::memory_of(&more)? - state_memory) / targets,
            "B",
        ),
        Slope::new("target, encoded", target_bytes / targets, "B"),
        Slope::new("pin in a domain's table, held", pin_memory / pins, "B"),
        Slope::new("pin in a domain's table, encoded", pin_bytes / pins, "B"),
    ])
}

fn global_sizes() -> Result<Vec<Slope>, Error> {
    let small = fixture::global_state(FEW_SHARDS, 10)?;
    let large = fixture::global_state(FEW_SHARDS, 10 + HOSTS)?;
    let memory = probe::memory_of(&large)? - probe::memory_of(&small)?;
    let bytes = probe::encoded(&large)?.len() as f64 - probe::encoded(&small)?.len() as f64;
    let hosts = f64::from(HOSTS);
    Ok(vec![
        Slope::new("host, held", memory / hosts, "B"),
        Slope::new("host, encoded", bytes / hosts, "B"),
    ])
}

/// Moves one shard after the other, and brings a copy of the table up to date by deltas.
fn moves() -> Result<Vec<Slope>, Error> {
    let mut domain = fixture::domain(SHARDS, TARGETS)?;
    let service: id::Service = probe::name("desk")?;
    let mut copy = domain.state.table();
    let (mut moves, mut diffs, mut encodes, mut applies, mut size) = (0.0, 0.0, 0.0, 0.0, 0);
    for round in 0..ROUNDS {
        let shard = id::Shard(round * 31 % SHARDS);
        let start = time::Instant::now();
        domain.move_shard(&service, shard)?;
        moves += start.elapsed().as_secs_f64();
        let newest = domain.state.table();
        let start = time::Instant::now();
        let change = delta::diff(Some(&*copy), &*newest);
        diffs += start.elapsed().as_secs_f64();
        let start = time::Instant::now();
        size += probe::encoded(&change)?.len();
        encodes += start.elapsed().as_secs_f64();
        let start = time::Instant::now();
        let applied = delta::apply(Some(&*copy), change);
        hint::black_box(applied.map_err(|error| Error::Codec(error.to_string()))?);
        applies += start.elapsed().as_secs_f64();
        copy = newest;
    }
    let per_round = |total: f64| total * 1e6 / f64::from(ROUNDS);
    Ok(vec![
        Slope::new("move and grant of a shard, apply", per_round(moves), "us"),
        Slope::new("delta of one shard, make", per_round(diffs), "us"),
        Slope::new("delta of one shard, encode", per_round(encodes), "us"),
        Slope::new("delta of one shard, apply", per_round(applies), "us"),
        Slope::new(
            "delta of one shard, encoded",
            size as f64 / f64::from(ROUNDS),
            "B",
        ),
    ])
}

fn heartbeats() -> Result<Vec<Slope>, Error> {
    let domain = fixture::domain(SHARDS, TARGETS)?;
    let mut evidence = domain::Evidence::new(time::Duration::ZERO);
    evidence.observe(&domain.state, time::Duration::ZERO);
    let mut first = fixture::report(&domain.state.table(), 0)?;
    first.announced = fixture::announcements(&domain.state.table())?;
    evidence.record_report(&first, time::Duration::ZERO);
    let mut slopes = Vec::new();
    let busy = fixture::report(&domain.state.table(), BUSY_SHARDS)?;
    let idle = fixture::report(&domain.state.table(), 0)?;
    let idle_bytes = probe::encoded(&idle)?;
    let busy_bytes = probe::encoded(&busy)?;
    let mut now = time::Duration::ZERO;
    let mut record = |report: &report::Report| {
        probe::micros_per_round(ROUNDS, || {
            now += time::Duration::from_millis(200);
            evidence.record_report(report, now);
            Ok(())
        })
    };
    let record_busy = record(&busy)?;
    let record_idle = record(&idle)?;
    slopes.push(Slope::new(
        "report, 18 idle lanes, encoded",
        idle_bytes.len() as f64,
        "B",
    ));
    slopes.push(Slope::new(
        "report, 18 lanes of 300 busy shards, encoded",
        busy_bytes.len() as f64,
        "B",
    ));
    for (label, value) in [
        ("report, 18 idle lanes, encode", &idle),
        ("report, 18 lanes of 300 busy shards, encode", &busy),
    ] {
        let per_round = probe::micros_per_round(ROUNDS, || {
            hint::black_box(probe::encoded(value)?);
            Ok(())
        })?;
        slopes.push(Slope::new(label, per_round, "us"));
    }
    for (label, bytes) in [
        ("report, 18 idle lanes, decode", &idle_bytes),
        ("report, 18 lanes of 300 busy shards, decode", &busy_bytes),
    ] {
        let per_round = probe::micros_per_round(ROUNDS, || {
            let decoded: Result<report::Report, _> = rmp_serde::from_slice(bytes);
            hint::black_box(decoded.map_err(|error| Error::Codec(error.to_string()))?);
            Ok(())
        })?;
        slopes.push(Slope::new(label, per_round, "us"));
    }
    slopes.push(Slope::new("report, 18 idle lanes, hear", record_idle, "us"));
    slopes.push(Slope::new(
        "report, 18 lanes of 300 busy shards, hear",
        record_busy,
        "us",
    ));
    Ok(slopes)
}

fn tickets() -> Result<Vec<Slope>, Error> {
    let mut global = fixture::global_state(SHARDS, 11)?;
    let memory_before = probe::memory_of(&global)?;
    let bytes_before = probe::encoded(&global)?.len();
    let mut number = 1;
    let text = "number = 2\npins.desk = { k1 = \"t1\", k2 = \"t2\" }";
    let check = probe::micros_per_round(ROUNDS, || {
        hint::black_box(fixture::checked(text)?);
        Ok(())
    })?;
    let apply = probe::micros_per_round(TICKETS, || {
        number += 1;
        let mut ticket = fixture::checked(text)?;
        ticket.number = id::Ticket(number);
        fixture::submit(&mut global, ticket, number + 1)?;
        hint::black_box(global.table());
        Ok(())
    })?;
    let count = f64::from(TICKETS);
    let memory = probe::memory_of(&global)? - memory_before;
    let bytes = (probe::encoded(&global)?.len() - bytes_before) as f64;
    Ok(vec![
        Slope::new("ticket, read and check", check, "us"),
        Slope::new("ticket, read, check and apply", apply, "us"),
        Slope::new("ticket, held", memory / count, "B"),
        Slope::new("ticket, encoded", bytes / count, "B"),
    ])
}
