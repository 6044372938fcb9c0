//! Locking of state that tasks share.

use std::sync;

/// Locks a mutex, even if another holder panicked: the guarded state stays usable then.
pub(crate) fn lock<T: ?Sized>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
