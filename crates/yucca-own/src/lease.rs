//! How holder and grantor of a lease count its time, so that it ends for the holder first.

use std::time;

/// How much two clocks may differ in rate: one part in so many.
const CLOCK_SLACK: u32 = 50;

/// The lease of an entry host: its lanes send nothing later than this after the report that was
/// answered, and its control process takes its lanes away only after it lapsed.
pub const HOST: time::Duration = time::Duration::from_millis(700);

/// How long the holder may act, counted from when it sent the request that was granted.
pub fn holder(lease: time::Duration) -> time::Duration {
    lease - lease / CLOCK_SLACK
}

/// How long the grantor waits, counted from when it last granted.
pub fn grantor(lease: time::Duration) -> time::Duration {
    lease + lease / CLOCK_SLACK
}
