//! Answers that only the leader of a log gives.

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
    /// Has an entry committed, if this host leads the log.
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
        let idle = {
            let machine = lock(&hosted.machine);
            (!machine.state.needs(&command)).then_some(machine.version)
        };
        if let Some(version) = idle {
            let reply = crate::machine::pack(&global::Reply::Done);
            return ProposeReply::Applied(message::Receipt { version, reply });
        }
        proposed(hosted.replica.propose(entry).await)
    }

    /// Takes in a report, if this host leads the domain, and tells whether its host's lease runs
    /// anew. Only a leader that a quorum confirms after the report came may say so.
    pub async fn serve_forward_report(&self, hear: message::ForwardReport) -> ForwardReportReply {
        let Some(hosted) = self.domain(&hear.domain) else {
            return ForwardReportReply::NotLeader(None);
        };
        let status = hosted.replica.status();
        if !status.leads {
            return ForwardReportReply::NotLeader(status.leader);
        }
        let now = self.now();
        lock(&hosted.evidence).record_report(&hear.report, now);
        let seen = hosted::LastReport::new(&hear.report, now);
        lock(&hosted.last_reports).insert(hear.report.host.clone(), seen);
        if is_urgent(&hear.report) {
            self.plan_now.notify_one();
        }
        if !hosted.confirmation.wait(now).await {
            return ForwardReportReply::NotLeader(None);
        }
        let evidence = lock(&hosted.evidence);
        let machine = lock(&hosted.machine);
        let leased = evidence.may_lease(&machine.state, &hear.report.host);
        let home_leases = machine.state.home_leases(&evidence, now).into_iter();
        ForwardReportReply::Accepted {
            lease_us: leased.then(|| micros(lease::holder(lease::HOST))),
            home_leases_us: home_leases.map(|(s, left)| (s, micros(left))).collect(),
        }
    }

    /// Answers a question about what this host knows as leader.
    pub async fn serve_query(&self, question: message::Query) -> QueryReply {
        match question {
            message::Query::Tickets => self.read_global(view::tickets).await,
            message::Query::Ticket(number) => {
                self.read_global(|state| view::ticket(state, number)).await
            }
            message::Query::Hosts(domain) => self.tell_hosts(&domain),
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

    fn tell_hosts(&self, domain: &id::Domain) -> QueryReply {
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
        let told = json!({ "leader": self.settings.host, "hosts": hosts });
        QueryReply::Json(told.to_string())
    }

    /// Returns what this host knows of the logs that it takes part in.
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

fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
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

/// Tells whether requests wait for what the domain's leader makes of a report: a move that can go
/// on, a lane that has ended, a target or host that leaves.
fn is_urgent(report: &report::Report) -> bool {
    let mut lanes = report.lanes.values();
    let mut announced = report.announced.iter();
    let leaves = |target: &announce::Announce| {
        !matches!(target.state, None | Some(announce::State::Serving))
    };
    report.stopping
        || lanes.any(|lane| lane.left || !lane.released.is_empty())
        || announced.any(leaves)
}
