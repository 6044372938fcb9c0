//! Readiness of the process.

use std::sync::atomic;

/// The readiness of the process.
///
/// After a start the process is ready only when it has had a reply from a current process of its
/// domain, or leads its domain and has polled the other domains or waited for them, so that it
/// never serves an older table than it did before.
#[derive(Debug, Default)]
pub struct Ready {
    current: atomic::AtomicBool,
    stopping: atomic::AtomicBool,
}

impl Ready {
    /// Marks the process as current: it has the newest versions that it can get.
    pub fn mark_current(&self) {
        if !self.current.swap(true, atomic::Ordering::AcqRel) {
            log::info!("ready");
        }
    }

    /// Marks the process as stopping.
    pub fn stop(&self) {
        self.stopping.store(true, atomic::Ordering::Release);
    }

    /// Returns whether the process is current.
    pub fn is_current(&self) -> bool {
        self.current.load(atomic::Ordering::Acquire)
    }

    /// Returns whether the process is current and not stopping.
    pub fn is_ready(&self) -> bool {
        self.is_current() && !self.stopping.load(atomic::Ordering::Acquire)
    }
}
