//! Shards, pins, targets, hosts and tickets in the states on the logs.

mod world;

use std::hint;
use std::time;

use yucca_own::{delta, domain};
use yucca_wire::id;
use yucca_wire::report;

use super::probe;
use super::{Error, Slope};

const SHARDS: u32 = 65_536;
const FEW: u32 = 64;
const TARGETS: u32 = 200;
const HOSTS: u32 = 3700;
const TICKETS: u32 = 200_000;
const ROUNDS: u32 = 2000;
const BUSY_SHARDS: u32 = 300;

/// Measures sizes, then times.
pub fn measure() -> Result<Vec<Slope>, Error> {
    let mut slopes = sizes()?;
    slopes.extend(global_sizes()?);
    slopes.extend(moves()?);
    slopes.extend(heartbeats()?);
    slopes.extend(tickets()?);
    Ok(slopes)
}

fn sizes() -> Result<Vec<Slope>, Error> {
    let few = world::zone(FEW, TARGETS)?.state;
    let many = world::zone(SHARDS, TARGETS)?.state;
    let more = world::zone(FEW, 2 * TARGETS)?.state;
    let pinned = world::with_pins(&world::zone(FEW, TARGETS)?.state.table())?;
    let base = probe::held(&few)?;
    let code = probe::encoded(&few)?.len() as f64;
    let table = probe::encoded(&*few.table())?.len() as f64;
    let shards = f64::from(SHARDS - FEW);
    let targets = f64::from(TARGETS);
    let pins = f64::from(world::PINS);
    let shard_code = probe::encoded(&many)?.len() as f64 - code;
    let target_code = probe::encoded(&more)?.len() as f64 - code;
    let pin_code = probe::encoded(&pinned)?.len() as f64 - table;
    let pin_held = probe::held(&pinned)? - probe::held(&*few.table())?;
    Ok(vec![
        Slope::new("shard, held", (probe::held(&many)? - base) / shards, "B"),
        Slope::new("shard, encoded", shard_code / shards, "B"),
        Slope::new("target, held", (probe::held(&more)? - base) / targets, "B"),
        Slope::new("target, encoded", target_code / targets, "B"),
        Slope::new("pin in a domain's table, held", pin_held / pins, "B"),
        Slope::new("pin in a domain's table, encoded", pin_code / pins, "B"),
    ])
}

fn global_sizes() -> Result<Vec<Slope>, Error> {
    let small = world::accepted(FEW, 10)?;
    let large = world::accepted(FEW, 10 + HOSTS)?;
    let held = probe::held(&large)? - probe::held(&small)?;
    let code = probe::encoded(&large)?.len() as f64 - probe::encoded(&small)?.len() as f64;
    let hosts = f64::from(HOSTS);
    Ok(vec![
        Slope::new("host, held", held / hosts, "B"),
        Slope::new("host, encoded", code / hosts, "B"),
    ])
}

/// Moves one shard after the other and follows with deltas.
fn moves() -> Result<Vec<Slope>, Error> {
    let mut zone = world::zone(SHARDS, TARGETS)?;
    let service: id::Service = probe::name("desk")?;
    let mut held = zone.state.table();
    let (mut moves, mut diffs, mut encodes, mut applies, mut size) = (0.0, 0.0, 0.0, 0.0, 0);
    for round in 0..ROUNDS {
        let shard = id::Shard(round * 31 % SHARDS);
        let start = time::Instant::now();
        zone.shift(&service, shard)?;
        moves += start.elapsed().as_secs_f64();
        let newest = zone.state.table();
        let start = time::Instant::now();
        let change = delta::diff(Some(&*held), &*newest);
        diffs += start.elapsed().as_secs_f64();
        let start = time::Instant::now();
        size += probe::encoded(&change)?.len();
        encodes += start.elapsed().as_secs_f64();
        let start = time::Instant::now();
        let applied = delta::apply(Some(&*held), change);
        hint::black_box(applied.map_err(|error| Error::Codec(error.to_string()))?);
        applies += start.elapsed().as_secs_f64();
        held = newest;
    }
    let each = |total: f64| total * 1e6 / f64::from(ROUNDS);
    Ok(vec![
        Slope::new("move and grant of a shard, apply", each(moves), "us"),
        Slope::new("delta of one shard, make", each(diffs), "us"),
        Slope::new("delta of one shard, encode", each(encodes), "us"),
        Slope::new("delta of one shard, apply", each(applies), "us"),
        Slope::new(
            "delta of one shard, encoded",
            size as f64 / f64::from(ROUNDS),
            "B",
        ),
    ])
}

fn heartbeats() -> Result<Vec<Slope>, Error> {
    let zone = world::zone(SHARDS, TARGETS)?;
    let mut evidence = domain::Evidence::new(time::Duration::ZERO);
    evidence.observe(&zone.state, time::Duration::ZERO);
    let mut first = world::report(&zone.state.table(), 0)?;
    first.announced = world::announcements(&zone.state.table())?;
    evidence.record_report(&first, time::Duration::ZERO);
    let mut slopes = Vec::new();
    let busy = world::report(&zone.state.table(), BUSY_SHARDS)?;
    let idle = world::report(&zone.state.table(), 0)?;
    let idle_code = probe::encoded(&idle)?;
    let code = probe::encoded(&busy)?;
    let mut now = time::Duration::ZERO;
    let mut hear = |report: &report::Report| {
        probe::micros(ROUNDS, || {
            now += time::Duration::from_millis(200);
            evidence.record_report(report, now);
            Ok(())
        })
    };
    let heard = hear(&busy)?;
    let heard_idle = hear(&idle)?;
    slopes.push(Slope::new(
        "report, 18 idle lanes, encoded",
        idle_code.len() as f64,
        "B",
    ));
    slopes.push(Slope::new(
        "report, 18 lanes of 300 busy shards, encoded",
        code.len() as f64,
        "B",
    ));
    for (label, value) in [
        ("report, 18 idle lanes, encode", &idle),
        ("report, 18 lanes of 300 busy shards, encode", &busy),
    ] {
        let each = probe::micros(ROUNDS, || {
            hint::black_box(probe::encoded(value)?);
            Ok(())
        })?;
        slopes.push(Slope::new(label, each, "us"));
    }
    for (label, bytes) in [
        ("report, 18 idle lanes, decode", &idle_code),
        ("report, 18 lanes of 300 busy shards, decode", &code),
    ] {
        let each = probe::micros(ROUNDS, || {
            let read: Result<report::Report, _> = rmp_serde::from_slice(bytes);
            hint::black_box(read.map_err(|error| Error::Codec(error.to_string()))?);
            Ok(())
        })?;
        slopes.push(Slope::new(label, each, "us"));
    }
    slopes.push(Slope::new("report, 18 idle lanes, hear", heard_idle, "us"));
    slopes.push(Slope::new(
        "report, 18 lanes of 300 busy shards, hear",
        heard,
        "us",
    ));
    Ok(slopes)
}

fn tickets() -> Result<Vec<Slope>, Error> {
    let mut global = world::accepted(SHARDS, 11)?;
    let before = probe::held(&global)?;
    let code = probe::encoded(&global)?.len();
    let mut number = 1;
    let text = "number = 2\npins.desk = { k1 = \"t1\", k2 = \"t2\" }";
    let read = probe::micros(ROUNDS, || {
        hint::black_box(world::checked(text)?);
        Ok(())
    })?;
    let apply = probe::micros(TICKETS, || {
        number += 1;
        let mut ticket = world::checked(text)?;
        ticket.number = id::Ticket(number);
        world::submit(&mut global, ticket, number + 1)?;
        hint::black_box(global.table());
        Ok(())
    })?;
    let count = f64::from(TICKETS);
    let held = probe::held(&global)? - before;
    let grown = (probe::encoded(&global)?.len() - code) as f64;
    Ok(vec![
        Slope::new("ticket, read and check", read, "us"),
        Slope::new("ticket, read, check and apply", apply, "us"),
        Slope::new("ticket, held", held / count, "B"),
        Slope::new("ticket, encoded", grown / count, "B"),
    ])
}
