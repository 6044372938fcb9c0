//! Slopes of a lane: queued requests, ledger entries and steps.

use std::collections::VecDeque;
use std::time;

use yucca_lane::lane;
use yucca_lane::ledger;
use yucca_lane::request;
use yucca_wire::id;
use yucca_wire::table;
use yucca_wire::unit;

use super::probe;
use super::{Error, Slope};

/// Number of queued requests and of ledger entries.
const COUNT: u32 = 50_000;
/// Number of arrivals in the measurement of steps.
const ROUNDS: u32 = 300_000;
const SLOTS: u16 = 3;
/// Number of requests that arrive before the first answer.
const BACKLOG: usize = 20;
/// Time for which the ledger keeps entries.
const WINDOW: time::Duration = time::Duration::from_secs(600);

/// Measures the memory of requests and ledger entries, then the time of steps.
pub fn measure() -> Result<Vec<Slope>, Error> {
    Ok(vec![queued()?, ledger_entry()?, step()?])
}

fn queued() -> Result<Slope, Error> {
    let bytes = probe::memory_per_copy(|| {
        let mut lane = lane::Lane::new(config(0)?, time::Duration::ZERO);
        for id in 0..u64::from(COUNT) {
            let input = lane::Input::Arrive(arrival(id, time::Duration::ZERO));
            lane.step(input, time::Duration::ZERO);
        }
        if lane.waiting() != COUNT as usize {
            return Err(Error::NoEffect("queued request"));
        }
        Ok(lane)
    })?;
    let per_item = bytes / f64::from(COUNT);
    Ok(Slope::new(
        "queued request (without its body), held",
        per_item,
        "B",
    ))
}

fn ledger_entry() -> Result<Slope, Error> {
    let bytes = probe::memory_per_copy(|| {
        let mut ledger = ledger::Ledger::new(WINDOW, COUNT as usize);
        for id in 0..u64::from(COUNT) {
            ledger.write(&entry(id), time::Duration::ZERO);
        }
        if ledger.len() != COUNT as usize {
            return Err(Error::NoEffect("ledger entry"));
        }
        Ok(ledger)
    })?;
    let per_item = bytes / f64::from(COUNT);
    Ok(Slope::new(
        "ledger entry (without an answer), held",
        per_item,
        "B",
    ))
}

fn entry(id: u64) -> ledger::Entry {
    ledger::Entry {
        id: id::Request(u128::from(id)),
        fingerprint: id,
        seq: id,
        shard: None,
        remaining: time::Duration::ZERO,
        state: ledger::State::Unknown,
    }
}

/// Measures alternating arrivals and answers, with all slots busy and some requests waiting.
fn step() -> Result<Slope, Error> {
    let mut lane = lane::Lane::new(config(SLOTS)?, time::Duration::ZERO);
    let mut sent = VecDeque::new();
    let mut round = 0;
    let mut steps = 0u32;
    let total = probe::micros_per_round(ROUNDS, || {
        let now = time::Duration::from_millis(round);
        let mut outputs = lane.step(lane::Input::Arrive(arrival(round, now)), now);
        steps += 1;
        if round > BACKLOG as u64
            && let Some(id) = sent.pop_front()
        {
            let result = Ok(request::Status(200));
            let input = lane::Input::AttemptEnded {
                id,
                attempt: 1,
                result,
            };
            outputs.extend(lane.step(input, now));
            steps += 1;
        }
        for output in outputs {
            if let lane::Output::Send { id, .. } = output {
                sent.push_back(id);
            }
        }
        lane.next_wake();
        round += 1;
        Ok(())
    })?;
    if steps < ROUNDS * 3 / 2 {
        return Err(Error::NoEffect("lane step"));
    }
    let per_item = total * f64::from(ROUNDS) / f64::from(steps);
    Ok(Slope::new("lane step (arrival or answer)", per_item, "us"))
}

fn arrival(id: u64, now: time::Duration) -> request::Arrival {
    request::Arrival {
        id: id::Request(u128::from(id)),
        caller: request::Caller(id),
        fingerprint: id,
        class: table::Class::Short,
        idempotent: true,
        shard: None,
        key: None,
        bytes: 200,
        deadline: now + time::Duration::from_secs(60),
        resent: false,
    }
}

fn config(slots: u16) -> Result<lane::Config, Error> {
    Ok(lane::Config {
        target: probe::name("target")?,
        token: id::Token::default(),
        slots: id::Slots(slots),
        limits: table::Limits {
            body: unit::Size(1 << 20),
            queue_requests: COUNT + 1,
            queue_bytes: unit::Size(u64::MAX),
            short_reserve: id::Slots(1),
        },
        retry: table::Retry {
            attempts: 3,
            budget: 0.1,
        },
        standby: None,
        single_host: true,
        warm: 1.0,
        ledger_window: WINDOW,
        ledger_entries: 1 << 20,
        ledger_gap: false,
        keyed: false,
        stops_on_close: true,
        lease: None,
        seed: 1,
    })
}
