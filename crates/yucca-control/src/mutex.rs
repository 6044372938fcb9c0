//! Locking of mutexes that may be poisoned.

use std::sync;

/// Locks a mutex, even if an earlier holder panicked.
pub(crate) fn lock<T: ?Sized>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
