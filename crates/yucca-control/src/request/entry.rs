//! Reports of entry processes, and control processes that follow this one.

use std::time;

use bytes::Bytes;
use yucca_wire::report;

use crate::message;
use crate::peer;
use crate::process::core;
use crate::version::feed;

/// How long the domain's leader is looked for.
const LEADER_PATIENCE: time::Duration = time::Duration::from_millis(500);

impl core::Core {
    /// Passes a report on to the domain's leader and answers with what is newer.
    ///
    /// A report that the leader did not hear is refused, so that the entry process sends what it
    /// told again.
    pub(super) async fn answer_report(&self, frame: &[u8]) -> Result<Bytes, peer::Refusal> {
        let report: report::Report = self.decode(frame)?;
        let came = self.now();
        let known = feed::Known {
            global: report.global,
            locals: report.locals.clone(),
        };
        let hear = message::ForwardReport {
            domain: self.settings.domain.clone(),
            report,
        };
        let heard = self.ask_leader(hear, LEADER_PATIENCE).await;
        let (lease_us, home_leases_us) = match heard {
            Some(message::ForwardReportReply::Accepted {
                lease_us,
                home_leases_us,
            }) => (lease_us, home_leases_us),
            _ => {
                metrics::counter!("yucca_control_reports_unheard_total").increment(1);
                let domain = &self.settings.domain;
                let reason = format!(
                    "domain {domain} has no leader that can be reached from here; report again"
                );
                return Err(peer::Refusal::Unavailable { reason });
            }
        };
        let heartbeat = self.settings.timing.heartbeat.0;
        let left = heartbeat.saturating_sub(self.now() - came);
        let mut update = self.feed.wait(&known, left).await;
        update.leased = lease_us.is_some();
        update.lease_us = lease_us;
        update.home_leases_us = home_leases_us;
        self.encode(&update)
    }

    /// Answers a control process that follows this one.
    pub(super) async fn answer_poll(&self, frame: &[u8]) -> Result<Bytes, peer::Refusal> {
        let follow: message::Poll = self.open::<message::Poll>(frame)?.body;
        let known = feed::Known {
            global: follow.global,
            locals: follow.locals,
        };
        let patience = self.settings.timing.heartbeat.0;
        // A process that is not ready has nobody wait for it.
        let patience = if self.ready.is_current() {
            patience
        } else {
            patience / 4
        };
        let update = self.feed.wait(&known, patience).await;
        let log = message::Log::Domain(self.settings.domain.clone());
        self.encode(&message::PollReply {
            update,
            current: self.ready.is_current(),
            leader: self.leader_hint(&log),
        })
    }
}
