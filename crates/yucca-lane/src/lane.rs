//! The lane: the only sender of requests to one target.

use std::mem;
use std::time::Duration;

use indexmap::IndexMap;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::table;

use crate::budget;
use crate::estimate;
use crate::evidence;
use crate::ledger;
use crate::owners;
use crate::queue;
use crate::request;
use crate::slots;

mod admit;
mod callers;
mod dispatch;
mod expire;
mod finish;
mod input;
mod moves;
mod output;
mod pace;
mod permit;
mod retry;
mod shed;
mod takeover;

pub use input::{Change, Input, Reason, Takeover};
pub use output::{Output, Place};

/// Configuration of a lane.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The target.
    pub target: id::Target,
    /// The lane's fencing token.
    pub token: id::Token,
    /// Number of requests that the target processes at a time.
    pub slots: id::Slots,
    /// Size limits of requests and queues, and the slots reserved for short requests.
    pub limits: table::Limits,
    /// Retry policy.
    pub retry: table::Retry,
    /// The host that takes the lane over when the lane's own host is lost.
    pub standby: Option<id::Host>,
    /// Whether the domain has only one host, so that non-idempotent requests are sent without a
    /// standby.
    pub single_host: bool,
    /// Warm-up progress of the target, from 0 (cold start) to 1 (full rate).
    pub warm: f32,
    /// Time for which the outcome of a non-idempotent request is stored after the request can no
    /// longer run.
    pub ledger_window: Duration,
    /// Maximum number of ledger entries.
    pub ledger_entries: usize,
    /// Whether an earlier lane of the target may have sent requests that are not in this lane's
    /// ledger. A resent id that the ledger does not contain is then answered `unknown` until the
    /// ledger window ends or [`Input::TakeOver`] provides the earlier ledger.
    pub ledger_gap: bool,
    /// Whether the service is divided by key.
    pub keyed: bool,
    /// Whether the target stops processing a request when its connection is closed. If not, a lost
    /// attempt occupies its slot until its deadline.
    pub stops_on_close: bool,
    /// End of the lane's lease; the lane may send only before it. `None` means no limit.
    pub lease: Option<Duration>,
    /// Seed of the pseudo-random numbers for retry pauses. The same seed gives the same pauses, so
    /// that a run can be repeated.
    pub seed: u64,
}

/// The state machine of one target's lane.
#[derive(Debug, Clone)]
pub struct Lane {
    config: Config,
    now: Duration,
    outputs: Vec<Output>,
    requests: IndexMap<id::Request, request::Active>,
    short: queue::Queue,
    long: queue::Queue,
    held: queue::Queue,
    delayed: queue::Queue,
    waiting_bytes: u64,
    waiting_ledger: usize,
    slots: slots::Slots,
    running: Vec<id::Request>,
    abandoned: Vec<request::Abandoned>,
    short_times: estimate::Estimate,
    long_times: estimate::Estimate,
    /// Number of slots that short requests occupy, averaged over recent time.
    short_busy: estimate::Average,
    budget: budget::Budget,
    evidence: evidence::Evidence,
    owners: owners::Owners,
    ledger: ledger::Ledger,
    standby_copy: permit::Copy,
    /// Ends of the ledger gaps, by shard or, without a shard, for the whole target.
    gaps: IndexMap<Option<id::Shard>, Duration>,
    predecessor_until: Option<Duration>,
    next_order: u64,
    next_seq: u64,
    random_state: u64,
    draining_since: Option<Duration>,
    handed_to: Option<id::Host>,
    reported_held: Option<u16>,
    superseded: bool,
}

impl Lane {
    /// Creates a lane without requests.
    ///
    /// The outputs of the first [`step`](Self::step) include the first copy of the ledger to the
    /// standby.
    pub fn new(config: Config, now: Duration) -> Self {
        let slots = slots::Slots::new(config.slots, config.limits.short_reserve, config.warm);
        let gap = config
            .ledger_gap
            .then(|| (None, now + config.ledger_window));
        Self {
            now,
            outputs: Vec::new(),
            requests: IndexMap::new(),
            short: queue::Queue::default(),
            long: queue::Queue::default(),
            held: queue::Queue::default(),
            delayed: queue::Queue::default(),
            waiting_bytes: 0,
            waiting_ledger: 0,
            slots,
            running: Vec::new(),
            abandoned: Vec::new(),
            short_times: estimate::Estimate::default(),
            long_times: estimate::Estimate::default(),
            short_busy: estimate::Average::default(),
            budget: budget::Budget::new(config.retry.budget),
            evidence: evidence::Evidence::new(now),
            owners: owners::Owners::default(),
            ledger: ledger::Ledger::new(config.ledger_window, config.ledger_entries),
            standby_copy: permit::Copy::default(),
            gaps: gap.into_iter().collect(),
            predecessor_until: None,
            next_order: 0,
            next_seq: 1,
            random_state: config.seed,
            draining_since: None,
            handed_to: None,
            reported_held: None,
            superseded: false,
            config,
        }
    }

    /// Processes an event and returns the actions to carry out, in order.
    pub fn step(&mut self, input: Input, now: Duration) -> Vec<Output> {
        self.now = self.now.max(now);
        let busy = self.slots.held() - self.slots.held_long();
        self.short_busy.update(f64::from(busy), self.now);
        self.expire();
        self.apply(input);
        self.dispatch();
        self.report_released();
        self.report_held();
        mem::take(&mut self.outputs)
    }

    /// Returns the load that is reported in answer heads and digests.
    pub fn load(&self, _now: Duration) -> head::Load {
        let silent = self.evidence.state() == evidence::State::Silent;
        let closed = silent || self.draining_since.is_some() || self.is_closed();
        let wait = if closed {
            Duration::MAX
        } else {
            self.predicted_wait(table::Class::Short, Duration::MAX)
        };
        head::Load {
            running: u32::from(self.slots.held()),
            waiting: u32::try_from(self.waiting()).unwrap_or(u32::MAX),
            wait_us: u64::try_from(wait.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the time by which the lane needs an [`Input::Tick`].
    pub fn next_wake(&self) -> Option<Duration> {
        let queues = [&self.short, &self.long, &self.held, &self.delayed];
        let due = queues.iter().filter_map(|queue| queue.first());
        let due = due.map(|entry| entry.due);
        let others = [
            self.slots.next_growth(),
            self.evidence.next_dial().filter(|_| !self.is_closed()),
            self.evidence.next_frozen_check(),
            self.next_attempt_event(),
            self.next_permit_event(),
            self.predecessor_until,
            self.urgent_at(),
            self.drain_grace_end(),
        ];
        due.chain(others.into_iter().flatten()).min()
    }

    /// Returns the observations about the target's health.
    pub fn evidence(&self) -> &evidence::Evidence {
        &self.evidence
    }

    /// Returns the lane's fencing token.
    pub fn token(&self) -> id::Token {
        self.config.token
    }

    /// Returns the standby if it has confirmed a complete copy of the ledger.
    pub fn copied(&self) -> Option<&id::Host> {
        let complete = self.standby_copy.is_complete();
        self.config.standby.as_ref().filter(|_| complete)
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// Returns the number of waiting requests in all queues.
    pub fn waiting(&self) -> usize {
        self.short.len() + self.long.len() + self.held.len() + self.delayed.len()
    }

    /// Returns the number of bytes that the waiting requests occupy.
    pub fn waiting_bytes(&self) -> u64 {
        self.waiting_bytes
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::Arrive(arrival) => self.arrive(arrival),
            Input::Cancel { id, caller } => self.cancel(id, caller),
            Input::Permit { id, seq } => self.permit_granted(id, seq),
            Input::PermitRefused { id, seq, reason } => self.permit_refused(id, seq, reason),
            Input::Copied { standby, number } => self.ledger_copied(&standby, number),
            Input::HeadReceived {
                id,
                attempt,
                status,
            } => self.head_received(id, attempt, status),
            Input::AttemptEnded {
                id,
                attempt,
                result,
            } => self.attempt_ended(id, attempt, result),
            Input::Owners(change) => self.change_ownership(change),
            Input::Configure { config, drain } => self.configure(*config, drain),
            Input::Renew { until } => self.config.lease = Some(until),
            Input::Alive => self.target_alive(),
            Input::Silent => self.evidence.record_connect_failure(self.now),
            Input::TakeOver(takeover) => self.take_over(takeover),
            Input::Settled { entry } => self.settled(&entry),
            Input::PredecessorSlots { slots, until } => self.set_predecessor_slots(slots, until),
            Input::HandOver { to } => self.hand_over(to),
            Input::Tick => {}
        }
    }

    /// Returns whether the lane may send any request now.
    fn may_send(&self) -> bool {
        let leased = self.config.lease.is_none_or(|until| self.now < until);
        let silent = self.evidence.state() == evidence::State::Silent;
        let trial_running = self.evidence.is_on_trial() && self.slots.held() > 0;
        leased
            && !self.is_closed()
            && !silent
            && !trial_running
            && !self.evidence.has_unexplained_failure()
    }

    /// Returns whether the lane was handed over or taken over.
    fn is_closed(&self) -> bool {
        self.superseded || self.handed_to.is_some()
    }

    fn queue_of(&mut self, class: table::Class) -> &mut queue::Queue {
        match class {
            table::Class::Short => &mut self.short,
            table::Class::Long => &mut self.long,
        }
    }

    fn estimate(&self, class: table::Class) -> &estimate::Estimate {
        match class {
            table::Class::Short => &self.short_times,
            table::Class::Long => &self.long_times,
        }
    }
}
