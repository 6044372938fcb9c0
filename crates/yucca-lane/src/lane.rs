//! The lane: the one sender of work to one target.

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

/// What a lane is told when it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The target.
    pub target: id::Target,
    /// The lane's fencing token.
    pub token: id::Token,
    /// How many requests the target works on at a time.
    pub slots: id::Slots,
    /// What the service may hold.
    pub limits: table::Limits,
    /// How idempotent work is retried.
    pub retry: table::Retry,
    /// The host that takes the lane over when its host is lost.
    pub standby: Option<id::Host>,
    /// Whether the domain has one host only, so that non-idempotent work goes without a standby.
    pub single_host: bool,
    /// How far the target is from a cold start (0) to its full rate (1).
    pub warm: f32,
    /// How long the fate of a non-idempotent request is remembered.
    pub ledger_window: Duration,
    /// The most requests whose fate is remembered.
    pub ledger_entries: usize,
    /// Whether an earlier lane of the target may have sent work whose fate is not known here.
    /// Until the window ends, or a [`Input::TakeOver`] brings the ledger, a resent id that is not
    /// known is answered `unknown`.
    pub ledger_gap: bool,
    /// Whether the service is divided by key.
    pub keyed: bool,
    /// Whether the target stops work whose connection is closed. Where it does not, a lost
    /// attempt holds its slot until its deadline.
    pub stops_on_close: bool,
    /// Until when the lane may send without a renewal of its lease; without limit where absent.
    pub lease: Option<Duration>,
    /// Makes the lane's choices repeatable.
    pub seed: u64,
}

/// The decisions for one target.
#[derive(Debug, Clone)]
pub struct Lane {
    config: Config,
    now: Duration,
    out: Vec<Output>,
    requests: IndexMap<id::Request, request::Active>,
    short: queue::Queue,
    long: queue::Queue,
    held: queue::Queue,
    delayed: queue::Queue,
    waiting_bytes: u64,
    waiting_ledger: usize,
    slots: slots::Slots,
    running: Vec<id::Request>,
    ghosts: Vec<request::Ghost>,
    short_time: estimate::Estimate,
    long_time: estimate::Estimate,
    /// How many slots short work holds, on average.
    short_level: estimate::Level,
    budget: budget::Budget,
    evidence: evidence::Evidence,
    owners: owners::Owners,
    ledger: ledger::Ledger,
    standby: permit::Copy,
    /// Until when an earlier lane's work is in doubt, by shard or for the whole target.
    gaps: IndexMap<Option<id::Shard>, Duration>,
    predecessor_until: Option<Duration>,
    next_order: u64,
    next_seq: u64,
    random: u64,
    drained_at: Option<Duration>,
    handed_to: Option<id::Host>,
    told_held: Option<u16>,
    superseded: bool,
}

impl Lane {
    /// Returns a lane that holds no work.
    ///
    /// The process carries out what the first [`step`](Self::step) returns, such as the first copy
    /// of the ledger to the standby.
    pub fn new(config: Config, now: Duration) -> Self {
        let slots = slots::Slots::new(config.slots, config.limits.short_reserve, config.warm);
        let gap = config
            .ledger_gap
            .then(|| (None, now + config.ledger_window));
        Self {
            now,
            out: Vec::new(),
            requests: IndexMap::new(),
            short: queue::Queue::default(),
            long: queue::Queue::default(),
            held: queue::Queue::default(),
            delayed: queue::Queue::default(),
            waiting_bytes: 0,
            waiting_ledger: 0,
            slots,
            running: Vec::new(),
            ghosts: Vec::new(),
            short_time: estimate::Estimate::default(),
            long_time: estimate::Estimate::default(),
            short_level: estimate::Level::default(),
            budget: budget::Budget::new(config.retry.budget),
            evidence: evidence::Evidence::new(now),
            owners: owners::Owners::default(),
            ledger: ledger::Ledger::new(config.ledger_window, config.ledger_entries),
            standby: permit::Copy::default(),
            gaps: gap.into_iter().collect(),
            predecessor_until: None,
            next_order: 0,
            next_seq: 1,
            random: config.seed,
            drained_at: None,
            handed_to: None,
            told_held: None,
            superseded: false,
            config,
        }
    }

    /// Takes in what happened and returns what to do, in order.
    pub fn step(&mut self, input: Input, now: Duration) -> Vec<Output> {
        self.now = self.now.max(now);
        let busy = self.slots.held() - self.slots.held_long();
        self.short_level.update(f64::from(busy), self.now);
        self.expire();
        self.take(input);
        self.dispatch();
        self.tell_released();
        self.tell_held();
        mem::take(&mut self.out)
    }

    /// Returns the load, for answer heads and digests.
    pub fn load(&self, _now: Duration) -> head::Load {
        let silent = self.evidence.state() == evidence::State::Silent;
        let closed = silent || self.drained_at.is_some() || self.is_closed();
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

    /// Returns when the lane wants an [`Input::Tick`] at the latest.
    pub fn next_wake(&self) -> Option<Duration> {
        let queues = [&self.short, &self.long, &self.held, &self.delayed];
        let due = queues.iter().filter_map(|queue| queue.first());
        let due = due.map(|entry| entry.due);
        let others = [
            self.slots.next_growth(),
            self.evidence.next_dial().filter(|_| !self.is_closed()),
            self.evidence.next_judgement(),
            self.next_attempt_event(),
            self.next_permit_event(),
            self.predecessor_until,
            self.urgent_at(),
            self.drain_ends(),
        ];
        due.chain(others.into_iter().flatten()).min()
    }

    /// Returns what is known of the target.
    pub fn evidence(&self) -> &evidence::Evidence {
        &self.evidence
    }

    /// Returns the fencing token of the lane.
    pub fn token(&self) -> id::Token {
        self.config.token
    }

    /// Returns the standby that has a whole copy of the ledger.
    pub fn copied(&self) -> Option<&id::Host> {
        let whole = self.standby.is_whole();
        self.config.standby.as_ref().filter(|_| whole)
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// Returns how many requests wait, in whatever queue.
    pub fn waiting(&self) -> usize {
        self.short.len() + self.long.len() + self.held.len() + self.delayed.len()
    }

    /// Returns how many bytes the waiting requests hold.
    pub fn waiting_bytes(&self) -> u64 {
        self.waiting_bytes
    }

    fn take(&mut self, input: Input) {
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
            Input::Owners(change) => self.own(change),
            Input::Configure { config, drain } => self.configure(*config, drain),
            Input::Renew { until } => self.config.lease = Some(until),
            Input::Alive => self.target_alive(),
            Input::Silent => self.evidence.silent(self.now),
            Input::TakeOver(takeover) => self.take_over(takeover),
            Input::Settled { entry } => self.settled(&entry),
            Input::PredecessorSlots { slots, until } => self.set_predecessor_slots(slots, until),
            Input::HandOver { to } => self.hand_over(to),
            Input::Tick => {}
        }
    }

    /// Tells whether the lane may send at all now.
    fn may_send(&self) -> bool {
        let leased = self.config.lease.is_none_or(|until| self.now < until);
        let silent = self.evidence.state() == evidence::State::Silent;
        let tried = self.evidence.is_on_trial() && self.slots.held() > 0;
        leased && !self.is_closed() && !silent && !tried && !self.evidence.is_blamed()
    }

    /// Tells whether the lane was handed over or taken over.
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
            table::Class::Short => &self.short_time,
            table::Class::Long => &self.long_time,
        }
    }
}
