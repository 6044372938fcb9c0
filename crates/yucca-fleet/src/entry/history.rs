//! What happened to a request, for its line in the log.

use std::fmt::Write;
use std::time;

use yucca_own::site::{item, target as site};

use crate::dialect::target;
use crate::entry::{Core, request};

/// What happened to a request so far.
#[derive(Default)]
pub(super) struct Trail {
    /// The targets that it was sent to.
    pub tried: Vec<site::Number>,
    /// How often it reached a target.
    pub sent: u32,
    /// How long it waited for a target in all.
    pub waited: time::Duration,
    notes: String,
}

impl Trail {
    /// Takes in what came of an attempt.
    pub fn note(&mut self, target: &item::Name, what: &str) {
        if !self.notes.is_empty() {
            self.notes.push_str("; ");
        }
        // Writing to a text does not fail.
        let _ = write!(self.notes, "{target}: {what}");
    }

    /// Writes the line of the request, and counts it.
    pub fn log(&self, core: &Core, job: &request::Job, status: http::StatusCode) {
        let took = core.clock.now().saturating_sub(job.arrived);
        let status_text = status.as_u16().to_string();
        metrics::counter!("yucca_entry_requests_total", "status" => status_text).increment(1);
        metrics::histogram!("yucca_entry_request_seconds").record(took.as_secs_f64());
        metrics::counter!("yucca_entry_attempts_total").increment(u64::from(self.sent));
        log::info!(
            "request={} route={}@{} service={} key={:?} patience={:?} version={} took={took:?} status={} sent={} waited={:?} [{}]",
            String::from_utf8_lossy(&job.head.id),
            job.route.name,
            job.route.revision,
            job.service,
            job.head.key,
            job.head.timeout,
            core.view.load().version,
            status.as_u16(),
            self.sent,
            self.waited,
            self.notes
        );
    }
}

/// Returns a verdict in words.
pub(super) fn text(verdict: target::Verdict) -> &'static str {
    match verdict {
        target::Verdict::Answer => "answered",
        target::Verdict::Failure => "failed",
        target::Verdict::Shed => "had no room",
        target::Verdict::NotOwner => "does not hold the key",
        target::Verdict::WrongTarget => "another target is there",
        target::Verdict::Untrusted => "an answer that is not to this request",
    }
}
