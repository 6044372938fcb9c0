//! What a standby keeps for a lane: its ledger, and with it the leave to send.

use std::time::Duration;

use indexmap::IndexMap;
use yucca_wire::id;

use crate::lane;
use crate::ledger;

/// What a lane asks of its standby.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The whole ledger of the lane with this token.
    CopyAll {
        /// The lane's fencing token.
        token: id::Token,
        /// The number of the copy.
        number: u64,
        /// The ledger.
        ledger: ledger::Snapshot,
    },
    /// One entry, for which leave to send is asked.
    Copy {
        /// The lane's fencing token.
        token: id::Token,
        /// The entry.
        entry: ledger::Entry,
    },
    /// How a request ended.
    Settle {
        /// The lane's fencing token.
        token: id::Token,
        /// The entry.
        entry: ledger::Entry,
    },
}

/// What a standby answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// The whole ledger was taken in.
    Copied {
        /// The number of the copy.
        number: u64,
    },
    /// The entry is written; the lane may send the request.
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
        /// Why not.
        reason: lane::Reason,
    },
}

/// The standby of one target's lane.
///
/// Leave to send does not rest on clocks: the entry is written here before the lane may send, and
/// after [`take_over`](Self::take_over) nothing more is written for that lane. So every request
/// that the old lane ever sends is known here as perhaps run.
#[derive(Debug, Clone)]
pub struct Standby {
    window: Duration,
    capacity: usize,
    ledger: ledger::Ledger,
    /// What the lane does not know, by shard or for the whole target, and until when.
    gaps: IndexMap<Option<id::Shard>, Duration>,
    /// The lane whose ledger is held.
    token: Option<id::Token>,
    /// The lane with this token, and all before it, get no more leave.
    ended: Option<id::Token>,
}

impl Standby {
    /// Returns a standby that holds nothing.
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

    /// Takes in what a lane asks and returns the answer, where there is one.
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

    /// Takes the lane with `token` over: it and earlier ones get no more leave from now on.
    ///
    /// Returns what the new lane must know. Where this standby had no whole copy of that lane's
    /// ledger, the new lane is blind for a window.
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

    /// Tells whether it holds the whole ledger of the lane with this token.
    pub fn is_whole(&self, token: id::Token) -> bool {
        self.token == Some(token)
    }

    /// Returns what is known of the lane with `token`; blind where another's ledger is held.
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
        let refusal = self.objection(token, entry);
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

    fn objection(&self, token: id::Token, entry: &ledger::Entry) -> Option<lane::Reason> {
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
