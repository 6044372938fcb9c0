//! What is proposed to the global log, and what comes of it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_wire::finding;
use yucca_wire::id;
use yucca_wire::shards;

use super::Acceptance;
use crate::ticket;

/// An entry of the global log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A ticket of an operator.
    Submit {
        /// The ticket.
        ticket: Box<ticket::Checked>,
        /// Who sent it.
        sender: String,
    },
    /// The slots of a domain's serving targets.
    Capacity {
        /// The domain.
        domain: id::Domain,
        /// The slots by service.
        slots: IndexMap<id::Service, u32>,
    },
    /// A domain renews its home lease.
    Renew {
        /// The domain.
        domain: id::Domain,
        /// The generation that the domain knows of itself; another one means that it has not
        /// seen what became of its shards.
        generation: u32,
        /// The newest global version that is in force at all its hosts.
        version: id::Version,
    },
    /// The homes of a service's shards change without the word of the homes before.
    Assign {
        /// The service.
        service: id::Service,
        /// The version of the table that this was decided on.
        base: id::Version,
        /// All homes from now on.
        homes: shards::Homes,
        /// Why the homes before need not be asked.
        cause: Cause,
    },
    /// Shards are to leave their homes, which go on serving until they have given them up.
    Leave {
        /// The service.
        service: id::Service,
        /// The version of the table that this was decided on.
        base: id::Version,
        /// The shards and the domains that get them.
        shards: IndexMap<id::Shard, id::Domain>,
    },
    /// A domain gave up shards that leave it.
    Released {
        /// The domain.
        domain: id::Domain,
        /// Its generation when it gave them up.
        generation: u32,
        /// The service.
        service: id::Service,
        /// The shards.
        shards: Vec<id::Shard>,
    },
}

/// Why shards change their home without the word of the home before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// They had none, or an operator declared it lost.
    Unowned,
    /// The home lease of the domain lapsed.
    Lapsed {
        /// The domain.
        domain: id::Domain,
        /// The number of its last renewal; a later one makes this void.
        renewal: u64,
    },
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The ticket holds; the same ticket gets the same answer for ever.
    Accepted {
        /// Its number.
        number: id::Ticket,
        /// The version at which it took effect.
        version: id::Version,
    },
    /// Nothing of the ticket took effect.
    Refused {
        /// What is wrong with it.
        findings: Vec<finding::Finding>,
        /// The other ticket that has its number, where that is why.
        existing: Option<Acceptance>,
    },
    /// It took effect.
    Done,
    /// It presumed what no longer holds and had no effect.
    Stale,
}
