//! Carries out the outputs of a lane.

use std::sync;
use std::time::Duration;

use yucca_lane::lane;
use yucca_lane::request;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::problem;

use super::{Runtime, State};
use crate::process::lanes::attempt;
use crate::process::lanes::grants;
use crate::process::lanes::message;
use crate::process::shared;
use crate::request::answer;

impl Runtime {
    pub(super) fn perform(
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
                lane::Output::Replay {
                    id,
                    caller,
                    outcome,
                } => {
                    let answer = match state.answers.get(id) {
                        Some(received) => received.into_answer(load),
                        None => answer::Answer::refusal(recorded_problem(id, outcome), load),
                    };
                    self.answer(state, id, caller, answer);
                }
                lane::Output::Forward { id, caller, to } => {
                    let detail = format!("the request is forwarded to {to:?}");
                    let problem = problem::Problem::not_run(problem::Kind::NoOwner, detail);
                    self.answer(state, id, caller, answer::Answer::refusal(problem, load));
                }
                lane::Output::Released { release, .. } => {
                    grants::revoke(self, release);
                }
                other => self.perform_async(shared, other),
            }
        }
    }

    /// Carries out outputs that need messages to other hosts or a probe of the target.
    fn perform_async(
        self: &sync::Arc<Self>,
        shared: &sync::Arc<shared::Shared>,
        output: lane::Output,
    ) {
        let runtime = sync::Arc::clone(self);
        let shared = sync::Arc::clone(shared);
        tokio::spawn(async move {
            match output {
                lane::Output::Dial => attempt::probe_target(&shared, &runtime).await,
                other => message::send_output(&shared, &runtime, other).await,
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
                let detail =
                    format!("the answer to request {id} was already sent to its first caller");
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
            // Sending fails if the caller has just disconnected; the answer is then not needed.
            let _ = waiting.sender.send(answer);
            if let Some(work) = state.requests.get_mut(&id) {
                work.waiting_callers -= 1;
            }
        }
        if let Some(at) = state.requests.get_index_of(&id) {
            self.remove_if_done(state, at);
        }
    }
}

fn abort(state: &mut State, id: id::Request) {
    let work = state.requests.get_mut(&id);
    if let Some(running) = work.and_then(|work| work.running.as_ref()) {
        running.abort();
    }
}

fn recorded_problem(id: id::Request, outcome: request::Outcome) -> problem::Problem {
    match outcome {
        request::Outcome::Answered(status) => problem::Problem {
            outcome: problem::Outcome::Ran,
            ..problem::Problem::not_run(
                problem::Kind::AlreadyAccepted,
                format!("request {id} ran and was answered with {status}"),
            )
        },
        request::Outcome::Unknown => problem::Problem::unknown(
            problem::Kind::AlreadyAccepted,
            format!("request {id} was sent before and its outcome is unknown"),
        ),
    }
}
