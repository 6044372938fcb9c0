//! Shards, pins, targets, hosts and tickets in the states on the logs.

use std::fmt::Write;
use std::hint;
use std::net;
use std::num;
use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_own::{delta, domain, global, ticket};
use yucca_wire::announce;
use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::shards;
use yucca_wire::table;

use super::probe;
use super::{Error, Slope};

const SHARDS: u32 = 65_536;
const FEW: u32 = 64;
const TARGETS: u32 = 200;
const PINS: u32 = 2000;
const HOSTS: u32 = 3700;
const TICKETS: u32 = 200_000;
const ROUNDS: u32 = 2000;
const LANES: u32 = 18;
const BUSY_SHARDS: u32 = 300;

/// A domain's state and the version at which it stands.
struct Zone {
    state: domain::State,
    version: u64,
}

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
    let few = zone(FEW, TARGETS)?.state;
    let many = zone(SHARDS, TARGETS)?.state;
    let more = zone(FEW, 2 * TARGETS)?.state;
    let pinned = with_pins(&zone(FEW, TARGETS)?.state.table())?;
    let base = probe::held(&few)?;
    let code = probe::encoded(&few)?.len() as f64;
    let table = probe::encoded(&*few.table())?.len() as f64;
    let shards = f64::from(SHARDS - FEW);
    let targets = f64::from(TARGETS);
    let pins = f64::from(PINS);
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
    let small = accepted(FEW, 10)?;
    let large = accepted(FEW, 10 + HOSTS)?;
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
    let mut zone = zone(SHARDS, TARGETS)?;
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
    let zone = zone(SHARDS, TARGETS)?;
    let mut evidence = domain::Evidence::new(time::Duration::ZERO);
    evidence.observe(&zone.state, time::Duration::ZERO);
    let mut first = report(&zone.state.table(), 0)?;
    first.announced = announcements(&zone.state.table())?;
    evidence.hear(&first, time::Duration::ZERO);
    let mut slopes = Vec::new();
    let busy = report(&zone.state.table(), BUSY_SHARDS)?;
    let idle = report(&zone.state.table(), 0)?;
    let idle_code = probe::encoded(&idle)?;
    let code = probe::encoded(&busy)?;
    let mut now = time::Duration::ZERO;
    let mut hear = |report: &report::Report| {
        probe::micros(ROUNDS, || {
            now += time::Duration::from_millis(200);
            evidence.hear(report, now);
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
    let mut global = accepted(SHARDS, 11)?;
    let before = probe::held(&global)?;
    let code = probe::encoded(&global)?.len();
    let mut number = 1;
    let text = "number = 2\npins.desk = { k1 = \"t1\", k2 = \"t2\" }";
    let read = probe::micros(ROUNDS, || {
        hint::black_box(checked(text)?);
        Ok(())
    })?;
    let apply = probe::micros(TICKETS, || {
        number += 1;
        let mut ticket = checked(text)?;
        ticket.number = id::Ticket(number);
        submit(&mut global, ticket, number + 1)?;
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

impl Zone {
    fn apply(&mut self, command: &domain::Command) -> domain::Reply {
        self.version += 1;
        self.state.apply(id::Version(self.version), command)
    }

    /// Moves a shard to another target, which is released and granted.
    fn shift(&mut self, service: &id::Service, shard: id::Shard) -> Result<(), Error> {
        let none = Error::NoEffect("move of a shard");
        let table = self.state.table();
        let owner = table
            .owners
            .get(service)
            .and_then(|owners| owners.get(&shard));
        let Some(owner) = owner.cloned() else {
            return Err(none);
        };
        let other = table.targets.keys().find(|name| **name != owner.target);
        let (Some(to), Some(from)) = (other.cloned(), table.targets.get(&owner.target)) else {
            return Err(none);
        };
        let shift = domain::Command::Move {
            service: service.clone(),
            shifts: vec![domain::Shift {
                shard,
                token: owner.token,
                to,
            }],
        };
        let release = domain::Command::Released {
            target: owner.target.clone(),
            token: from.token,
            releases: vec![report::Release {
                shard,
                key: None,
                token: owner.token,
            }],
        };
        drop(table);
        let replies = [self.apply(&shift), self.apply(&release)];
        if replies != [domain::Reply::Done, domain::Reply::Done] {
            return Err(none);
        }
        Ok(())
    }
}

/// Returns a domain whose targets own all shards of one service.
fn zone(shards: u32, targets: u32) -> Result<Zone, Error> {
    let global = accepted(shards, 11)?;
    let mut zone = Zone {
        state: domain::State::new(probe::name("a")?),
        version: 0,
    };
    if let Some(follow) = zone.state.follow(&global.table()) {
        zone.apply(&follow);
    }
    let names = (0..targets).map(|at| probe::name(&format!("a-desk-{at}")));
    let names = names.collect::<Result<Vec<id::Target>, Error>>()?;
    for (at, target) in names.iter().enumerate() {
        zone.apply(&announce(target, at as u16)?);
    }
    let grant = |shard: u32| domain::Grant {
        shard: id::Shard(shard),
        target: names[(shard % targets) as usize].clone(),
    };
    let service: id::Service = probe::name("desk")?;
    let own = domain::Command::Own {
        service: service.clone(),
        grants: (0..shards).map(grant).collect(),
    };
    zone.apply(&own);
    let table = zone.state.table();
    if table.owners.get(&service).map_or(0, |owners| owners.len()) != shards as usize {
        return Err(Error::NoEffect("grants of all shards"));
    }
    Ok(zone)
}

fn announce(target: &id::Target, at: u16) -> Result<domain::Command, Error> {
    Ok(domain::Command::Announce(domain::Announce {
        target: target.clone(),
        service: probe::name("desk")?,
        address: net::SocketAddr::from(([127, 1, 0, 1], 1000 + at)),
        incarnation: 1,
        slots: id::Slots(3),
        connections: 130,
        checks_tokens: false,
        draining: false,
        leaving: false,
        warm: 1.0,
    }))
}

fn with_pins(table: &table::Local) -> Result<table::Local, Error> {
    let mut table = table.clone();
    let Some(target) = table.targets.keys().next().cloned() else {
        return Err(Error::NoEffect("pins"));
    };
    let pins = (0..PINS).map(|at| {
        let owner = table::Owner {
            target: target.clone(),
            token: id::Token {
                generation: 1,
                version: 1000,
                counter: at,
            },
            moving: false,
        };
        (Bytes::from(format!("key-{at}")), owner)
    });
    table.pins.insert(probe::name("desk")?, pins.collect());
    Ok(table)
}

fn report(table: &table::Local, busy: u32) -> Result<report::Report, Error> {
    let lanes = table
        .targets
        .iter()
        .take(LANES as usize)
        .map(|(name, found)| {
            let lane = report::Lane {
                token: found.token,
                alive: true,
                work: (0..busy).map(|shard| (id::Shard(shard), 1000)).collect(),
                ..report::Lane::default()
            };
            (name.clone(), lane)
        });
    Ok(report::Report {
        host: probe::name("a0")?,
        incarnation: 1,
        global: id::Version(1),
        locals: IndexMap::new(),
        announced: Vec::new(),
        lanes: lanes.collect(),
        stopping: false,
    })
}

/// The heartbeats of the targets that report; work is counted only for targets that were heard.
fn announcements(table: &table::Local) -> Result<Vec<announce::Announce>, Error> {
    let targets = table.targets.iter().take(LANES as usize);
    let heard = targets.map(|(name, found)| {
        let number = |value: u16| {
            let value = num::NonZeroU16::try_from(value);
            value.map_err(|error| Error::Name(error.to_string()))
        };
        Ok(announce::Announce {
            target: name.to_string(),
            service: found.service.to_string(),
            address: found.address.to_string(),
            incarnation: found.incarnation,
            slots: number(found.slots.0)?,
            connections: number(found.connections)?,
            checks_tokens: found.checks_tokens,
            state: None,
            warm: None,
        })
    });
    heard.collect()
}

fn checked(text: &str) -> Result<ticket::Checked, Error> {
    let read = ticket::check(text.as_bytes(), ticket::Format::Toml);
    read.map_err(|findings| Error::Name(format!("{findings:?}")))
}

fn submit(global: &mut global::State, ticket: ticket::Checked, at: u64) -> Result<(), Error> {
    let command = global::Command::Submit {
        ticket: Box::new(ticket),
        sender: "slope".into(),
    };
    match global.apply(id::Version(at), &command) {
        global::Reply::Accepted { .. } => Ok(()),
        _ => Err(Error::NoEffect("ticket")),
    }
}

/// Returns a global state with one service, all of whose shards have their home in one domain.
fn accepted(shards: u32, hosts: u32) -> Result<global::State, Error> {
    let mut text = format!(
        "number = 1\n[services.desk]\nprefix = \"/desk\"\ndeadline = \"1s\"\n\
         kind = {{ keyed = {{ key = {{ segment = 0 }}, shards = {shards} }} }}\n\
         [domains.a]\nregion = \"west\"\n"
    );
    for at in 0..hosts {
        let (high, low) = (at / 250, at % 250 + 1);
        let peer = format!("peer = \"127.0.{high}.{low}:1\"");
        let line = writeln!(
            text,
            "hosts.a{at} = {{ {peer}, control = \"127.0.{high}.{low}:2\" }}"
        );
        line.map_err(|error| Error::Codec(error.to_string()))?;
    }
    let mut global = global::State::default();
    submit(&mut global, checked(&text)?, 1)?;
    let mut homes = shards::Homes::default();
    homes.assign(0..shards, &probe::name("a")?);
    let assign = global::Command::Assign {
        service: probe::name("desk")?,
        base: global.table().version,
        homes,
        cause: global::Cause::Unowned,
    };
    global.apply(id::Version(2), &assign);
    Ok(global)
}
