//! Attempts of a request, for its line in the log.

use std::fmt::{self, Write};
use std::time;

use yucca_lane::shared::survey;
use yucca_own::site::{item, target as site};

use crate::dialect::target;
use crate::entry::{Core, request};

/// Attempts of a request so far.
#[derive(Default)]
pub(super) struct History {
    /// The targets that it was already sent to, without those that do not hold its key.
    pub tried: Vec<site::Number>,
    /// Number of attempts that were sent to a target.
    pub sent: u32,
    /// Total time that it waited for a target.
    pub waited: time::Duration,
    attempts: String,
}

impl History {
    /// Records the result of an attempt.
    pub fn record(&mut self, target: &item::Name, result: &str) {
        self.add(format_args!("{target}: {result}"));
    }

    /// Records why it is refused.
    pub fn record_refusal(&mut self, survey: &survey::Survey) {
        self.add(format_args!("refused: {survey}"));
    }

    fn add(&mut self, text: fmt::Arguments<'_>) {
        if !self.attempts.is_empty() {
            self.attempts.push_str("; ");
        }
        // Writing to a string does not fail.
        let _ = self.attempts.write_fmt(text);
    }

    /// Writes the log line of the request and updates the metrics.
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
            self.attempts
        );
    }
}

/// Returns the text for a verdict in the log.
pub(super) fn describe(verdict: target::Verdict) -> &'static str {
    match verdict {
        target::Verdict::Answer => "answered",
        target::Verdict::Failure => "failed",
        target::Verdict::Shed => "had no free slot",
        target::Verdict::NotOwner => "does not hold the key",
        target::Verdict::WrongTarget => "another target has the address",
        target::Verdict::Untrusted => "an answer that is not to this request",
    }
}
