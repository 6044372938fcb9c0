//! Commands of a domain's log and their results.

use std::net;
use std::sync;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use yucca_wire::id;
use yucca_wire::report;
use yucca_wire::table;

/// Command in a domain's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the global part of the routing table by a newer one.
    Global(sync::Arc<table::Global>),
    /// Applies a change to the global part of the routing table.
    GlobalChange(Box<report::Change<table::Global>>),
    /// Registers a target or updates what it announced.
    Announce(Announce),
    /// Declares a target lost: it does not answer.
    TargetLost {
        /// Target.
        target: id::Target,
        /// Incarnation that does not answer.
        incarnation: u64,
    },
    /// Declares that a lost target answers again without having been restarted.
    TargetBack {
        /// Target.
        target: id::Target,
        /// Incarnation that answers.
        incarnation: u64,
    },
    /// Removes a target that does not serve and owns nothing.
    Forget {
        /// Target.
        target: id::Target,
        /// Incarnation to remove.
        incarnation: u64,
    },
    /// Ends the lanes of a host whose lease lapsed or whose process was restarted.
    HostLost {
        /// Host.
        host: id::Host,
        /// Incarnation of its process that ended.
        incarnation: u64,
    },
    /// Allows a host to hold lanes.
    HostUp {
        /// Host.
        host: id::Host,
        /// Incarnation of its process.
        incarnation: u64,
    },
    /// Marks a host as stopping, so that its lanes are handed over.
    Stopping {
        /// Host.
        host: id::Host,
        /// Incarnation of its process.
        incarnation: u64,
    },
    /// Assigns a lane to a target that has none.
    Lane {
        /// Target.
        target: id::Target,
        /// Token of the previous lane.
        token: id::Token,
        /// Host of the new lane.
        host: id::Host,
    },
    /// Assigns a standby to a lane.
    Standby {
        /// Target.
        target: id::Target,
        /// Token of the lane.
        token: id::Token,
        /// Host of the standby.
        host: id::Host,
    },
    /// Records that the standby has a complete copy of the lane's ledger.
    Copied {
        /// Target.
        target: id::Target,
        /// Token of the lane.
        token: id::Token,
        /// Host of the standby.
        host: id::Host,
    },
    /// Ends a lane, so that its standby takes over once the lane's host has confirmed.
    Yield {
        /// Target.
        target: id::Target,
        /// Token of the lane.
        token: id::Token,
    },
    /// Records that an ending lane sends nothing more; its standby takes over.
    Left {
        /// Target.
        target: id::Target,
        /// Token of the lane.
        token: id::Token,
    },
    /// Grants shards that have no owner.
    Own {
        /// Service.
        service: id::Service,
        /// Shards and their new owners.
        grants: Vec<Grant>,
    },
    /// Starts to move shards to other targets.
    Move {
        /// Service.
        service: id::Service,
        /// Shards and their destinations.
        shifts: Vec<Shift>,
    },
    /// Records that a lane sends no more work of these moving shards and pins to its target.
    Released {
        /// Target.
        target: id::Target,
        /// Token of the lane that released them.
        token: id::Token,
        /// Released shards and pins.
        releases: Vec<report::Release>,
    },
    /// Gives a key an owner of its own, or changes that owner.
    Pin(Pin),
    /// Ends a pin; its key returns to the owner of its shard.
    Unpin {
        /// Service.
        service: id::Service,
        /// Key.
        key: Bytes,
        /// Token of the pin's grant.
        token: id::Token,
    },
}

/// Announcement of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce {
    /// Name of the target.
    pub target: id::Target,
    /// Service that the target belongs to.
    pub service: id::Service,
    /// Address at which it accepts requests.
    pub address: net::SocketAddr,
    /// Incarnation, which rises with each start; a new incarnation has no memory of its grants.
    pub incarnation: u64,
    /// Number of requests that it processes at a time.
    pub slots: id::Slots,
    /// Maximum number of connections.
    pub connections: u16,
    /// Whether it rejects requests with a lower fencing token than it has seen.
    pub checks_tokens: bool,
    /// Whether it asks for no new work.
    pub draining: bool,
    /// Whether it asks to be removed once its work is done.
    pub leaving: bool,
    /// Warm-up progress, from 0 (cold start) to 1 (full rate).
    pub warm: f32,
}

/// Grant of a shard to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Shard to grant.
    pub shard: id::Shard,
    /// New owner.
    pub target: id::Target,
}

/// Move of a shard to another target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shift {
    /// Shard to move.
    pub shard: id::Shard,
    /// Token of its current grant.
    pub token: id::Token,
    /// Next owner.
    pub to: id::Target,
}

/// Assignment of a key to an owner of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// Service.
    pub service: id::Service,
    /// Key.
    pub key: Bytes,
    /// Token of the key's current grant: that of its pin, or else that of its shard.
    pub token: id::Token,
    /// New owner.
    pub to: id::Target,
    /// Whether an operator set it.
    pub operator: bool,
}

/// Result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command took effect.
    Done,
    /// The command had no effect: the state that it was decided on has changed since.
    Stale,
}
