//! Client-side slots of one target, for the baselines that count them.

use tokio::sync::{Semaphore, SemaphorePermit};
use yucca_wire::table;

/// The slots of each target.
const SLOTS: usize = 3;

/// How many of them long work never holds, where classes count.
const SHORT_RESERVE: usize = 1;

/// How many requests go to a target at a time where its slots are left to itself: its connections.
const CONNECTIONS: usize = 130;

/// What a target's requests wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// A connection; the target queues.
    Connection,
    /// A slot, in order of arrival.
    Slot,
    /// A slot, of which long work never holds the last.
    Class,
}

/// The queue before one target.
#[derive(Debug)]
pub struct Queue {
    slots: Semaphore,
    long: Semaphore,
}

/// A place at the target; its drop frees it.
pub struct Held<'a> {
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

    /// Waits for a place.
    pub async fn take(&self, class: table::Class) -> Held<'_> {
        let long = match class {
            table::Class::Long => self.long.acquire().await.ok(),
            table::Class::Short => None,
        };
        Held {
            _slot: self.slots.acquire().await.ok(),
            _long: long,
        }
    }
}
