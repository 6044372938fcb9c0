//! A minimal configuration of a lane.

use yucca_lane::lane;
use yucca_wire::id;
use yucca_wire::table;
use yucca_wire::unit;

use super::WINDOW;

pub(super) fn token(counter: u32) -> id::Token {
    id::Token {
        generation: 0,
        version: 0,
        counter,
    }
}

pub(super) fn host() -> Option<id::Host> {
    "standby".parse().ok()
}

pub(super) fn config(token: id::Token, standby: Option<id::Host>) -> Option<lane::Config> {
    Some(lane::Config {
        target: "target".parse().ok()?,
        token,
        slots: id::Slots(1),
        limits: table::Limits {
            body: unit::Size(1),
            queue_requests: 4,
            queue_bytes: unit::Size(4),
            short_reserve: id::Slots(0),
        },
        retry: table::Retry {
            attempts: 2,
            budget: 1.0,
        },
        single_host: standby.is_none(),
        standby,
        warm: 1.0,
        ledger_window: WINDOW,
        ledger_entries: 4,
        ledger_gap: false,
        keyed: false,
        stops_on_close: true,
        lease: None,
        seed: 0,
    })
}
