//! Selection of the next request to send.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::table;

use super::{Lane, Output};
use crate::queue;
use crate::request;

/// Maximum number of requests at the head of a queue that are checked for one that may be sent.
const LOOKAHEAD: usize = 16;

/// Assumed service time of long requests before there is an estimate.
const DEFAULT_LONG_TIME: Duration = Duration::from_secs(1);

/// Number of deviations above the mean that a long request is assumed to take when its latest
/// start is computed.
const URGENT_DEVIATIONS: f64 = 3.0;

impl Lane {
    /// Sends waiting requests while slots are free.
    pub(super) fn dispatch(&mut self) {
        self.copy_ledger();
        if !self.may_send() {
            return;
        }
        self.request_permits();
        while self.may_send()
            && let Some(id) = self.next_to_send()
        {
            self.send(id);
        }
    }

    /// Returns the time by which the first long request must start to meet its deadline.
    pub(super) fn urgent_at(&self) -> Option<Duration> {
        let first = self.long.first()?;
        let at = first.due.saturating_sub(self.expected_long_time());
        (at > self.now).then_some(at)
    }

    /// Returns the next request to send. Short requests go first unless a long request must start
    /// now to meet its deadline.
    fn next_to_send(&self) -> Option<id::Request> {
        if self.long_is_urgent()
            && let Some(id) = self.sendable(table::Class::Long)
        {
            return Some(id);
        }
        let short = self.sendable(table::Class::Short);
        short.or_else(|| {
            let may_start = self.long_may_start();
            may_start
                .then(|| self.sendable(table::Class::Long))
                .flatten()
        })
    }

    fn long_is_urgent(&self) -> bool {
        let first = self.long.first();
        first.is_some_and(|first| first.due.saturating_sub(self.expected_long_time()) <= self.now)
    }

    fn expected_long_time(&self) -> Duration {
        let upper = self.long_times.upper(URGENT_DEVIATIONS);
        upper.unwrap_or(DEFAULT_LONG_TIME)
    }

    fn sendable(&self, class: table::Class) -> Option<id::Request> {
        if !self.slots.has_room(class) {
            return None;
        }
        let queue = match class {
            table::Class::Short => &self.short,
            table::Class::Long => &self.long,
        };
        let mut near = queue.iter().take(LOOKAHEAD).map(|entry| entry.id);
        near.find(|id| self.has_permit(*id))
    }

    fn send(&mut self, id: id::Request) {
        self.unqueue(id);
        let now = self.now;
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        active.attempts += 1;
        active.phase = request::Phase::Running(request::Attempt {
            sent: now,
            deadline: active.arrival.deadline,
            head_received: false,
            aborted: false,
            overdue: false,
        });
        let output = Output::Send {
            id,
            caller: active.arrival.caller,
            attempt: active.attempts,
            deadline: active.arrival.deadline,
        };
        let class = active.arrival.class;
        self.slots.acquire(class);
        self.running.push(id);
        self.record_sent(id);
        self.outputs.push(output);
    }

    /// Removes a waiting request from its queue and from the counts of waiting requests.
    ///
    /// It stays in `requests`; the calling function changes its phase or removes it.
    pub(super) fn unqueue(&mut self, id: id::Request) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let due = active.arrival.deadline;
        let order = active.order;
        let class = active.arrival.class;
        let removed = match active.phase {
            request::Phase::Queued => match class {
                table::Class::Short => self.short.remove(due, order),
                table::Class::Long => self.long.remove(due, order),
            },
            request::Phase::Held => self.held.remove(due, order),
            request::Phase::Delayed(until) => self.delayed.remove(until, order),
            request::Phase::Running(_) => false,
        };
        if removed {
            self.waiting_bytes = self.waiting_bytes.saturating_sub(active.arrival.bytes);
            let entries = usize::from(!active.arrival.idempotent);
            self.waiting_ledger = self.waiting_ledger.saturating_sub(entries);
        }
    }

    /// Adds a request that is in no queue to the queue of `phase`.
    pub(super) fn requeue(&mut self, id: id::Request, phase: request::Phase) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        active.phase = phase;
        self.waiting_bytes += active.arrival.bytes;
        self.waiting_ledger += usize::from(!active.arrival.idempotent);
        let class = active.arrival.class;
        let mut entry = queue::Entry {
            due: active.arrival.deadline,
            order: active.order,
            id,
        };
        match phase {
            request::Phase::Held => self.held.insert(entry),
            request::Phase::Delayed(until) => {
                entry.due = until;
                self.delayed.insert(entry);
            }
            request::Phase::Queued | request::Phase::Running(_) => {
                self.queue_of(class).insert(entry);
            }
        }
    }
}
