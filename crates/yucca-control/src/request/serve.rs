//! Handling of requests that only the leader of a log can answer.

use std::time;

use serde_json::json;
use yucca_own::{global, lease};
use yucca_wire::{announce, id, report};

use crate::message::{self, ForwardReportReply, Log, ProposeReply, QueryReply};
use crate::mutex::lock;
use crate::process::core;
use crate::process::hosted;
use crate::replica;
use crate::request::view;

impl core::Core {
    /// Proposes an entry if this host leads the log, and waits until it is applied.
    pub async fn serve_propose(&self, propose: message::Propose) -> ProposeReply {
        match &propose.log {
            Log::Global => match self.global() {
                Some(hosted) => self.propose_global(&hosted, propose.entry).await,
                None => ProposeReply::NotLeader(None),
            },
            Log::Domain(domain) => match self.domain(domain) {
                Some(hosted) => proposed(hosted.replica.propose(propose.entry).await),
                None => ProposeReply::NotLeader(None),
            },
            Log::Site => ProposeReply::NotLeader(None),
        }
    }

    async fn propose_global(&self, hosted: &hosted::Global, entry: bytes::Bytes) -> ProposeReply {
        let status = hosted.replica.status();
        if !status.leads {
            return ProposeReply::NotLeader(status.leader);
        }
        let command = match rmp_serde::from_slice::<global::Command>(&entry) {
            Ok(command) => command,
            Err(error) => return ProposeReply::Unknown(error.to_string()),
        };
        if let Some(domain) = sender(&command) {
            lock(&hosted.evidence).record_contact(domain, self.now());
        }
        let unchanged = {
            let machine = lock(&hosted.machine);
            (!machine.state.needs(&command)).then_some(machine.version)
        };
        if let Some(version) = unchanged {
            let reply = crate::machine::pack(&global::Reply::Done);
            return ProposeReply::Applied(message::Receipt { version, reply });
        }
        proposed(hosted.replica.propose(entry).await)
    }

    /// Records a report if this host leads the domain's log, and returns whether the lease of the
    /// reporting host is renewed. Only a leader that a quorum confirms after the receipt of the
    /// report may renew it.
    pub async fn serve_forward_report(
        &self,
        forward: message::ForwardReport,
    ) -> ForwardReportReply {
        let Some(hosted) = self.domain(&forward.domain) else {
            return ForwardReportReply::NotLeader(None);
        };
        let status = hosted.replica.status();
        if !status.leads {
            return ForwardReportReply::NotLeader(status.leader);
        }
        let now = self.now();
        lock(&hosted.evidence).record_report(&forward.report, now);
        let last = hosted::LastReport::new(&forward.report, now);
        lock(&hosted.last_reports).insert(forward.report.host.clone(), last);
        if is_urgent(&forward.report) {
            self.plan_now.notify_one();
        }
        if !hosted.confirmation.wait(now).await {
            return ForwardReportReply::NotLeader(None);
        }
        let evidence = lock(&hosted.evidence);
        let machine = lock(&hosted.machine);
        let leased = evidence.may_lease(&machine.state, &forward.report.host);
        let home_leases = machine.state.home_leases(&evidence, now).into_iter();
        ForwardReportReply::Accepted {
            lease_us: leased.then(|| micros(lease::holder(lease::HOST))),
            home_leases_us: home_leases.map(|(s, left)| (s, micros(left))).collect(),
        }
    }

    /// Answers a query with the state that this host knows.
    pub async fn serve_query(&self, query: message::Query) -> QueryReply {
        match query {
            message::Query::Tickets => self.read_global(view::tickets).await,
            message::Query::Ticket(number) => {
                self.read_global(|state| view::ticket(state, number)).await
            }
            message::Query::Hosts(domain) => self.query_hosts(&domain),
            message::Query::Logs => QueryReply::Json(self.logs().to_string()),
        }
    }

    async fn read_global(
        &self,
        view: impl FnOnce(&global::State) -> serde_json::Value,
    ) -> QueryReply {
        let Some(hosted) = self.global() else {
            return QueryReply::NotLeader(None);
        };
        let status = hosted.replica.status();
        if !status.leads {
            return QueryReply::NotLeader(status.leader);
        }
        match hosted.replica.read().await {
            Ok(_) => QueryReply::Json(view(&lock(&hosted.machine).state).to_string()),
            Err(error) => QueryReply::Unknown(error.to_string()),
        }
    }

    fn query_hosts(&self, domain: &id::Domain) -> QueryReply {
        let Some(hosted) = self.domain(domain) else {
            return QueryReply::NotLeader(None);
        };
        let status = hosted.replica.status();
        if !status.leads {
            return QueryReply::NotLeader(status.leader);
        }
        let now = self.now();
        let hosts = lock(&hosted.last_reports);
        let hosts = hosts.iter().map(|(name, host)| {
            let value = json!({
                "heard_ms_ago": now.saturating_sub(host.received).as_millis() as u64,
                "incarnation": host.incarnation,
                "global": host.global,
                "locals": host.locals,
            });
            (name.to_string(), value)
        });
        let hosts: serde_json::Map<String, serde_json::Value> = hosts.collect();
        let answer = json!({ "leader": self.settings.host, "hosts": hosts });
        QueryReply::Json(answer.to_string())
    }

    /// Returns the status of the logs that this host takes part in.
    pub fn logs(&self) -> serde_json::Value {
        let mut logs = serde_json::Map::new();
        if let Some(hosted) = self.global() {
            logs.insert(
                Log::Global.to_string(),
                view::status(&hosted.replica.status()),
            );
        }
        for hosted in self.domains() {
            let log = hosted.replica.log().to_string();
            logs.insert(log, view::status(&hosted.replica.status()));
        }
        serde_json::Value::Object(logs)
    }
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn proposed(result: Result<message::Receipt, replica::Error>) -> ProposeReply {
    match result {
        Ok(receipt) => ProposeReply::Applied(receipt),
        Err(replica::Error::Refused(yucca_log::node::Refusal::NotLeader { leader })) => {
            ProposeReply::NotLeader(leader)
        }
        Err(error) => ProposeReply::Unknown(error.to_string()),
    }
}

/// Returns the domain whose leader proposes a command.
fn sender(command: &global::Command) -> Option<&id::Domain> {
    match command {
        global::Command::Capacity { domain, .. }
        | global::Command::Renew { domain, .. }
        | global::Command::Released { domain, .. } => Some(domain),
        _ => None,
    }
}

/// Returns whether requests may be waiting for the plan that follows from a report: a move can
/// continue, a lane has ended, or a target or host is leaving.
fn is_urgent(report: &report::Report) -> bool {
    let mut lanes = report.lanes.values();
    let mut announced = report.announced.iter();
    let is_leaving = |target: &announce::Announce| {
        !matches!(target.state, None | Some(announce::State::Serving))
    };
    report.stopping
        || lanes.any(|lane| lane.left || !lane.released.is_empty())
        || announced.any(is_leaving)
}
