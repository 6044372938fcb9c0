//! Takeover of an earlier lane and handover to the next.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;

use super::{Lane, Output, Place, Takeover};
use crate::ledger;
use crate::request;

impl Lane {
    pub(super) fn take_over(&mut self, takeover: Takeover) {
        self.gaps.retain(|shard, _| shard.is_some());
        self.inherit(takeover.ledger);
        self.set_predecessor_slots(takeover.predecessor_slots, takeover.predecessor_until);
    }

    /// Adds the ledger entries and gaps of another lane. Requests of pending entries may have run.
    pub(super) fn inherit(&mut self, ledger: ledger::Snapshot) {
        if ledger.entries.is_empty() && ledger.gaps.is_empty() {
            return;
        }
        for entry in ledger.entries {
            self.inherit_entry(&entry);
        }
        for gap in ledger.gaps {
            let until = self.now + gap.remaining;
            let known = self.gaps.entry(gap.shard).or_insert(until);
            *known = until.max(*known);
        }
        self.restart_copy();
    }

    /// Returns a copy of the ledger, of one shard or of all.
    pub fn snapshot(&self, shard: Option<id::Shard>) -> ledger::Snapshot {
        let wanted = |of: Option<id::Shard>| shard.is_none() || of == shard;
        let entries = self.ledger.entries();
        let entries = entries.filter(|entry| wanted(entry.shard)).collect();
        let gaps = self.gaps.iter();
        let gaps = gaps.filter(|(of, _)| of.is_none() || wanted(**of));
        let gaps = gaps.map(|(of, until)| ledger::Gap {
            shard: of.or(shard),
            remaining: until.saturating_sub(self.now),
        });
        ledger::Snapshot {
            entries,
            gaps: gaps.collect(),
        }
    }

    /// Records the outcome that an earlier lane reports, if it was unknown so far.
    pub(super) fn settled(&mut self, entry: &ledger::Entry) {
        let Some(known) = self.ledger.get(entry.id) else {
            return;
        };
        let unknown = known.state == ledger::State::Unknown;
        if unknown && matches!(entry.state, ledger::State::Answered(_)) {
            self.settle(entry.id, entry.state);
        }
    }

    pub(super) fn set_predecessor_slots(&mut self, slots: id::Slots, until: Duration) {
        let over = slots.0 == 0 || until <= self.now;
        self.slots
            .set_predecessor_slots(if over { id::Slots(0) } else { slots });
        self.predecessor_until = (!over).then_some(until);
    }

    /// Stops the lane because a newer lane of the target exists: refuses the waiting requests and
    /// sends no more.
    pub(super) fn supersede(&mut self) {
        self.superseded = true;
        let detail = format!("the lane of {} moved to another host", self.config.target);
        let problem = problem::Problem::not_run(problem::Kind::Stopping, detail);
        for id in self.waiting_ids() {
            self.refuse_waiting(id, &problem);
        }
    }

    pub(super) fn hand_over(&mut self, to: id::Host) {
        if self.is_closed() {
            return;
        }
        for id in self.waiting_ids() {
            self.forward(id, &Place::Host(to.clone()));
        }
        self.handed_to = Some(to.clone());
        let held = self.slots.held();
        self.reported_held = Some(held);
        self.outputs.push(Output::HandOver {
            to,
            ledger: self.snapshot(None),
            held: id::Slots(held),
        });
    }

    /// Reports the number of slots that are still occupied to the host that the lane was handed
    /// over to, if that number has changed.
    pub(super) fn report_held(&mut self) {
        let Some(to) = self.handed_to.clone() else {
            return;
        };
        let held = self.slots.held();
        if self.reported_held != Some(held) {
            self.reported_held = Some(held);
            self.outputs.push(Output::HeldSlots {
                to,
                slots: id::Slots(held),
            });
        }
    }

    fn inherit_entry(&mut self, entry: &ledger::Entry) {
        let state = match entry.state {
            ledger::State::Answered(status) => ledger::State::Answered(status),
            ledger::State::Withdrawn => return,
            _ => ledger::State::Unknown,
        };
        let known = self.ledger.get(entry.id);
        let answered = |entry: &ledger::Entry| matches!(entry.state, ledger::State::Answered(_));
        if known.as_ref().is_some_and(answered) || self.is_running(entry.id) {
            return;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        let entry = ledger::Entry {
            seq,
            state,
            ..entry.clone()
        };
        self.ledger.write(&entry, self.now);
        self.replay_waiting(&entry);
    }

    fn is_running(&self, id: id::Request) -> bool {
        let active = self.requests.get(&id);
        active.is_some_and(|active| active.attempt().is_some())
    }

    /// Answers the callers of a waiting request that an earlier lane may have run.
    fn replay_waiting(&mut self, entry: &ledger::Entry) {
        self.unqueue(entry.id);
        let Some(active) = self.requests.swap_remove(&entry.id) else {
            return;
        };
        let outcome = match entry.state {
            ledger::State::Answered(status) => request::Outcome::Answered(status),
            _ => request::Outcome::Unknown,
        };
        let first = active.awaited.then_some(active.arrival.caller);
        let mut callers: Vec<_> = first.into_iter().collect();
        for attached in active.attached {
            self.waiting_bytes = self.waiting_bytes.saturating_sub(attached.bytes);
            callers.push(attached.caller);
        }
        for caller in callers {
            self.outputs.push(Output::Replay {
                id: entry.id,
                caller,
                outcome,
            });
        }
    }

    fn waiting_ids(&self) -> Vec<id::Request> {
        let waiting = self.requests.values();
        let waiting = waiting.filter(|active| active.attempt().is_none());
        waiting.map(|active| active.arrival.id).collect()
    }
}
