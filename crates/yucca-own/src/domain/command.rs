//! What is proposed to a domain's log, and what comes of it.

use std::net;
use std::sync;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::table;

/// An entry of a domain's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A newer global part.
    Global(sync::Arc<table::Global>),
    /// What leads from the global part that was taken in to a newer one.
    GlobalChange(Box<report::Change<table::Global>>),
    /// What a target says of itself.
    Announce(Announce),
    /// A target is silent.
    TargetLost {
        /// The target.
        target: id::Target,
        /// Its start that is silent.
        incarnation: u64,
    },
    /// A silent target answers again, without having been started anew.
    TargetBack {
        /// The target.
        target: id::Target,
        /// Its start.
        incarnation: u64,
    },
    /// A target is gone for good.
    Forget {
        /// The target.
        target: id::Target,
        /// Its start that is forgotten.
        incarnation: u64,
    },
    /// A host's lease lapsed, or its process was started anew: its lanes ended.
    HostLost {
        /// The host.
        host: id::Host,
        /// The start of its process that ended.
        incarnation: u64,
    },
    /// A host may hold lanes.
    HostUp {
        /// The host.
        host: id::Host,
        /// The start of its process.
        incarnation: u64,
    },
    /// A host wants its lanes handed over.
    Stopping {
        /// The host.
        host: id::Host,
        /// The start of its process.
        incarnation: u64,
    },
    /// A target without a lane gets one.
    Lane {
        /// The target.
        target: id::Target,
        /// The token of the lane before.
        token: id::Token,
        /// The host of the new lane.
        host: id::Host,
    },
    /// A lane gets a standby.
    Standby {
        /// The target.
        target: id::Target,
        /// The token of the lane.
        token: id::Token,
        /// The host of the standby.
        host: id::Host,
    },
    /// The standby has a whole copy of the lane's ledger.
    Copied {
        /// The target.
        target: id::Target,
        /// The token of the lane.
        token: id::Token,
        /// The host of the standby.
        host: id::Host,
    },
    /// The lane is to end, so that its standby takes over.
    Yield {
        /// The target.
        target: id::Target,
        /// The token of the lane.
        token: id::Token,
    },
    /// A lane that was to end sends nothing more.
    Left {
        /// The target.
        target: id::Target,
        /// The token of the lane.
        token: id::Token,
    },
    /// Shards that nobody owns get owners.
    Own {
        /// The service.
        service: id::Service,
        /// The shards and their owners.
        grants: Vec<Grant>,
    },
    /// Shards move to other targets.
    Move {
        /// The service.
        service: id::Service,
        /// The shards and where they go.
        shifts: Vec<Shift>,
    },
    /// A lane no longer sends anything of moving shards and pins to its target.
    Released {
        /// The target.
        target: id::Target,
        /// The token of the lane that says so.
        token: id::Token,
        /// The shards and pins.
        releases: Vec<report::Release>,
    },
    /// A hot key gets an owner of its own, or another one.
    Pin(Pin),
    /// A pin ends; its key goes back to the owner of its shard.
    Unpin {
        /// The service.
        service: id::Service,
        /// The key.
        key: Bytes,
        /// The token of the pin's grant.
        token: id::Token,
    },
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce {
    /// Its name.
    pub target: id::Target,
    /// The service that it serves.
    pub service: id::Service,
    /// Where it takes work.
    pub address: net::SocketAddr,
    /// Rises with each start; a higher one means that its memory of grants is empty.
    pub incarnation: u64,
    /// How many requests it works on at a time.
    pub slots: id::Slots,
    /// How many connections it takes.
    pub connections: u16,
    /// Whether it refuses lower fencing tokens.
    pub checks_tokens: bool,
    /// It wants no new work.
    pub draining: bool,
    /// It wants to be forgotten once its work is done.
    pub leaving: bool,
    /// How far it is from a cold start (0) to its full rate (1).
    pub warm: f32,
}

/// A shard that gets an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The shard.
    pub shard: id::Shard,
    /// The owner.
    pub target: id::Target,
}

/// A shard that moves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shift {
    /// The shard.
    pub shard: id::Shard,
    /// The token of its grant.
    pub token: id::Token,
    /// Where it goes.
    pub to: id::Target,
}

/// A key that gets an owner of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The service.
    pub service: id::Service,
    /// The key.
    pub key: Bytes,
    /// The token of the grant that the key has now, its pin's or its shard's.
    pub token: id::Token,
    /// The new owner.
    pub to: id::Target,
    /// Whether an operator set it.
    pub operator: bool,
}

/// What came of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It took effect.
    Done,
    /// It presumed what no longer holds and had no effect.
    Stale,
}
