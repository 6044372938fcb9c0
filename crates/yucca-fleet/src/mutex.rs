//! Locks of what tasks share.

use std::sync;

/// Locks a mutex; a panic of another holder leaves nothing half done that matters here.
pub(crate) fn lock<T: ?Sized>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
