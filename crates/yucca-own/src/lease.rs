//! Lease durations for holder and grantor.
//!
//! The holder shortens the lease and the grantor extends it by the allowed clock error, so that the
//! lease always ends for the holder first.

use std::time;

/// The rates of two clocks may differ by one part in this number.
const CLOCK_SLACK: u32 = 50;

/// Lease of an entry host. Its lanes send nothing later than this after the last report that was
/// answered, and the control process reassigns its lanes only after the lease has lapsed.
pub const HOST: time::Duration = time::Duration::from_millis(700);

/// Returns how long the holder may act, counted from when it sent the granted request.
pub fn holder(lease: time::Duration) -> time::Duration {
    lease - lease / CLOCK_SLACK
}

/// Returns how long the grantor waits before it reassigns, counted from its last grant.
pub fn grantor(lease: time::Duration) -> time::Duration {
    lease + lease / CLOCK_SLACK
}
