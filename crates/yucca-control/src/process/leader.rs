//! Requests that only the leader of a log can answer.

use std::time;

use futures_util::future;
use serde::Serialize;
use serde::de::DeserializeOwned;
use yucca_wire::id;

use crate::message::{
    self, ForwardReport, ForwardReportReply, Log, Propose, ProposeReply, Query, QueryReply,
};
use crate::process::core;
use crate::process::hosted;

/// Delay before all hosts of a log are asked again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(40);

/// A request that only the leader of a log can answer.
pub trait Request: Serialize + Clone + Send + Sync + 'static {
    /// The answer.
    type Answer: DeserializeOwned + Send;

    /// The path of the request.
    const PATH: &'static str;

    /// Returns the log.
    fn log(&self) -> Log;

    /// Handles the request on this host.
    fn serve(self, core: &core::Core) -> future::BoxFuture<'_, Self::Answer>;

    /// Returns what an answer means for the search for the leader.
    fn outcome(answer: &Self::Answer) -> Outcome;
}

/// What an answer means for the search for the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The leader answered.
    Done,
    /// The host is not the leader; it knows this one, if any.
    Redirect(Option<id::Host>),
    /// The host cannot answer.
    Unknown,
}

impl Request for Propose {
    type Answer = ProposeReply;
    const PATH: &'static str = message::PROPOSE_PATH;

    fn log(&self) -> Log {
        self.log.clone()
    }

    fn serve(self, core: &core::Core) -> future::BoxFuture<'_, ProposeReply> {
        Box::pin(core.serve_propose(self))
    }

    fn outcome(answer: &ProposeReply) -> Outcome {
        match answer {
            ProposeReply::Applied(_) => Outcome::Done,
            ProposeReply::NotLeader(leader) => Outcome::Redirect(leader.clone()),
            ProposeReply::Unknown(_) => Outcome::Unknown,
        }
    }
}

impl Request for ForwardReport {
    type Answer = ForwardReportReply;
    const PATH: &'static str = message::FORWARD_REPORT_PATH;

    fn log(&self) -> Log {
        Log::Domain(self.domain.clone())
    }

    fn serve(self, core: &core::Core) -> future::BoxFuture<'_, ForwardReportReply> {
        Box::pin(core.serve_forward_report(self))
    }

    fn outcome(answer: &ForwardReportReply) -> Outcome {
        match answer {
            ForwardReportReply::Accepted { .. } => Outcome::Done,
            ForwardReportReply::NotLeader(leader) => Outcome::Redirect(leader.clone()),
        }
    }
}

impl Request for Query {
    type Answer = QueryReply;
    const PATH: &'static str = message::QUERY_PATH;

    fn log(&self) -> Log {
        match self {
            Self::Hosts(domain) => Log::Domain(domain.clone()),
            Self::Tickets | Self::Ticket(_) | Self::Logs => Log::Global,
        }
    }

    fn serve(self, core: &core::Core) -> future::BoxFuture<'_, QueryReply> {
        Box::pin(core.serve_query(self))
    }

    fn outcome(answer: &QueryReply) -> Outcome {
        match answer {
            QueryReply::Json(_) => Outcome::Done,
            QueryReply::NotLeader(leader) => Outcome::Redirect(leader.clone()),
            QueryReply::Unknown(_) => Outcome::Unknown,
        }
    }
}

impl core::Core {
    /// Sends a request to the leader of its log, on whichever host it is, and returns the answer.
    /// If the leader does not answer within `timeout`, returns the last answer of a host that could
    /// not answer, which may contain the reason.
    ///
    /// The request may be delivered more than once, so its handling must be idempotent.
    pub async fn ask_leader<R: Request>(
        &self,
        request: R,
        timeout: time::Duration,
    ) -> Option<R::Answer> {
        let mut last = None;
        let search = self.search(request, &mut last);
        let found = tokio::time::timeout(timeout, search).await.ok();
        found.or(last)
    }

    async fn search<R: Request>(&self, request: R, last: &mut Option<R::Answer>) -> R::Answer {
        let log = request.log();
        let mut hint = self.leader_hint(&log);
        loop {
            let mut hosts = hosted::placement(&self.directory.load(), &log).hosts;
            // `next_host` returns the hint first and then takes hosts from the end, so the reversed
            // list is asked in the order of the placement, each host once a round.
            hosts.reverse();
            while let Some(host) = next_host(&mut hint, &mut hosts) {
                let Some(answer) = self.ask_host(&host, request.clone()).await else {
                    continue;
                };
                match R::outcome(&answer) {
                    Outcome::Done => return answer,
                    Outcome::Redirect(leader) => hint = leader.filter(|l| hosts.contains(l)),
                    Outcome::Unknown => *last = Some(answer),
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
            hint = self.leader_hint(&log);
        }
    }

    async fn ask_host<R: Request>(&self, host: &id::Host, request: R) -> Option<R::Answer> {
        if *host == self.settings.host {
            return Some(request.serve(self).await);
        }
        let address = self.directory.load().address(host)?;
        let timeout = self.settings.timing.answer.0;
        let answer = self.client.send(address, R::PATH, request, timeout).await;
        answer.ok()
    }
}

fn next_host(hint: &mut Option<id::Host>, hosts: &mut Vec<id::Host>) -> Option<id::Host> {
    if let Some(host) = hint.take() {
        hosts.retain(|other| *other != host);
        return Some(host);
    }
    hosts.pop()
}
