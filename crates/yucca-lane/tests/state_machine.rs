//! Random sequences of events never violate the invariants of a lane.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;
use proptest::test_runner;
use support::*;
use yucca_lane::lane;
use yucca_lane::owners;
use yucca_lane::request;
use yucca_lane::standby;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;

const CASES: u32 = 400;

/// Environment variable with the number of cases of a long run with a random seed.
const LONG_RUN: &str = "YUCCA_CASES";

const MAX_STEPS: usize = 120;
const IDS: u128 = 12;
const SHARDS: u32 = 2;

#[derive(Debug, Clone)]
enum Op {
    Arrive {
        id: u128,
        long: bool,
        millis: u64,
        bytes: u64,
        resent: bool,
    },
    Cancel(usize),
    End(usize, Ending),
    Head(usize),
    Standby(Delivery),
    Wait(u64),
    Slots(u16, f32),
    Hold(u32),
    Resume(u32),
    Release(u32),
    Grant(u32),
    Alive,
    Silent,
    Drain(bool),
    NewStandby(bool),
    Stop(bool),
    Lease(u64),
    Superseded(bool),
}

#[derive(Debug, Clone, Copy)]
enum Ending {
    Success,
    Refused,
    Shed,
    Connect,
    LostBefore,
    LostAfter,
    Timeout,
}

#[derive(Debug, Clone, Copy)]
enum Delivery {
    Take,
    Lose,
    Twice,
    Last,
    Unreachable,
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        6 => Just(Ending::Success),
        1 => Just(Ending::Refused),
        1 => Just(Ending::Shed),
        1 => Just(Ending::Connect),
        1 => Just(Ending::LostBefore),
        1 => Just(Ending::LostAfter),
        1 => Just(Ending::Timeout),
    ]
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        8 => Just(Delivery::Take),
        1 => Just(Delivery::Lose),
        1 => Just(Delivery::Twice),
        1 => Just(Delivery::Last),
        1 => Just(Delivery::Unreachable),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..IDS, any::<bool>(), 1..400u64, 0..300u64, any::<bool>()).prop_map(
            |(id, long, millis, bytes, resent)| Op::Arrive { id, long, millis, bytes, resent }
        ),
        2 => any::<usize>().prop_map(Op::Cancel),
        10 => (any::<usize>(), ending()).prop_map(|(at, ending)| Op::End(at, ending)),
        2 => any::<usize>().prop_map(Op::Head),
        10 => delivery().prop_map(Op::Standby),
        5 => (0..150u64).prop_map(Op::Wait),
        1 => (1..5u16, 0.0..1.0f32).prop_map(|(slots, warm)| Op::Slots(slots, warm)),
        1 => (0..SHARDS).prop_map(Op::Hold),
        1 => (0..SHARDS).prop_map(Op::Resume),
        1 => (0..SHARDS).prop_map(Op::Release),
        2 => (0..SHARDS).prop_map(Op::Grant),
        2 => Just(Op::Alive),
        1 => Just(Op::Silent),
        1 => any::<bool>().prop_map(Op::Drain),
        1 => any::<bool>().prop_map(Op::NewStandby),
        1 => prop::bool::weighted(0.1).prop_map(Op::Stop),
        1 => (0..200u64).prop_map(Op::Lease),
        1 => prop::bool::weighted(0.1).prop_map(Op::Superseded),
    ]
}

/// A running attempt at the target.
#[derive(Debug, Clone, Copy)]
struct Running {
    id: id::Request,
    attempt: u32,
    head_received: bool,
}

/// A lane with a real standby, a target that counts runs, and callers that count answers.
struct Bench {
    lane: lane::Lane,
    standby: standby::Standby,
    now: Duration,
    config: lane::Config,
    drain: bool,
    lease: Option<Duration>,
    superseded: bool,
    messages: Vec<standby::Input>,
    running: Vec<Running>,
    runs: IndexMap<id::Request, u32>,
    /// Ids that a caller got a `not run` outcome for and that were not sent since.
    not_run: IndexSet<id::Request>,
    /// Callers without an answer, with the number of runs of their ids at their arrival.
    waiting: IndexMap<request::Caller, (id::Request, u32)>,
    next_caller: u64,
    /// Whether requests of a shard may be sent.
    open: IndexMap<id::Shard, bool>,
    /// Shards that the lane reported as released since they were granted.
    released: IndexSet<id::Shard>,
    grants: u32,
}

impl Bench {
    fn new(keyed: bool, standby: bool, stops_on_close: bool) -> Self {
        let mut config = config();
        config.limits.queue_requests = 6;
        config.limits.queue_bytes = yucca_wire::unit::Size(1000);
        config.ledger_entries = 8;
        config.keyed = keyed;
        config.stops_on_close = stops_on_close;
        config.single_host = !standby;
        config.standby = standby.then(|| host("b"));
        let mut bench = Self {
            lane: lane::Lane::new(config.clone(), Duration::ZERO),
            standby: standby::Standby::new(config.ledger_window, config.ledger_entries),
            now: Duration::ZERO,
            config,
            drain: false,
            lease: None,
            superseded: false,
            messages: Vec::new(),
            running: Vec::new(),
            runs: IndexMap::new(),
            not_run: IndexSet::new(),
            waiting: IndexMap::new(),
            next_caller: 0,
            open: IndexMap::new(),
            released: IndexSet::new(),
            grants: 0,
        };
        if keyed {
            (0..SHARDS).for_each(|shard| bench.apply(Op::Grant(shard)));
        }
        bench
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Arrive {
                id,
                long,
                millis,
                bytes,
                resent,
            } => self.arrive(id, long, millis, bytes, resent),
            Op::Cancel(at) => self.cancel(at),
            Op::End(at, ending) => self.end(at, ending),
            Op::Head(at) => self.head(at),
            Op::Standby(delivery) => self.deliver(delivery),
            Op::Wait(millis) => {
                self.now += ms(millis);
                self.step(lane::Input::Tick);
            }
            Op::Slots(slots, warm) => {
                self.config.slots = id::Slots(slots);
                self.config.warm = warm;
                self.configure();
            }
            Op::Drain(drain) => {
                self.drain = drain;
                self.configure();
            }
            Op::NewStandby(other) => {
                if self.config.standby.is_some() {
                    let name = if other { "c" } else { "b" };
                    self.config.standby = Some(host(name));
                    self.standby = standby::Standby::new(
                        self.config.ledger_window,
                        self.config.ledger_entries,
                    );
                    self.messages.clear();
                    self.configure();
                }
            }
            Op::Hold(shard) => {
                if self.open.contains_key(&id::Shard(shard)) {
                    self.open.insert(id::Shard(shard), false);
                }
                self.change(lane::Change::Hold {
                    scope: scope(shard),
                });
            }
            Op::Resume(shard) => {
                let shard = id::Shard(shard);
                if self.open.contains_key(&shard) && !self.released.contains(&shard) {
                    self.open.insert(shard, true);
                }
                self.change(lane::Change::Resume {
                    scope: scope(shard.0),
                });
            }
            Op::Release(shard) => self.release(shard),
            Op::Grant(shard) => {
                self.grants += 1;
                self.released.swap_remove(&id::Shard(shard));
                self.open.insert(id::Shard(shard), true);
                self.change(lane::Change::Grant {
                    scope: scope(shard),
                    token: token(self.grants),
                    ledger: yucca_lane::ledger::Snapshot::default(),
                });
            }
            Op::Lease(millis) => {
                self.lease = Some(self.now + ms(millis));
                self.step(lane::Input::Renew {
                    until: self.now + ms(millis),
                });
            }
            Op::Superseded(superseded) => {
                if superseded && self.config.standby.is_some() {
                    self.supersede();
                }
            }
            Op::Alive => self.step(lane::Input::Alive),
            Op::Silent => self.step(lane::Input::Silent),
            Op::Stop(stop) => {
                if stop {
                    self.step(lane::Input::HandOver { to: host("b") });
                }
            }
        }
    }

    /// The standby takes over; nothing may be sent after the lane was notified.
    fn supersede(&mut self) {
        let token = self.config.token;
        self.standby.take_over(token, self.now);
        self.step(lane::Input::PermitRefused {
            id: id::Request(0),
            seq: 0,
            reason: lane::Reason::TakenOver,
        });
        self.superseded = true;
    }

    fn configure(&mut self) {
        self.step(lane::Input::Configure {
            config: Box::new(self.config.clone()),
            drain: self.drain,
        });
    }

    fn change(&mut self, change: lane::Change) {
        if self.config.keyed {
            self.step(lane::Input::Owners(change));
        }
    }

    fn release(&mut self, shard: u32) {
        if self.open.get(&id::Shard(shard)) == Some(&false) {
            self.open.swap_remove(&id::Shard(shard));
            self.change(lane::Change::Release {
                scope: scope(shard),
                to: Some("till-2".parse().unwrap()),
            });
        }
    }

    fn arrive(&mut self, id: u128, long: bool, millis: u64, bytes: u64, resent: bool) {
        self.next_caller += 1;
        let caller = request::Caller(self.next_caller);
        let id = id::Request(id);
        let shard = id::Shard((id.0 % u128::from(SHARDS)) as u32);
        let arrival = request::Arrival {
            id,
            caller,
            fingerprint: id.0 as u64,
            class: if long {
                table::Class::Long
            } else {
                table::Class::Short
            },
            idempotent: is_idempotent(id),
            shard: self.config.keyed.then_some(shard),
            key: None,
            bytes,
            deadline: self.now + ms(millis),
            resent,
        };
        let runs = self.runs.get(&id).copied().unwrap_or_default();
        self.waiting.insert(caller, (id, runs));
        self.step(lane::Input::Arrive(arrival));
    }

    fn cancel(&mut self, at: usize) {
        if self.waiting.is_empty() {
            return;
        }
        let at = at % self.waiting.len();
        let (caller, id) = self.waiting.get_index(at).unwrap();
        let (caller, id) = (*caller, id.0);
        self.step(lane::Input::Cancel { id, caller });
        self.waiting.swap_remove(&caller);
    }

    fn end(&mut self, at: usize, ending: Ending) {
        if self.running.is_empty() {
            return;
        }
        let at = at % self.running.len();
        let Running {
            id,
            attempt,
            head_received,
            ..
        } = self.running.swap_remove(at);
        let retry_after = ms(20);
        let (ran, result) = match ending {
            Ending::Success => (true, Ok(request::Status(200))),
            _ if head_received => (true, Err(request::Failure::Lost)),
            Ending::Refused => (false, Err(request::Failure::Refused)),
            Ending::Shed => (false, Err(request::Failure::Shed { retry_after })),
            Ending::Connect => (false, Err(request::Failure::ConnectFailed)),
            Ending::LostBefore => (false, Err(request::Failure::Lost)),
            Ending::LostAfter => (true, Err(request::Failure::Lost)),
            Ending::Timeout => (true, Err(request::Failure::Timeout)),
        };
        if ran && !head_received {
            self.run(id);
        }
        self.step(lane::Input::AttemptEnded {
            id,
            attempt,
            result,
        });
    }

    fn head(&mut self, at: usize) {
        if self.running.is_empty() {
            return;
        }
        let at = at % self.running.len();
        let running = &mut self.running[at];
        let Running {
            id,
            attempt,
            head_received,
            ..
        } = *running;
        running.head_received = true;
        if !head_received {
            self.run(id);
            let status = request::Status(200);
            self.step(lane::Input::HeadReceived {
                id,
                attempt,
                status,
            });
        }
    }

    fn run(&mut self, id: id::Request) {
        *self.runs.entry(id).or_default() += 1;
        if !is_idempotent(id) {
            assert_eq!(self.runs[&id], 1, "request {id} ran twice");
        }
        assert!(
            !self.not_run.contains(&id),
            "request {id} ran after a not-run answer"
        );
    }

    fn deliver(&mut self, delivery: Delivery) {
        if self.messages.is_empty() {
            return;
        }
        let at = match delivery {
            Delivery::Last => self.messages.len() - 1,
            _ => 0,
        };
        let message = self.messages.remove(at);
        match delivery {
            Delivery::Lose => {}
            Delivery::Unreachable => self.fail_copy(&message),
            Delivery::Twice => {
                self.send_to_standby(message.clone());
                self.send_to_standby(message);
            }
            Delivery::Take | Delivery::Last => self.send_to_standby(message),
        }
    }

    fn fail_copy(&mut self, message: &standby::Input) {
        if let standby::Input::Copy { entry, .. } = message {
            self.step(lane::Input::PermitRefused {
                id: entry.id,
                seq: entry.seq,
                reason: lane::Reason::Unreachable,
            });
        }
    }

    fn send_to_standby(&mut self, message: standby::Input) {
        let Some(output) = self.standby.step(message, self.now) else {
            return;
        };
        let input = match output {
            standby::Output::Copied { number } => lane::Input::Copied {
                standby: self.config.standby.clone().unwrap(),
                number,
            },
            standby::Output::Permit { id, seq } => lane::Input::Permit { id, seq },
            standby::Output::PermitRefused { id, seq, reason } => {
                lane::Input::PermitRefused { id, seq, reason }
            }
        };
        self.step(input);
    }

    fn step(&mut self, input: lane::Input) {
        for output in self.lane.step(input, self.now) {
            self.perform(output);
        }
        self.check();
    }

    fn perform(&mut self, output: lane::Output) {
        let token = self.config.token;
        match output {
            lane::Output::Send {
                id,
                attempt,
                deadline,
                ..
            } => self.send(id, attempt, deadline),
            lane::Output::Deliver { id, caller } => {
                assert!(self.running.iter().any(|one| one.id == id) || self.runs[&id] > 0);
                self.end_caller(caller, id);
            }
            lane::Output::Refuse {
                id,
                caller,
                problem,
            } => {
                if problem.outcome == problem::Outcome::NotRun {
                    self.check_not_run(id, caller, problem.kind);
                }
                self.end_caller(caller, id);
            }
            lane::Output::Replay {
                id,
                caller,
                outcome,
            } => {
                if let request::Outcome::Answered(_) = outcome {
                    assert!(self.runs[&id] > 0, "request {id} replayed but never ran");
                }
                self.end_caller(caller, id);
            }
            lane::Output::Forward { id, caller, .. } => {
                if !is_idempotent(id) {
                    self.check_not_run(id, caller, problem::Kind::NoOwner);
                }
                self.end_caller(caller, id);
            }
            lane::Output::Copy { entry, .. } => {
                self.messages.push(standby::Input::Copy { token, entry });
            }
            lane::Output::CopyAll { number, ledger, .. } => {
                self.messages.push(standby::Input::CopyAll {
                    token,
                    number,
                    ledger,
                });
            }
            lane::Output::Settle { entry, .. } => {
                self.messages.push(standby::Input::Settle { token, entry });
            }
            lane::Output::Released { release, .. } => {
                self.released.insert(release.shard);
                self.check_released(release.shard);
            }
            _ => {}
        }
    }

    fn send(&mut self, id: id::Request, attempt: u32, deadline: Duration) {
        assert!(
            deadline > self.now,
            "request {id} was sent after its deadline"
        );
        assert!(!self.superseded, "request {id} was sent after a takeover");
        let leased = self.lease.is_none_or(|until| self.now < until);
        assert!(leased, "request {id} was sent without a lease");
        let active = self.running.iter().any(|one| one.id == id);
        assert!(!active, "request {id} was sent while it runs");
        assert!(
            self.running.len() < usize::from(self.config.slots.0),
            "more requests were sent than there are slots"
        );
        if !is_idempotent(id) && self.config.standby.is_some() {
            // A restarted standby knows that it has no complete copy.
            let known = self.standby.ledger().get(id).is_some();
            let incomplete = !self.standby.is_complete(self.config.token);
            assert!(
                known || incomplete,
                "request {id} was sent without a permit"
            );
        }
        if self.config.keyed {
            let shard = id::Shard((id.0 % u128::from(SHARDS)) as u32);
            assert_eq!(
                self.open.get(&shard),
                Some(&true),
                "request {id} was sent during a move"
            );
        }
        self.not_run.swap_remove(&id);
        self.running.push(Running {
            id,
            attempt,
            head_received: false,
        });
    }

    /// Checks that a request with a `not run` answer has not run and is not at the target.
    fn check_not_run(&mut self, id: id::Request, caller: request::Caller, kind: problem::Kind) {
        if kind == problem::Kind::IdReused {
            return;
        }
        let running = self.running.iter().any(|one| one.id == id);
        assert!(!running, "request {id} got a not-run answer while it runs");
        let runs = self.runs.get(&id).copied().unwrap_or_default();
        let before = self.waiting[&caller].1;
        assert_eq!(
            runs, before,
            "request {id} ran despite a not-run answer: {kind}"
        );
        if !is_idempotent(id) {
            assert_eq!(runs, 0, "request {id} ran despite a not-run answer: {kind}");
        }
        self.not_run.insert(id);
    }

    fn check_released(&self, shard: id::Shard) {
        let of_shard = |one: &Running| one.id.0 % u128::from(SHARDS) == u128::from(shard.0);
        assert!(!self.running.iter().any(of_shard), "{shard} still runs");
    }

    fn end_caller(&mut self, caller: request::Caller, id: id::Request) {
        let known = self.waiting.swap_remove(&caller);
        assert_eq!(
            known.map(|known| known.0),
            Some(id),
            "caller {caller} answered twice"
        );
    }

    fn check(&self) {
        let limits = &self.config.limits;
        assert!(self.lane.waiting() <= limits.queue_requests as usize);
        assert!(self.lane.waiting_bytes() <= limits.queue_bytes.0);
        assert!(self.lane.ledger().len() <= self.config.ledger_entries);
        let held = self.lane.load(self.now).running as usize;
        if self.config.stops_on_close {
            assert_eq!(held, self.running.len());
        } else {
            assert!(held >= self.running.len());
        }
        let mut ticked = self.lane.clone();
        ticked.step(lane::Input::Tick, self.now);
        let wake = ticked.next_wake();
        assert!(
            wake.is_none_or(|at| at > self.now),
            "a wake-up is still due after a tick"
        );
    }

    /// Finishes all requests and checks that each caller has an answer and nothing waits.
    fn finish(mut self) {
        for _ in 0..1000 {
            if self.running.is_empty() && self.waiting.is_empty() {
                break;
            }
            while !self.messages.is_empty() {
                self.deliver(Delivery::Take);
            }
            if self.running.is_empty() {
                self.now += ms(50);
                self.step(lane::Input::Tick);
            } else {
                self.end(0, Ending::Success);
            }
        }
        assert!(self.waiting.is_empty(), "unanswered: {:?}", self.waiting);
        assert_eq!(self.lane.waiting(), 0);
        assert_eq!(self.lane.waiting_bytes(), 0);
    }
}

fn scope(shard: u32) -> owners::Scope {
    owners::Scope::Shard(id::Shard(shard))
}

fn is_idempotent(id: id::Request) -> bool {
    id.0 >= IDS / 2
}

fn check(keyed: bool, standby: bool, stops_on_close: bool) {
    let long_run = std::env::var(LONG_RUN).ok();
    let config = test_runner::Config {
        cases: long_run
            .as_ref()
            .map_or(CASES, |cases| cases.parse().unwrap()),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..test_runner::Config::default()
    };
    let algorithm = test_runner::RngAlgorithm::ChaCha;
    let rng = match long_run {
        Some(_) => test_runner::TestRng::from_seed(algorithm, &rand::random::<[u8; 32]>()),
        None => test_runner::TestRng::deterministic_rng(algorithm),
    };
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..MAX_STEPS);
    let result = runner.run(&ops, |ops| {
        let mut bench = Bench::new(keyed, standby, stops_on_close);
        ops.into_iter().for_each(|op| bench.apply(op));
        bench.finish();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn a_pool_lane_without_standby() {
    check(false, false, true);
}

#[test]
fn a_pool_lane_with_standby() {
    check(false, true, true);
}

#[test]
fn a_keyed_lane_with_standby() {
    check(true, true, true);
}

#[test]
fn a_target_that_does_not_stop_on_close() {
    check(true, true, false);
}
