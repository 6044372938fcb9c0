//! One lane at work: carries out what the lane decides.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::task;
use tokio::time;
use xxhash_rust::xxh3;
use yucca_lane::lane;
use yucca_lane::ledger;
use yucca_lane::request;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::key;
use yucca_wire::problem;
use yucca_wire::report;
use yucca_wire::table;

use crate::connection::pool;
use crate::process::lanes::attempt;
use crate::process::lanes::grants;
use crate::process::lanes::kept;
use crate::process::lanes::message;
use crate::process::shared;
use crate::request::answer;
use crate::request::body;

/// The most keys that one report names as hot.
const HOT_KEYS: usize = 32;

/// One lane at work.
pub struct Runtime {
    target: id::Target,
    service: id::Service,
    token: id::Token,
    shards: Option<u32>,
    /// The connections to the target.
    pub pool: pool::Pool,
    /// What the target was told that it owns.
    pub grants: grants::Grants,
    // After the registry of lanes in the lock order.
    state: sync::Mutex<State>,
}

struct State {
    lane: lane::Lane,
    config: lane::Config,
    drain: bool,
    handed: Option<id::Host>,
    standby_start: Option<message::Start>,
    requests: IndexMap<id::Request, Work>,
    callers: IndexMap<request::Caller, Waiting>,
    next_caller: u64,
    kept: kept::Answers,
    seen: report::Lane,
}

/// A request that the lane has not finished.
struct Work {
    head: sync::Arc<head::Request>,
    body: body::Kept,
    running: Option<task::AbortHandle>,
    answer: Option<attempt::Received>,
    awaited: usize,
}

struct Waiting {
    id: id::Request,
    sender: oneshot::Sender<answer::Answer>,
}

/// Tells the lane that a caller hung up, unless it was answered.
struct Hangup {
    runtime: sync::Arc<Runtime>,
    shared: sync::Arc<shared::Shared>,
    id: id::Request,
    caller: request::Caller,
}

impl Drop for Hangup {
    fn drop(&mut self) {
        if self.runtime.forget(self.caller) {
            let input = lane::Input::Cancel {
                id: self.id,
                caller: self.caller,
            };
            self.runtime.step(&self.shared, input);
        }
    }
}

impl Runtime {
    /// Returns a lane for a target of the current version.
    pub fn new(
        target: &id::Target,
        found: &table::Target,
        shards: Option<u32>,
        lane: lane::Lane,
        config: lane::Config,
    ) -> Self {
        Self {
            target: target.clone(),
            service: found.service.clone(),
            token: found.token,
            shards,
            pool: pool::Pool::new(found.address, found.slots.0),
            grants: grants::Grants::default(),
            state: sync::Mutex::new(State {
                lane,
                config,
                drain: false,
                handed: None,
                standby_start: None,
                requests: IndexMap::new(),
                callers: IndexMap::new(),
                next_caller: 0,
                kept: kept::Answers::default(),
                seen: report::Lane::default(),
            }),
        }
    }

    /// Returns the target.
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

    /// Tells whether the lane wants a tick now.
    pub fn wants_wake(&self, now: Duration) -> bool {
        self.lock().lane.next_wake().is_some_and(|at| at <= now)
    }

    /// Tells whether it holds no work.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.requests.is_empty() && state.lane.load(Duration::ZERO).running == 0
    }

    /// Returns what the ledger holds of a shard.
    pub fn ledger(&self, shard: id::Shard) -> ledger::Snapshot {
        self.lock().lane.snapshot(Some(shard))
    }

    /// Returns the start of the standby's process that has the ledger.
    pub fn standby_start(&self) -> Option<message::Start> {
        self.lock().standby_start
    }

    /// Sets the start of the standby's process that gets the ledger.
    pub fn set_standby_start(&self, start: message::Start) {
        self.lock().standby_start = Some(start);
    }

    /// Tells whether a request runs or ran here, as far as the ledger reaches.
    pub fn knows(&self, id: id::Request) -> bool {
        let state = self.lock();
        state.requests.contains_key(&id) || state.lane.ledger().get(id).is_some()
    }

    /// Returns what was seen since the last call.
    pub fn report(&self) -> report::Lane {
        let mut state = self.lock();
        let mut seen = std::mem::take(&mut state.seen);
        seen.token = self.token;
        seen.released = self.grants.released();
        seen.left = state.handed.is_some();
        keep_hottest(&mut seen.hot);
        seen.alive = state.lane.evidence().state() != yucca_lane::evidence::State::Silent;
        seen.copied = state.lane.copied().cloned();
        seen
    }

    /// Tells the lane its settings, where they changed.
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

    /// Hands the lane over to the host that holds it from now on.
    pub fn hand_over(self: &sync::Arc<Self>, shared: &sync::Arc<shared::Shared>, to: id::Host) {
        let mut state = self.lock();
        if state.handed.as_ref() == Some(&to) {
            return;
        }
        state.handed = Some(to.clone());
        drop(state);
        self.step(shared, lane::Input::HandOver { to });
    }

    /// Tells whether the lane was handed over.
    pub fn is_handed_over(&self) -> bool {
        self.lock().handed.is_some()
    }

    /// Returns what a lane that replaces this one at the same host must know.
    pub fn takeover(&self, now: Duration) -> lane::Takeover {
        let state = self.lock();
        lane::Takeover {
            ledger: state.lane.snapshot(None),
            foreign: id::Slots(0),
            foreign_until: now,
        }
    }

    /// Takes a request through the lane.
    pub async fn run(
        self: &sync::Arc<Self>,
        shared: &sync::Arc<shared::Shared>,
        head: head::Request,
        stream: body::Stream,
        deadline: time::Instant,
    ) -> answer::Answer {
        let kept = match time::timeout_at(deadline, body::Kept::read(stream)).await {
            Ok(Ok(kept)) => kept,
            Ok(Err(error)) => return self.refusal(problem::Kind::BadRequest, error.to_string()),
            Err(_) => {
                return self.refusal(problem::Kind::DeadlineExceeded, "no body in time".into());
            }
        };
        let id = head.id;
        let (caller, receiver) = self.arrive(shared, head, kept, deadline);
        let hangup = Hangup {
            runtime: sync::Arc::clone(self),
            shared: sync::Arc::clone(shared),
            id,
            caller,
        };
        let answered = receiver.await;
        drop(hangup);
        match answered {
            Ok(answer) => answer,
            Err(_) => {
                let detail = format!("the lane of {} ended", self.target);
                let problem = problem::Problem::unknown(problem::Kind::Internal, detail);
                answer::Answer::refusal(problem, head::Load::default())
            }
        }
    }

    fn refusal(&self, kind: problem::Kind, detail: String) -> answer::Answer {
        let problem = problem::Problem::not_run(kind, detail);
        answer::Answer::refusal(problem, head::Load::default())
    }

    fn arrive(
        self: &sync::Arc<Self>,
        shared: &sync::Arc<shared::Shared>,
        head: head::Request,
        kept: body::Kept,
        deadline: time::Instant,
    ) -> (request::Caller, oneshot::Receiver<answer::Answer>) {
        let (sender, receiver) = oneshot::channel();
        let now = shared.now();
        let left = deadline.saturating_duration_since(time::Instant::now());
        let mut state = self.lock();
        let caller = request::Caller(state.next_caller);
        state.next_caller += 1;
        let arrival = self.arrival(&head, &kept, caller, now + left);
        let id = head.id;
        state.callers.insert(caller, Waiting { id, sender });
        let mut spare = Some(kept);
        let work = state.requests.entry(id).or_insert_with(|| Work {
            head: sync::Arc::new(head),
            body: spare.take().unwrap_or(body::Kept::Sent),
            running: None,
            answer: None,
            awaited: 0,
        });
        work.awaited += 1;
        if let (false, Some(kept)) = (work.body.can_be_sent(), spare) {
            work.body = kept;
        }
        let outputs = state.lane.step(lane::Input::Arrive(arrival), now);
        self.perform(shared, &mut state, outputs);
        (caller, receiver)
    }

    fn arrival(
        &self,
        head: &head::Request,
        kept: &body::Kept,
        caller: request::Caller,
        deadline: Duration,
    ) -> request::Arrival {
        let shard = self.shards.zip(head.key.as_ref());
        request::Arrival {
            id: head.id,
            caller,
            fingerprint: fingerprint(head, kept),
            class: head.class,
            idempotent: head.idempotent,
            shard: shard.map(|(shards, key)| key::shard(key, shards)),
            key: head.key.clone(),
            bytes: held_bytes(head, kept),
            deadline,
            resent: head.resent,
        }
    }

    /// Forgets a caller that hung up; tells whether it was still waiting.
    fn forget(&self, caller: request::Caller) -> bool {
        let mut state = self.lock();
        let Some(waiting) = state.callers.swap_remove(&caller) else {
            return false;
        };
        if let Some(work) = state.requests.get_mut(&waiting.id) {
            work.awaited -= 1;
        }
        true
    }

    /// Tells the lane what happened and carries out what it decides.
    pub fn step(self: &sync::Arc<Self>, shared: &sync::Arc<shared::Shared>, input: lane::Input) {
        let mut state = self.lock();
        let outputs = state.lane.step(input, shared.now());
        self.perform(shared, &mut state, outputs);
    }

    /// Takes the body of a request for one sending.
    pub fn body(&self, id: id::Request) -> Option<body::Stream> {
        self.lock().requests.get_mut(&id)?.body.take()
    }

    /// Takes in the end of an attempt.
    pub fn ended(
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
        keep_answer(&mut state, id);
        self.count_work(&mut state, id, ended.took);
        let input = match (ended.finished, ended.result) {
            (false, Ok(status)) => lane::Input::Headed {
                id,
                attempt,
                status,
            },
            (_, result) => lane::Input::Answered {
                id,
                attempt,
                result,
            },
        };
        let outputs = state.lane.step(input, now);
        self.perform(shared, &mut state, outputs);
        if let Some(at) = state.requests.get_index_of(&id) {
            self.sweep(&mut state, at);
        }
    }

    /// Counts the slot time that a request took, by shard and by key.
    fn count_work(&self, state: &mut State, id: id::Request, took: Duration) {
        let Some(work) = state.requests.get(&id) else {
            return;
        };
        let Some((shards, key)) = self.shards.zip(work.head.key.clone()) else {
            return;
        };
        let micros = took.as_micros() as u64;
        *state.seen.work.entry(key::shard(&key, shards)).or_default() += micros;
        *state.seen.hot.entry(key).or_default() += micros;
    }

    fn sweep(&self, state: &mut State, at: usize) {
        let done = state
            .requests
            .get_index(at)
            .is_some_and(|(_, work)| work.awaited == 0 && work.running.is_none());
        if done {
            state.requests.swap_remove_index(at);
        }
    }

    fn perform(
        self: &sync::Arc<Self>,
        shared: &sync::Arc<shared::Shared>,
        state: &mut State,
        outputs: Vec<lane::Output>,
    ) {
        let load = state.lane.load(shared.now());
        for output in outputs {
            match output {
                lane::Output::Send {
                    id,
                    attempt,
                    deadline,
                    ..
                } => self.send(shared, state, id, attempt, deadline),
                lane::Output::Abort { id } => abort(state, id),
                lane::Output::Refuse {
                    id,
                    caller,
                    problem,
                } => {
                    self.answer(state, id, caller, answer::Answer::refusal(problem, load));
                }
                lane::Output::Deliver { id, caller } => self.deliver(state, id, caller, load),
                lane::Output::Replay { id, caller, kept } => {
                    let answer = match state.kept.get(id) {
                        Some(received) => received.into_answer(load),
                        None => answer::Answer::refusal(replayed(id, kept), load),
                    };
                    self.answer(state, id, caller, answer);
                }
                lane::Output::Forward { id, caller, to } => {
                    let detail = format!("the request goes on to {to:?}");
                    let problem = problem::Problem::not_run(problem::Kind::NoOwner, detail);
                    self.answer(state, id, caller, answer::Answer::refusal(problem, load));
                }
                lane::Output::Released { release, .. } => {
                    grants::revoke(shared, self, release);
                }
                other => self.tell(shared, other),
            }
        }
    }

    /// Carries out what concerns other hosts and the target's connections.
    fn tell(self: &sync::Arc<Self>, shared: &sync::Arc<shared::Shared>, output: lane::Output) {
        let runtime = sync::Arc::clone(self);
        let shared = sync::Arc::clone(shared);
        tokio::spawn(async move {
            match output {
                lane::Output::Dial => attempt::dial(&shared, &runtime).await,
                other => message::carry(&shared, &runtime, other).await,
            }
        });
    }

    fn send(
        self: &sync::Arc<Self>,
        shared: &sync::Arc<shared::Shared>,
        state: &mut State,
        id: id::Request,
        attempt: u32,
        deadline: Duration,
    ) {
        let Some(work) = state.requests.get_mut(&id) else {
            return;
        };
        let sending = attempt::Sending {
            id,
            attempt,
            head: sync::Arc::clone(&work.head),
            deadline: shared.instant(deadline),
            grant: self.token,
        };
        let task = attempt::run(sync::Arc::clone(shared), sync::Arc::clone(self), sending);
        work.running = Some(tokio::spawn(task).abort_handle());
    }

    fn deliver(
        &self,
        state: &mut State,
        id: id::Request,
        caller: request::Caller,
        load: head::Load,
    ) {
        let received = state
            .requests
            .get_mut(&id)
            .and_then(|work| match &mut work.answer {
                Some(received) => received.share(),
                None => None,
            });
        let answer = match received {
            Some(received) => received.into_answer(load),
            None => {
                let detail = format!("the answer of request {id} went to its first caller");
                let problem = problem::Problem {
                    outcome: problem::Outcome::Ran,
                    ..problem::Problem::not_run(problem::Kind::AlreadyAccepted, detail)
                };
                answer::Answer::refusal(problem, load)
            }
        };
        self.answer(state, id, caller, answer);
    }

    fn answer(
        &self,
        state: &mut State,
        id: id::Request,
        caller: request::Caller,
        answer: answer::Answer,
    ) {
        if let Some(waiting) = state.callers.swap_remove(&caller) {
            // The caller may have hung up in this very moment; then nobody wants the answer.
            let _ = waiting.sender.send(answer);
            if let Some(work) = state.requests.get_mut(&id) {
                work.awaited -= 1;
            }
        }
        if let Some(at) = state.requests.get_index_of(&id) {
            self.sweep(state, at);
        }
    }
}

/// Leaves only the keys that took the most slot time.
fn keep_hottest(hot: &mut IndexMap<Bytes, u64>) {
    if hot.len() > HOT_KEYS {
        hot.sort_unstable_by(|_, a, _, b| b.cmp(a));
        hot.truncate(HOT_KEYS);
    }
}

fn keep_answer(state: &mut State, id: id::Request) {
    let Some(work) = state.requests.get_mut(&id) else {
        return;
    };
    if work.head.idempotent {
        return;
    }
    let whole = work
        .answer
        .as_mut()
        .filter(|received| received.kept_bytes().is_some());
    if let Some(received) = whole.and_then(attempt::Received::share) {
        state.kept.keep(id, received);
    }
}

fn abort(state: &mut State, id: id::Request) {
    let work = state.requests.get_mut(&id);
    if let Some(running) = work.and_then(|work| work.running.as_ref()) {
        running.abort();
    }
}

fn replayed(id: id::Request, kept: request::Kept) -> problem::Problem {
    match kept {
        request::Kept::Answered(status) => problem::Problem {
            outcome: problem::Outcome::Ran,
            ..problem::Problem::not_run(
                problem::Kind::AlreadyAccepted,
                format!("request {id} ran and was answered with {status}"),
            )
        },
        request::Kept::Unknown => problem::Problem::unknown(
            problem::Kind::AlreadyAccepted,
            format!("request {id} was sent before and its answer was lost"),
        ),
    }
}

fn fingerprint(head: &head::Request, kept: &body::Kept) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(head.method.as_bytes());
    hasher.update(&[0]);
    hasher.update(head.uri.as_bytes());
    hasher.update(&kept.length().unwrap_or(u64::MAX).to_le_bytes());
    hasher.update(kept.bytes());
    hasher.digest()
}

fn held_bytes(head: &head::Request, kept: &body::Kept) -> u64 {
    let fields = head.headers.iter();
    let head_bytes: usize = fields
        .map(|field| field.name.len() + field.value.len())
        .sum();
    (head_bytes + head.uri.len() + kept.bytes().len()) as u64
}
