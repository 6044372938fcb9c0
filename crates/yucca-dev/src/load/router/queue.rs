//! Client-side queue in front of one target, for the baselines.

use tokio::sync::{Semaphore, SemaphorePermit};
use yucca_wire::table;

/// Number of slots of each target.
const SLOTS: usize = 3;

/// Number of slots that long work can't take under [`Policy::Class`].
const SHORT_RESERVE: usize = 1;

/// Maximum number of concurrent requests to a target under [`Policy::Connection`]: the target's
/// limit of connections.
const CONNECTIONS: usize = 130;

/// Resource of a target that each request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// A connection. The target itself queues for its slots.
    Connection,
    /// A slot, in order of arrival.
    Slot,
    /// A slot. Long work never takes the last one.
    Class,
}

/// Queue in front of one target.
#[derive(Debug)]
pub struct Queue {
    slots: Semaphore,
    long: Semaphore,
}

/// Permission to send one request to the target, released on drop.
pub struct Permit<'a> {
    _slot: Option<SemaphorePermit<'a>>,
    _long: Option<SemaphorePermit<'a>>,
}

impl Queue {
    /// Returns an empty queue.
    pub fn new(policy: Policy) -> Self {
        let limit = match policy {
            Policy::Connection => CONNECTIONS,
            Policy::Slot | Policy::Class => SLOTS,
        };
        let long = match policy {
            Policy::Class => SLOTS - SHORT_RESERVE,
            Policy::Connection | Policy::Slot => Semaphore::MAX_PERMITS,
        };
        Self {
            slots: Semaphore::new(limit),
            long: Semaphore::new(long),
        }
    }

    /// Waits for a permit.
    pub async fn acquire(&self, class: table::Class) -> Permit<'_> {
        let long = match class {
            table::Class::Long => self.long.acquire().await.ok(),
            table::Class::Short => None,
        };
        Permit {
            _slot: self.slots.acquire().await.ok(),
            _long: long,
        }
    }
}
