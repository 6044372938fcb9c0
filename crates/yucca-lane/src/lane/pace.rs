//! Number of slots for long requests.
//!
//! A long request cannot be interrupted, so its slot is unavailable to short requests for a long
//! time. Long requests get one slot, and more only while short requests leave slots free, or when
//! their deadlines or the limit of the queue require it.

use super::Lane;

/// Number of slots left to short requests for each slot that they occupy on average.
const SHORT_HEADROOM: f64 = 2.0;

/// Share of the queue limit above which long requests get all the slots that they may occupy, while
/// no short request runs.
const FULL_SHARE: f64 = 0.25;

/// Number of queue positions at which the required number of slots is computed.
const SAMPLE_POINTS: usize = 4;

impl Lane {
    /// Returns whether one more long request may start now.
    pub(super) fn long_may_start(&self) -> bool {
        let held = f64::from(self.slots.held_long());
        let spare = f64::from(self.slots.usable()) - SHORT_HEADROOM * self.short_busy.average();
        let allowed = spare.max(1.0);
        let no_short = self.slots.held() == self.slots.held_long();
        let catches_up = no_short && self.is_long_queue_crowded();
        held + 1.0 <= allowed || held < self.long_slots_needed() || catches_up
    }

    /// Returns the number of slots that the waiting long requests need to meet their deadlines.
    fn long_slots_needed(&self) -> f64 {
        let waiting = self.long.len();
        let mean = self.long_times.mean().unwrap_or_default().as_secs_f64();
        let step = waiting.div_ceil(SAMPLE_POINTS).max(1);
        let points = self.long.iter().enumerate().skip(step - 1).step_by(step);
        let needs = points.map(|(at, entry)| {
            let left = entry.due.saturating_sub(self.now).as_secs_f64();
            (at + 1) as f64 * mean / left.max(f64::EPSILON)
        });
        needs.fold(0.0, f64::max)
    }

    fn is_long_queue_crowded(&self) -> bool {
        let bound = f64::from(self.config.limits.queue_requests);
        self.long.len() as f64 > bound * FULL_SHARE
    }
}
