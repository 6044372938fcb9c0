//! Arrival of requests at a lane, and callers waiting for answers.

use std::sync;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time;
use xxhash_rust::xxh3;
use yucca_lane::lane;
use yucca_lane::request;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::key;
use yucca_wire::problem;

use super::{Runtime, Waiting, Work};
use crate::process::shared;
use crate::request::answer;
use crate::request::body;

/// Cancels a request for a caller that disconnects before it is answered.
struct Hangup {
    runtime: sync::Arc<Runtime>,
    shared: sync::Arc<shared::Shared>,
    id: id::Request,
    caller: request::Caller,
}

impl Drop for Hangup {
    fn drop(&mut self) {
        if self.runtime.remove_caller(self.caller) {
            let input = lane::Input::Cancel {
                id: self.id,
                caller: self.caller,
            };
            self.runtime.step(&self.shared, input);
        }
    }
}

impl Runtime {
    /// Runs a request in the lane and returns the answer.
    pub async fn run(
        self: &sync::Arc<Self>,
        shared: &sync::Arc<shared::Shared>,
        head: head::Request,
        stream: body::Stream,
        deadline: time::Instant,
    ) -> answer::Answer {
        let payload = match time::timeout_at(deadline, body::Payload::read(stream)).await {
            Ok(Ok(payload)) => payload,
            Ok(Err(error)) => return self.refusal(problem::Kind::BadRequest, error.to_string()),
            Err(_) => {
                return self.refusal(
                    problem::Kind::DeadlineExceeded,
                    "body was not complete before the deadline".into(),
                );
            }
        };
        let id = head.id;
        let (caller, receiver) = self.arrive(shared, head, payload, deadline);
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
                let detail = format!("the lane of {} was closed", self.target);
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
        payload: body::Payload,
        deadline: time::Instant,
    ) -> (request::Caller, oneshot::Receiver<answer::Answer>) {
        let (sender, receiver) = oneshot::channel();
        let now = shared.now();
        let left = deadline.saturating_duration_since(time::Instant::now());
        let mut state = self.lock();
        let caller = request::Caller(state.next_caller);
        state.next_caller += 1;
        let arrival = self.arrival(&head, &payload, caller, now + left);
        let id = head.id;
        state.callers.insert(caller, Waiting { id, sender });
        let mut unused = Some(payload);
        let work = state.requests.entry(id).or_insert_with(|| Work {
            head: sync::Arc::new(head),
            body: unused.take().unwrap_or(body::Payload::Sent),
            running: None,
            answer: None,
            waiting_callers: 0,
        });
        work.waiting_callers += 1;
        if let (false, Some(payload)) = (work.body.can_be_sent(), unused) {
            work.body = payload;
        }
        let outputs = state.lane.step(lane::Input::Arrive(arrival), now);
        self.perform(shared, &mut state, outputs);
        (caller, receiver)
    }

    fn arrival(
        &self,
        head: &head::Request,
        payload: &body::Payload,
        caller: request::Caller,
        deadline: Duration,
    ) -> request::Arrival {
        let shard = self.shards.zip(head.key.as_ref());
        request::Arrival {
            id: head.id,
            caller,
            fingerprint: fingerprint(head, payload),
            class: head.class,
            idempotent: head.idempotent,
            shard: shard.map(|(shards, key)| key::shard(key, shards)),
            key: head.key.clone(),
            bytes: memory_bytes(head, payload),
            deadline,
            resent: head.resent,
        }
    }

    /// Removes a caller that disconnected. Returns whether it was still waiting.
    fn remove_caller(&self, caller: request::Caller) -> bool {
        let mut state = self.lock();
        let Some(waiting) = state.callers.swap_remove(&caller) else {
            return false;
        };
        if let Some(work) = state.requests.get_mut(&waiting.id) {
            work.waiting_callers -= 1;
        }
        true
    }
}

fn fingerprint(head: &head::Request, payload: &body::Payload) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(head.method.as_bytes());
    hasher.update(&[0]);
    hasher.update(head.uri.as_bytes());
    hasher.update(&payload.length().unwrap_or(u64::MAX).to_le_bytes());
    hasher.update(payload.bytes());
    hasher.digest()
}

fn memory_bytes(head: &head::Request, payload: &body::Payload) -> u64 {
    let fields = head.headers.iter();
    let head_bytes: usize = fields
        .map(|field| field.name.len() + field.value.len())
        .sum();
    (head_bytes + head.uri.len() + payload.bytes().len()) as u64
}
