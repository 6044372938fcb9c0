//! Whether the process knows enough to serve.

use std::sync::atomic;

/// What the process must know before it is ready.
///
/// A process that restarts is ready only once it has heard from its domain's leader, or leads
/// itself, so that it never gives out an older table than it did before.
#[derive(Debug, Default)]
pub struct Ready {
    current: atomic::AtomicBool,
    stopping: atomic::AtomicBool,
}

impl Ready {
    /// Notes that the process is current.
    pub fn note_current(&self) {
        if !self.current.swap(true, atomic::Ordering::AcqRel) {
            log::info!("ready");
        }
    }

    /// Notes that the process stops.
    pub fn stop(&self) {
        self.stopping.store(true, atomic::Ordering::Release);
    }

    /// Tells whether the process is current.
    pub fn is_current(&self) -> bool {
        self.current.load(atomic::Ordering::Acquire)
    }

    /// Tells whether the process may be asked.
    pub fn is_ready(&self) -> bool {
        self.is_current() && !self.stopping.load(atomic::Ordering::Acquire)
    }
}
