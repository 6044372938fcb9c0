//! Slots of a target and the queue of requests that wait for one, in order of arrival.

use std::sync;
use std::sync::atomic;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use yucca_wire::id;

/// Slots of one target.
#[derive(Debug)]
pub struct Slots {
    count: u16,
    free: sync::Arc<Semaphore>,
    waiting: atomic::AtomicUsize,
    queue: usize,
}

/// An occupied slot; freed when dropped.
pub type Guard = OwnedSemaphorePermit;

impl Slots {
    /// Creates `count` free slots and a queue of at most `queue` waiting requests.
    pub fn new(count: id::Slots, queue: usize) -> Self {
        Self {
            count: count.0,
            free: sync::Arc::new(Semaphore::new(count.0.into())),
            waiting: atomic::AtomicUsize::new(0),
            queue,
        }
    }

    /// Waits for a slot. Returns `None` if the queue is full.
    pub async fn acquire(&self) -> Option<Guard> {
        if let Ok(guard) = self.free.clone().try_acquire_owned() {
            return Some(guard);
        }
        let _waiter = Waiter::enter(&self.waiting, self.queue)?;
        self.free.clone().acquire_owned().await.ok()
    }

    /// Returns the number of occupied slots.
    pub fn running(&self) -> usize {
        usize::from(self.count).saturating_sub(self.free.available_permits())
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.load(atomic::Ordering::Relaxed)
    }
}

/// A place in the queue; left when dropped.
struct Waiter<'a>(&'a atomic::AtomicUsize);

impl<'a> Waiter<'a> {
    fn enter(waiting: &'a atomic::AtomicUsize, limit: usize) -> Option<Self> {
        let before = waiting.fetch_add(1, atomic::Ordering::Relaxed);
        let waiter = Self(waiting);
        (before < limit).then_some(waiter)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
