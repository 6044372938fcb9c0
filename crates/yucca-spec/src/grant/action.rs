//! Commands that may be proposed to the log, by the leader or by a report in the network.

use yucca_own::domain;
use yucca_wire::id;
use yucca_wire::report;

use super::state::{HOSTS, SHARD, TARGETS, View, name};

/// A compact form of a command of the log; hosts and targets are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Action {
    /// The shard moves to the other target.
    Move,
    Own(usize),
    Lane(usize, usize),
    Standby(usize, usize),
    Yield(usize),
    HostLost(usize),
    HostUp(usize),
    Released {
        target: usize,
        lane: id::Token,
        grant: id::Token,
    },
    Left {
        target: usize,
        lane: id::Token,
    },
    Announce {
        target: usize,
        incarnation: u64,
    },
}

impl Action {
    /// Returns the command that a leader with this view of the table proposes.
    pub fn command(self, view: &View) -> domain::Command {
        let lane = |target: usize| view.lanes[target].1;
        match self {
            Self::Move => move_shard(view),
            Self::Own(target) => domain::Command::Own {
                service: name("s"),
                grants: vec![domain::Grant {
                    shard: SHARD,
                    target: name(TARGETS[target]),
                }],
            },
            Self::Lane(target, host) => domain::Command::Lane {
                target: name(TARGETS[target]),
                token: lane(target),
                host: name(HOSTS[host]),
            },
            Self::Standby(target, host) => domain::Command::Standby {
                target: name(TARGETS[target]),
                token: lane(target),
                host: name(HOSTS[host]),
            },
            Self::Yield(target) => domain::Command::Yield {
                target: name(TARGETS[target]),
                token: lane(target),
            },
            Self::HostLost(host) => domain::Command::HostLost {
                host: name(HOSTS[host]),
                incarnation: 1,
            },
            Self::HostUp(host) => domain::Command::HostUp {
                host: name(HOSTS[host]),
                incarnation: 1,
            },
            Self::Released {
                target,
                lane,
                grant,
            } => domain::Command::Released {
                target: name(TARGETS[target]),
                token: lane,
                releases: vec![report::Release {
                    shard: SHARD,
                    key: None,
                    token: grant,
                }],
            },
            Self::Left { target, lane } => domain::Command::Left {
                target: name(TARGETS[target]),
                token: lane,
            },
            Self::Announce {
                target,
                incarnation,
            } => announce(target, incarnation),
        }
    }
}

fn move_shard(view: &View) -> domain::Command {
    let shifts = view.owner.map(|owner| domain::Shift {
        shard: SHARD,
        token: owner.token,
        to: name(TARGETS[1 - owner.target]),
    });
    domain::Command::Move {
        service: name("s"),
        shifts: shifts.into_iter().collect(),
    }
}

fn announce(target: usize, incarnation: u64) -> domain::Command {
    domain::Command::Announce(domain::Announce {
        target: name(TARGETS[target]),
        service: name("s"),
        address: ([127, 0, 0, 9], 9000 + target as u16).into(),
        incarnation,
        slots: id::Slots(1),
        connections: 1,
        checks_tokens: true,
        draining: false,
        leaving: false,
        warm: 1.0,
    })
}
