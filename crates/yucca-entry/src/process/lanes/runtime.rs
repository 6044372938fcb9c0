//! Runtime of one lane: feeds events to its state machine and carries out the outputs.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::task;
use yucca_lane::lane;
use yucca_lane::ledger;
use yucca_lane::request;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::key;
use yucca_wire::report;
use yucca_wire::table;

use crate::connection::pool;
use crate::process::lanes::attempt;
use crate::process::lanes::cache;
use crate::process::lanes::grants;
use crate::process::lanes::message;
use crate::process::shared;
use crate::request::answer;
use crate::request::body;

/// Maximum number of hot keys in one report.
const HOT_KEYS: usize = 32;

mod arrive;
mod perform;

/// Runtime of one lane.
pub struct Runtime {
    target: id::Target,
    service: id::Service,
    token: id::Token,
    shards: Option<u32>,
    /// Connections to the target.
    pub pool: pool::Pool,
    /// Grants that were sent to the target.
    pub grants: grants::Grants,
    // After the map of lanes and the standby ledgers in the lock order.
    state: sync::Mutex<State>,
}

struct State {
    lane: lane::Lane,
    config: lane::Config,
    drain: bool,
    handed_to: Option<id::Host>,
    standby_start: Option<message::Start>,
    requests: IndexMap<id::Request, Work>,
    callers: IndexMap<request::Caller, Waiting>,
    next_caller: u64,
    answers: cache::Answers,
    observed: report::Lane,
}

/// Request that runs or that callers wait for.
struct Work {
    head: sync::Arc<head::Request>,
    body: body::Payload,
    running: Option<task::AbortHandle>,
    answer: Option<attempt::Received>,
    waiting_callers: usize,
}

struct Waiting {
    id: id::Request,
    sender: oneshot::Sender<answer::Answer>,
}

impl Runtime {
    /// Returns the runtime of a lane for a target of the current table.
    pub fn new(
        target: &id::Target,
        description: &table::Target,
        shards: Option<u32>,
        lane: lane::Lane,
        config: lane::Config,
    ) -> Self {
        Self {
            target: target.clone(),
            service: description.service.clone(),
            token: description.token,
            shards,
            pool: pool::Pool::new(description.address, description.slots.0),
            grants: grants::Grants::default(),
            state: sync::Mutex::new(State {
                lane,
                config,
                drain: false,
                handed_to: None,
                standby_start: None,
                requests: IndexMap::new(),
                callers: IndexMap::new(),
                next_caller: 0,
                answers: cache::Answers::default(),
                observed: report::Lane::default(),
            }),
        }
    }

    /// Returns the target's name.
    pub fn target(&self) -> &id::Target {
        &self.target
    }

    /// Returns the target's service.
    pub fn service(&self) -> &id::Service {
        &self.service
    }

    /// Returns the fencing token of the lane.
    pub fn token(&self) -> id::Token {
        self.token
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Returns whether a tick of the lane is due.
    pub fn needs_tick(&self, now: Duration) -> bool {
        self.lock().lane.next_wake().is_some_and(|at| at <= now)
    }

    /// Returns whether the lane has no requests and no slot is occupied.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.requests.is_empty() && state.lane.load(Duration::ZERO).running == 0
    }

    /// Returns the ledger entries and gaps of a shard.
    pub fn ledger(&self, shard: id::Shard) -> ledger::Snapshot {
        self.lock().lane.snapshot(Some(shard))
    }

    /// Returns the start of the standby's process to which the ledger was copied.
    pub fn standby_start(&self) -> Option<message::Start> {
        self.lock().standby_start
    }

    /// Sets the start of the standby's process to which the ledger is copied.
    pub fn set_standby_start(&self, start: message::Start) {
        self.lock().standby_start = Some(start);
    }

    /// Returns whether a request runs in this lane or is in its ledger.
    pub fn knows(&self, id: id::Request) -> bool {
        let state = self.lock();
        state.requests.contains_key(&id) || state.lane.ledger().get(id).is_some()
    }

    /// Returns the state of the lane and the observations since the last call.
    pub fn report(&self) -> report::Lane {
        let mut state = self.lock();
        let mut observed = std::mem::take(&mut state.observed);
        observed.token = self.token;
        observed.released = self.grants.released();
        observed.left = state.handed_to.is_some();
        keep_hottest(&mut observed.hot);
        observed.alive = state.lane.evidence().state() != yucca_lane::evidence::State::Silent;
        observed.copied = state.lane.copied().cloned();
        observed
    }

    /// Configures the lane if its configuration changed.
    pub fn configure(
        self: &sync::Arc<Self>,
        shared: &sync::Arc<shared::Shared>,
        config: lane::Config,
        drain: bool,
    ) {
        let mut state = self.lock();
        if state.config == config && state.drain == drain {
            return;
        }
        state.config = config.clone();
        state.drain = drain;
        drop(state);
        let config = Box::new(config);
        self.step(shared, lane::Input::Configure { config, drain });
    }

    /// Hands the lane over to another host.
    pub fn hand_over(self: &sync::Arc<Self>, shared: &sync::Arc<shared::Shared>, to: id::Host) {
        let mut state = self.lock();
        if state.handed_to.as_ref() == Some(&to) {
            return;
        }
        state.handed_to = Some(to.clone());
        drop(state);
        self.step(shared, lane::Input::HandOver { to });
    }

    /// Returns whether the lane was handed over.
    pub fn is_handed_over(&self) -> bool {
        self.lock().handed_to.is_some()
    }

    /// Returns the state for a lane that replaces this one on the same host.
    pub fn takeover(&self, now: Duration) -> lane::Takeover {
        let state = self.lock();
        lane::Takeover {
            ledger: state.lane.snapshot(None),
            predecessor_slots: id::Slots(0),
            predecessor_until: now,
        }
    }

    /// Passes an event to the lane and carries out the outputs.
    pub fn step(self: &sync::Arc<Self>, shared: &sync::Arc<shared::Shared>, input: lane::Input) {
        let mut state = self.lock();
        let outputs = state.lane.step(input, shared.now());
        self.perform(shared, &mut state, outputs);
    }

    /// Returns the body of a request for one send, if it can be sent.
    pub fn body(&self, id: id::Request) -> Option<body::Stream> {
        self.lock().requests.get_mut(&id)?.body.take()
    }

    /// Processes the progress or the end of an attempt.
    pub fn attempt_ended(
        self: &sync::Arc<Self>,
        shared: &sync::Arc<shared::Shared>,
        ended: attempt::Ended,
    ) {
        let mut state = self.lock();
        let now = shared.now();
        let (id, attempt) = (ended.id, ended.attempt);
        if let Some(work) = state.requests.get_mut(&id) {
            if ended.finished {
                work.running = None;
            }
            if ended.received.is_some() {
                work.answer = ended.received;
            }
        }
        cache_answer(&mut state, id);
        self.count_work(&mut state, id, ended.took);
        let input = match (ended.finished, ended.result) {
            (false, Ok(status)) => lane::Input::HeadReceived {
                id,
                attempt,
                status,
            },
            (_, result) => lane::Input::AttemptEnded {
                id,
                attempt,
                result,
            },
        };
        let outputs = state.lane.step(input, now);
        self.perform(shared, &mut state, outputs);
        if let Some(at) = state.requests.get_index_of(&id) {
            self.remove_if_done(&mut state, at);
        }
    }

    /// Adds the slot time of a request to the work of its shard and key.
    fn count_work(&self, state: &mut State, id: id::Request, took: Duration) {
        let Some(work) = state.requests.get(&id) else {
            return;
        };
        let Some((shards, key)) = self.shards.zip(work.head.key.clone()) else {
            return;
        };
        let micros = took.as_micros() as u64;
        *state
            .observed
            .work
            .entry(key::shard(&key, shards))
            .or_default() += micros;
        *state.observed.hot.entry(key).or_default() += micros;
    }

    /// Removes a request that does not run and that no caller waits for.
    fn remove_if_done(&self, state: &mut State, at: usize) {
        let done = state
            .requests
            .get_index(at)
            .is_some_and(|(_, work)| work.waiting_callers == 0 && work.running.is_none());
        if done {
            state.requests.swap_remove_index(at);
        }
    }
}

/// Removes all but the [`HOT_KEYS`] keys with the most slot time.
fn keep_hottest(hot: &mut IndexMap<Bytes, u64>) {
    if hot.len() > HOT_KEYS {
        hot.sort_unstable_by(|_, a, _, b| b.cmp(a));
        hot.truncate(HOT_KEYS);
    }
}

/// Caches a buffered answer to a non-idempotent request.
fn cache_answer(state: &mut State, id: id::Request) {
    let Some(work) = state.requests.get_mut(&id) else {
        return;
    };
    if work.head.idempotent {
        return;
    }
    let whole = work
        .answer
        .as_mut()
        .filter(|received| received.buffered_bytes().is_some());
    if let Some(received) = whole.and_then(attempt::Received::share) {
        state.answers.insert(id, received);
    }
}
