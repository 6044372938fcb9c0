//! Answers to reports of entry processes and to polls of control processes.

use std::time;

use bytes::Bytes;
use yucca_wire::report;

use crate::message;
use crate::peer;
use crate::process::core;
use crate::version::feed;

/// Maximum time that a report waits for an answer of the domain's leader.
const LEADER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

impl core::Core {
    /// Forwards a report to the domain's leader and answers with the newer parts of the table.
    ///
    /// A report that the leader did not record is refused, so that the entry process sends its
    /// content again.
    pub(super) async fn answer_report(&self, frame: &[u8]) -> Result<Bytes, peer::Refusal> {
        let report: report::Report = self.decode(frame)?;
        let received = self.now();
        let known = feed::Known {
            global: report.global,
            locals: report.locals.clone(),
        };
        let forward = message::ForwardReport {
            domain: self.settings.domain.clone(),
            report,
        };
        let reply = self.ask_leader(forward, LEADER_TIMEOUT).await;
        let (lease_us, home_leases_us) = match reply {
            Some(message::ForwardReportReply::Accepted {
                lease_us,
                home_leases_us,
            }) => (lease_us, home_leases_us),
            _ => {
                metrics::counter!("yucca_control_reports_unheard_total").increment(1);
                let domain = &self.settings.domain;
                let reason = format!(
                    "no leader of domain {domain} can be reached from this host; report again"
                );
                return Err(peer::Refusal::Unavailable { reason });
            }
        };
        let heartbeat = self.settings.timing.heartbeat.0;
        let left = heartbeat.saturating_sub(self.now() - received);
        let mut update = self.feed.wait(&known, left).await;
        update.leased = lease_us.is_some();
        update.lease_us = lease_us;
        update.home_leases_us = home_leases_us;
        self.encode(&update)
    }

    /// Answers a poll of a control process.
    pub(super) async fn answer_poll(&self, frame: &[u8]) -> Result<Bytes, peer::Refusal> {
        let poll: message::Poll = self.open::<message::Poll>(frame)?.body;
        let known = feed::Known {
            global: poll.global,
            locals: poll.locals,
        };
        let heartbeat = self.settings.timing.heartbeat.0;
        // A process that is not current replies sooner, so that no other process waits for it.
        let timeout = if self.ready.is_current() {
            heartbeat
        } else {
            heartbeat / 4
        };
        let update = self.feed.wait(&known, timeout).await;
        let log = message::Log::Domain(self.settings.domain.clone());
        self.encode(&message::PollReply {
            update,
            current: self.ready.is_current(),
            leader: self.leader_hint(&log),
        })
    }
}
