//! Why targets get no request.

use std::fmt;
use std::time;

use crate::shared::{service, target};

/// Number of targets by the reason for which they get no request at some time, for the log line of a
/// refused one. Each counts once, by the first reason that applies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Survey {
    /// All targets that might get the request.
    pub targets: u32,
    /// Those that accept no requests.
    pub closed: u32,
    /// Those that leave.
    pub left: u32,
    /// Those that asked for rest.
    pub resting: u32,
    /// Those that are paused after failures or refusals.
    pub paused: u32,
    /// Those whose stated limit leaves this host no request.
    pub limited: u32,
    /// Those without room.
    pub full: u32,
    /// Requests of this host at all of them.
    pub own: u32,
    /// Requests of other hosts at all of them, as far as known and estimated.
    pub others: u32,
}

impl Survey {
    pub(super) fn add(&mut self, target: &target::Target, now: time::Duration) {
        self.targets += 1;
        self.own = self.own.saturating_add(target.own);
        self.others = self.others.saturating_add(target.others);
        let reason = if !target.facts.open {
            &mut self.closed
        } else if target.has_left(now) {
            &mut self.left
        } else if target.rests(now) {
            &mut self.resting
        } else if !target.is_up(now) {
            &mut self.paused
        } else if !target.limit_allows(now) {
            &mut self.limited
        } else if !service::has_room(target) {
            &mut self.full
        } else {
            return;
        };
        *reason += 1;
    }
}

impl fmt::Display for Survey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "targets={}", self.targets)?;
        let reasons = [
            ("closed", self.closed),
            ("left", self.left),
            ("resting", self.resting),
            ("paused", self.paused),
            ("limited", self.limited),
            ("full", self.full),
        ];
        for (reason, count) in reasons.iter().filter(|(_, count)| *count > 0) {
            write!(f, " {reason}={count}")?;
        }
        write!(f, " own={} others={}", self.own, self.others)
    }
}
