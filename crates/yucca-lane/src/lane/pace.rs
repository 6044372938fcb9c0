//! How many slots long work gets.
//!
//! Long work cannot be interrupted, so a slot that it takes is lost to short work for a long
//! time. It gets one slot, and more only while short work leaves room, or as many as its deadlines
//! or its queue's bound need.

use super::Lane;

/// How many slots are kept free for each slot that short work keeps busy on average.
const SHORT_HEADROOM: f64 = 2.0;

/// The share of the queue's bound beyond which long work gets all the slots that it may hold, at
/// moments without short work.
const FULL_SHARE: f64 = 0.25;

/// In how many places of the queue the needed pace is computed.
const PACE_POINTS: usize = 4;

impl Lane {
    /// Tells whether one more long request may start now.
    pub(super) fn long_may_start(&self) -> bool {
        let held = f64::from(self.slots.held_long());
        let spare = f64::from(self.slots.usable()) - SHORT_HEADROOM * self.short_level.average();
        let allowed = spare.max(1.0);
        let quiet = self.slots.held() == self.slots.held_long();
        let catches_up = quiet && self.long_is_crowded();
        held + 1.0 <= allowed || held < self.long_pace() || catches_up
    }

    /// Returns how many slots long work needs to end by its deadlines.
    fn long_pace(&self) -> f64 {
        let waiting = self.long.len();
        let mean = self.long_time.mean().unwrap_or_default().as_secs_f64();
        let step = waiting.div_ceil(PACE_POINTS).max(1);
        let points = self.long.iter().enumerate().skip(step - 1).step_by(step);
        let paces = points.map(|(at, entry)| {
            let left = entry.due.saturating_sub(self.now).as_secs_f64();
            (at + 1) as f64 * mean / left.max(f64::EPSILON)
        });
        paces.fold(0.0, f64::max)
    }

    fn long_is_crowded(&self) -> bool {
        let bound = f64::from(self.config.limits.queue_requests);
        self.long.len() as f64 > bound * FULL_SHARE
    }
}
