//! Helpers that build lanes and arrivals and filter outputs.
#![allow(dead_code, clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use yucca_lane::lane;
use yucca_lane::ledger;
use yucca_lane::request;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;
use yucca_wire::unit;

pub const SECOND: Duration = Duration::from_secs(1);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn host(name: &str) -> id::Host {
    name.parse().unwrap()
}

pub fn token(counter: u32) -> id::Token {
    id::Token {
        generation: 1,
        version: 1,
        counter,
    }
}

pub fn config() -> lane::Config {
    lane::Config {
        target: "till-1".parse().unwrap(),
        token: token(1),
        slots: id::Slots(3),
        limits: table::Limits {
            body: unit::Size(1 << 20),
            queue_requests: 64,
            queue_bytes: unit::Size(1 << 20),
            short_reserve: id::Slots(1),
        },
        retry: table::Retry {
            attempts: 3,
            budget: 0.1,
        },
        standby: None,
        single_host: true,
        warm: 1.0,
        ledger_window: Duration::from_secs(600),
        ledger_entries: 1000,
        ledger_gap: false,
        keyed: false,
        stops_on_close: true,
        lease: None,
        seed: 7,
    }
}

pub fn lane() -> lane::Lane {
    lane::Lane::new(config(), Duration::ZERO)
}

/// Returns an idempotent short request that is due in a second.
pub fn read(id: u128) -> request::Arrival {
    request::Arrival {
        id: id::Request(id),
        caller: request::Caller(id as u64),
        fingerprint: 1,
        class: table::Class::Short,
        idempotent: true,
        shard: None,
        key: None,
        bytes: 100,
        deadline: SECOND,
        resent: false,
    }
}

/// Returns a non-idempotent short request that is due in a second.
pub fn order(id: u128) -> request::Arrival {
    request::Arrival {
        idempotent: false,
        ..read(id)
    }
}

/// Returns an idempotent long request that is due in a hundred seconds.
pub fn search(id: u128) -> request::Arrival {
    request::Arrival {
        class: table::Class::Long,
        deadline: 100 * SECOND,
        ..read(id)
    }
}

pub fn keyed(arrival: request::Arrival, shard: u32, key: &'static str) -> request::Arrival {
    request::Arrival {
        shard: Some(id::Shard(shard)),
        key: Some(Bytes::from_static(key.as_bytes())),
        ..arrival
    }
}

pub fn arrive(
    lane: &mut lane::Lane,
    arrival: request::Arrival,
    now: Duration,
) -> Vec<lane::Output> {
    lane.step(lane::Input::Arrive(arrival), now)
}

pub fn answer(lane: &mut lane::Lane, id: u128, now: Duration) -> Vec<lane::Output> {
    ended(lane, id, 1, Ok(request::Status(200)), now)
}

pub fn ended(
    lane: &mut lane::Lane,
    id: u128,
    attempt: u32,
    result: Result<request::Status, request::Failure>,
    now: Duration,
) -> Vec<lane::Output> {
    let id = id::Request(id);
    let input = lane::Input::AttemptEnded {
        id,
        attempt,
        result,
    };
    lane.step(input, now)
}

pub fn tick(lane: &mut lane::Lane, now: Duration) -> Vec<lane::Output> {
    lane.step(lane::Input::Tick, now)
}

pub fn sent(outputs: &[lane::Output]) -> Vec<u128> {
    let ids = outputs.iter().filter_map(|output| match output {
        lane::Output::Send { id, .. } => Some(id.0),
        _ => None,
    });
    ids.collect()
}

pub fn delivered(outputs: &[lane::Output]) -> Vec<u64> {
    let callers = outputs.iter().filter_map(|output| match output {
        lane::Output::Deliver { caller, .. } => Some(caller.0),
        _ => None,
    });
    callers.collect()
}

pub fn aborted(outputs: &[lane::Output]) -> Vec<u128> {
    let ids = outputs.iter().filter_map(|output| match output {
        lane::Output::Abort { id } => Some(id.0),
        _ => None,
    });
    ids.collect()
}

pub fn refused(outputs: &[lane::Output]) -> Vec<(u64, problem::Kind, problem::Outcome)> {
    let refusals = outputs.iter().filter_map(|output| match output {
        lane::Output::Refuse {
            caller, problem, ..
        } => Some((caller.0, problem.kind, problem.outcome)),
        _ => None,
    });
    refusals.collect()
}

pub fn replayed(outputs: &[lane::Output]) -> Vec<(u64, request::Outcome)> {
    let replays = outputs.iter().filter_map(|output| match output {
        lane::Output::Replay {
            caller, outcome, ..
        } => Some((caller.0, *outcome)),
        _ => None,
    });
    replays.collect()
}

pub fn copies(outputs: &[lane::Output]) -> Vec<ledger::Entry> {
    let entries = outputs.iter().filter_map(|output| match output {
        lane::Output::Copy { entry, .. } => Some(entry.clone()),
        _ => None,
    });
    entries.collect()
}
