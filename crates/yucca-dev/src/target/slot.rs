//! The slots of a target, and the requests that wait for one in order of arrival.

use std::sync;
use std::sync::atomic;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use yucca_wire::id;

/// The slots of one target.
#[derive(Debug)]
pub struct Slots {
    count: u16,
    free: sync::Arc<Semaphore>,
    waiting: atomic::AtomicUsize,
    queue: usize,
}

/// A slot that is held; its drop frees it.
pub type Held = OwnedSemaphorePermit;

impl Slots {
    /// Returns free slots, for which at most `queue` requests wait.
    pub fn new(count: id::Slots, queue: usize) -> Self {
        Self {
            count: count.0,
            free: sync::Arc::new(Semaphore::new(count.0.into())),
            waiting: atomic::AtomicUsize::new(0),
            queue,
        }
    }

    /// Waits for a slot; none where too many wait already.
    pub async fn take(&self) -> Option<Held> {
        if let Ok(held) = self.free.clone().try_acquire_owned() {
            return Some(held);
        }
        let _place = Place::enter(&self.waiting, self.queue)?;
        self.free.clone().acquire_owned().await.ok()
    }

    /// Returns how many slots are held.
    pub fn running(&self) -> usize {
        usize::from(self.count).saturating_sub(self.free.available_permits())
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(atomic::Ordering::Relaxed)
    }
}

/// A place in the queue; its drop leaves it.
struct Place<'a>(&'a atomic::AtomicUsize);

impl<'a> Place<'a> {
    fn enter(waiting: &'a atomic::AtomicUsize, limit: usize) -> Option<Self> {
        let before = waiting.fetch_add(1, atomic::Ordering::Relaxed);
        let place = Self(waiting);
        (before < limit).then_some(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
