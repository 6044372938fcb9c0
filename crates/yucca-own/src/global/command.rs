//! Commands of the global log and their results.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::finding;
use yucca_wire::id;
use yucca_wire::shards;

use super::Acceptance;
use crate::ticket;

/// Command in the global log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Submits an operator's ticket.
    Submit {
        /// Checked ticket.
        ticket: Box<ticket::Checked>,
        /// Name of the sender.
        sender: String,
    },
    /// Reports the number of slots of a domain's serving targets.
    Capacity {
        /// Domain.
        domain: id::Domain,
        /// Number of slots, by service.
        slots: IndexMap<id::Service, u32>,
    },
    /// Renews the home lease of a domain.
    Renew {
        /// Domain.
        domain: id::Domain,
        /// Generation that the domain knows of itself. If it is outdated, the domain does not know
        /// yet that its shards were reassigned.
        generation: u32,
        /// Newest global version that is in effect at all its hosts.
        version: id::Version,
    },
    /// Reassigns homes of a service's shards without a release by the previous homes.
    Assign {
        /// Service.
        service: id::Service,
        /// Version of the table on which this was decided.
        base: id::Version,
        /// New homes of all shards.
        homes: shards::Homes,
        /// Why no release by the previous homes is needed.
        cause: Cause,
    },
    /// Starts to move shards to other homes. The current homes serve them until they release them.
    Leave {
        /// Service.
        service: id::Service,
        /// Version of the table on which this was decided.
        base: id::Version,
        /// Shards and their next homes.
        shards: IndexMap<id::Shard, id::Domain>,
    },
    /// Records that a domain released shards that leave it.
    Released {
        /// Domain.
        domain: id::Domain,
        /// Generation of the domain when it released them.
        generation: u32,
        /// Service.
        service: id::Service,
        /// Released shards.
        shards: Vec<id::Shard>,
    },
}

/// Reason why shards change their home without a release by the previous home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The shards had no home, or an operator declared it lost.
    Unowned,
    /// The home lease of a domain lapsed.
    Lapsed {
        /// Domain.
        domain: id::Domain,
        /// Number of its last renewal. The command has no effect after a later renewal.
        renewal: u64,
    },
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The ticket was accepted. If the same ticket is submitted again, the reply is the same.
    Accepted {
        /// Number of the ticket.
        number: id::Ticket,
        /// Version at which it took effect.
        version: id::Version,
    },
    /// The ticket was refused and had no effect.
    Refused {
        /// Findings; empty if the number is taken.
        findings: Vec<finding::Finding>,
        /// Accepted ticket with the same number and other content, if that is the reason.
        existing: Option<Acceptance>,
    },
    /// The command took effect.
    Done,
    /// The command had no effect: the state that it was decided on has changed since.
    Stale,
}
