//! The standby of a lane: stores a copy of its ledger and grants send permits.

use std::time::Duration;

use indexmap::IndexMap;
use yucca_wire::id;

use crate::lane;
use crate::ledger;

/// A message from a lane to its standby.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The complete ledger of a lane.
    CopyAll {
        /// The lane's fencing token.
        token: id::Token,
        /// The number of the copy.
        number: u64,
        /// The ledger.
        ledger: ledger::Snapshot,
    },
    /// One entry, with a request for a send permit.
    Copy {
        /// The lane's fencing token.
        token: id::Token,
        /// The entry.
        entry: ledger::Entry,
    },
    /// The outcome of a request.
    Settle {
        /// The lane's fencing token.
        token: id::Token,
        /// The entry.
        entry: ledger::Entry,
    },
}

/// Answer of a standby.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// The complete ledger is stored.
    Copied {
        /// The number of the copy.
        number: u64,
    },
    /// The entry is stored; the lane may send the request.
    Permit {
        /// The request.
        id: id::Request,
        /// The sequence number of the entry.
        seq: u64,
    },
    /// The lane may not send the request.
    PermitRefused {
        /// The request.
        id: id::Request,
        /// The sequence number of the entry.
        seq: u64,
        /// The reason.
        reason: lane::Reason,
    },
}

/// The standby of one target's lane.
///
/// Send permits do not depend on clocks: the entry is stored here before the lane may send, and
/// after [`take_over`](Self::take_over) nothing more is stored for that lane. So the ledger here
/// contains every non-idempotent request that the old lane ever sends, and the new lane treats each
/// one without an outcome as possibly run.
#[derive(Debug, Clone)]
pub struct Standby {
    window: Duration,
    capacity: usize,
    ledger: ledger::Ledger,
    /// Ends of the ledger gaps, by shard or, without a shard, for the whole target.
    gaps: IndexMap<Option<id::Shard>, Duration>,
    /// Token of the lane whose ledger is stored.
    token: Option<id::Token>,
    /// Lanes with this token or a lower one get no more permits.
    ended: Option<id::Token>,
}

impl Standby {
    /// Creates a standby without a ledger copy.
    pub fn new(window: Duration, capacity: usize) -> Self {
        Self {
            window,
            capacity,
            ledger: ledger::Ledger::new(window, capacity),
            gaps: IndexMap::new(),
            token: None,
            ended: None,
        }
    }

    /// Processes a message from a lane and returns the answer, if there is one.
    pub fn step(&mut self, input: Input, now: Duration) -> Option<Output> {
        self.ledger.expire(now);
        match input {
            Input::CopyAll {
                token,
                number,
                ledger,
            } => self.copy_all(token, number, &ledger, now),
            Input::Copy { token, entry } => Some(self.copy(token, &entry, now)),
            Input::Settle { token, entry } => {
                if self.token == Some(token) {
                    self.ledger.write(&entry, now);
                }
                None
            }
        }
    }

    /// Takes over the lane with `token`: it and earlier lanes get no more permits.
    ///
    /// Returns the state for the new lane. If this standby has no complete copy of that lane's
    /// ledger, the state contains a gap for the whole target that lasts one ledger window.
    pub fn take_over(&mut self, token: id::Token, now: Duration) -> lane::Takeover {
        self.ledger.expire(now);
        self.ended = self.ended.max(Some(token));
        lane::Takeover {
            ledger: self.snapshot(token, now),
            predecessor_slots: id::Slots(0),
            predecessor_until: now,
        }
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// Returns whether it has a complete copy of the ledger of the lane with this token.
    pub fn is_complete(&self, token: id::Token) -> bool {
        self.token == Some(token)
    }

    /// Returns a copy of the ledger. It has a gap for the whole target if the ledger is not that of
    /// the lane with `token`.
    fn snapshot(&self, token: id::Token, now: Duration) -> ledger::Snapshot {
        let mut gaps: Vec<_> = self
            .gaps
            .iter()
            .map(|(shard, until)| ledger::Gap {
                shard: *shard,
                remaining: until.saturating_sub(now),
            })
            .collect();
        if self.token != Some(token) {
            gaps.push(ledger::Gap {
                shard: None,
                remaining: self.window,
            });
        }
        ledger::Snapshot {
            entries: self.ledger.entries().collect(),
            gaps,
        }
    }

    fn copy_all(
        &mut self,
        token: id::Token,
        number: u64,
        ledger: &ledger::Snapshot,
        now: Duration,
    ) -> Option<Output> {
        if self.ended >= Some(token) || self.token > Some(token) {
            return None;
        }
        if self.token != Some(token) {
            self.ledger = ledger::Ledger::new(self.window, self.capacity);
            self.gaps.clear();
            self.token = Some(token);
        }
        for gap in &ledger.gaps {
            self.gaps.insert(gap.shard, now + gap.remaining);
        }
        for entry in &ledger.entries {
            self.ledger.write(entry, now);
        }
        Some(Output::Copied { number })
    }

    fn copy(&mut self, token: id::Token, entry: &ledger::Entry, now: Duration) -> Output {
        let id = entry.id;
        let seq = entry.seq;
        let refusal = self.rejection(token, entry);
        if let Some(reason) = refusal {
            return Output::PermitRefused { id, seq, reason };
        }
        let written = self.ledger.write(entry, now);
        if written {
            Output::Permit { id, seq }
        } else {
            let reason = lane::Reason::Stale;
            Output::PermitRefused { id, seq, reason }
        }
    }

    fn rejection(&self, token: id::Token, entry: &ledger::Entry) -> Option<lane::Reason> {
        if self.ended >= Some(token) || self.token > Some(token) {
            return Some(lane::Reason::TakenOver);
        }
        if self.token != Some(token) {
            return Some(lane::Reason::NoCopy);
        }
        let known = self.ledger.get(entry.id).is_some();
        let full = !known && self.ledger.room() == 0;
        full.then_some(lane::Reason::Full)
    }
}
