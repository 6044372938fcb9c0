//! Builds the states and messages that are measured.

use std::fmt::Write;
use std::net;
use std::num;

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_own::{domain, global, ticket};
use yucca_wire::announce;
use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::shards;
use yucca_wire::table;

use crate::slope::Error;
use crate::slope::probe;

/// Number of pins in the table with pins.
pub const PINS: u32 = 2000;
/// Number of lanes in a report.
pub const LANES: u32 = 18;

/// State of a failure domain, with the version of its log.
pub struct Domain {
    /// Replicated state.
    pub state: domain::State,
    /// Version of the last applied command.
    pub version: u64,
}

impl Domain {
    /// Applies a command at the next version.
    pub fn apply(&mut self, command: &domain::Command) -> domain::Reply {
        self.version += 1;
        self.state.apply(id::Version(self.version), command)
    }

    /// Moves a shard to another target: starts the move and confirms that the previous owner has
    /// released the shard.
    ///
    /// # Errors
    /// Fails if a command has no effect.
    pub fn move_shard(&mut self, service: &id::Service, shard: id::Shard) -> Result<(), Error> {
        let no_effect = Error::NoEffect("move of a shard");
        let table = self.state.table();
        let owner = table
            .owners
            .get(service)
            .and_then(|owners| owners.get(&shard));
        let Some(owner) = owner.cloned() else {
            return Err(no_effect);
        };
        let other = table.targets.keys().find(|name| **name != owner.target);
        let (Some(to), Some(from)) = (other.cloned(), table.targets.get(&owner.target)) else {
            return Err(no_effect);
        };
        let start = domain::Command::Move {
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
        let replies = [self.apply(&start), self.apply(&release)];
        if replies != [domain::Reply::Done, domain::Reply::Done] {
            return Err(no_effect);
        }
        Ok(())
    }
}

/// Returns a domain whose targets own all shards of one service.
///
/// # Errors
/// Fails if not all shards are granted.
pub fn domain(shards: u32, targets: u32) -> Result<Domain, Error> {
    let global = global_state(shards, 11)?;
    let mut domain = Domain {
        state: domain::State::new(probe::name("a")?),
        version: 0,
    };
    if let Some(update) = domain.state.global_update(&global.table()) {
        domain.apply(&update);
    }
    let names = (0..targets).map(|at| probe::name(&format!("a-desk-{at}")));
    let names = names.collect::<Result<Vec<id::Target>, Error>>()?;
    for (at, target) in names.iter().enumerate() {
        domain.apply(&announce(target, at as u16)?);
    }
    let grant = |shard: u32| domain::Grant {
        shard: id::Shard(shard),
        target: names[(shard % targets) as usize].clone(),
    };
    let service: id::Service = probe::name("desk")?;
    let grants = domain::Command::Own {
        service: service.clone(),
        grants: (0..shards).map(grant).collect(),
    };
    domain.apply(&grants);
    let table = domain.state.table();
    if table.owners.get(&service).map_or(0, |owners| owners.len()) != shards as usize {
        return Err(Error::NoEffect("grants of all shards"));
    }
    Ok(domain)
}

/// Returns the command that registers a target.
pub fn announce(target: &id::Target, at: u16) -> Result<domain::Command, Error> {
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

/// Returns a copy of a table with [`PINS`] pins of one target.
pub fn with_pins(table: &table::Local) -> Result<table::Local, Error> {
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

/// Returns a report of a host with [`LANES`] lanes, each with work on `busy` shards.
pub fn report(table: &table::Local, busy: u32) -> Result<report::Report, Error> {
    let lanes = table
        .targets
        .iter()
        .take(LANES as usize)
        .map(|(name, target)| {
            let lane = report::Lane {
                token: target.token,
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

/// Returns the announcements of the targets of the reported lanes. A domain counts work only for
/// targets whose announcements it has received.
pub fn announcements(table: &table::Local) -> Result<Vec<announce::Announce>, Error> {
    let targets = table.targets.iter().take(LANES as usize);
    let announcements = targets.map(|(name, target)| {
        let number = |value: u16| {
            let value = num::NonZeroU16::try_from(value);
            value.map_err(|error| Error::Name(error.to_string()))
        };
        Ok(announce::Announce {
            target: name.to_string(),
            service: target.service.to_string(),
            address: target.address.to_string(),
            incarnation: target.incarnation,
            slots: number(target.slots.0)?,
            connections: number(target.connections)?,
            checks_tokens: target.checks_tokens,
            state: None,
            warm: None,
        })
    });
    announcements.collect()
}

/// Parses and checks a ticket in TOML.
pub fn checked(text: &str) -> Result<ticket::Checked, Error> {
    let checked = ticket::check(text.as_bytes(), ticket::Format::Toml);
    checked.map_err(|findings| Error::Name(format!("{findings:?}")))
}

/// Submits a ticket to the global state at version `at`.
///
/// # Errors
/// Fails if the ticket is not accepted.
pub fn submit(global: &mut global::State, ticket: ticket::Checked, at: u64) -> Result<(), Error> {
    let command = global::Command::Submit {
        ticket: Box::new(ticket),
        sender: "slope".into(),
    };
    match global.apply(id::Version(at), &command) {
        global::Reply::Accepted { .. } => Ok(()),
        _ => Err(Error::NoEffect("ticket")),
    }
}

/// Returns a global state with one service and one domain, which is the home of all shards.
pub fn global_state(shards: u32, hosts: u32) -> Result<global::State, Error> {
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
