//! Counters of callers' requests by service and class, for the reports on error budgets.

use std::fmt;
use std::time::Duration;

use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;

/// Returns the cause of a failed request for the report on error budgets, or `None` if the failure
/// does not count against the budget.
pub fn cause(kind: problem::Kind) -> Option<&'static str> {
    match kind {
        // Errors of the caller do not count against the error budget.
        problem::Kind::NoService
        | problem::Kind::NoKey
        | problem::Kind::TwoKeys
        | problem::Kind::BadHeader
        | problem::Kind::HeadTooLarge
        | problem::Kind::BodyTooLarge
        | problem::Kind::BadRequest
        | problem::Kind::AlreadyAccepted
        | problem::Kind::IdReused => None,
        problem::Kind::NoOwner => Some("move"),
        problem::Kind::Unreachable => Some("cut"),
        problem::Kind::QueueFull | problem::Kind::TooLate | problem::Kind::Shed => Some("crest"),
        problem::Kind::DeadlineExceeded => Some("deadline"),
        problem::Kind::TargetRefused => Some("target-refusal"),
        problem::Kind::TargetLost => Some("loss"),
        problem::Kind::Stopping | problem::Kind::NotReady => Some("stop"),
        problem::Kind::Internal => Some("internal"),
    }
}

/// Counters of one service and class.
pub struct Counters {
    service: String,
    class: &'static str,
    objective: Option<Duration>,
    requests: metrics::Counter,
    slow: metrics::Counter,
    seconds: metrics::Histogram,
}

impl fmt::Debug for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Counters({}/{})", self.service, self.class)
    }
}

impl Counters {
    /// Returns the counters of a service and class.
    pub fn new(service: &id::Service, description: &table::Service, class: table::Class) -> Self {
        let name = match class {
            table::Class::Short => "short",
            table::Class::Long => "long",
        };
        let labels = [
            ("service", service.to_string()),
            ("class", name.to_string()),
        ];
        Self {
            service: service.to_string(),
            class: name,
            objective: description
                .objectives
                .get(&class)
                .map(|objective| objective.latency.0),
            requests: metrics::counter!("yucca_requests_total", &labels),
            slow: metrics::counter!("yucca_requests_slow_total", &labels),
            seconds: metrics::histogram!("yucca_request_seconds", &labels),
        }
    }

    /// Counts an answered request and the time it took. Errors of the caller are not counted.
    pub fn count(&self, verdict: &head::Verdict, took: Duration) {
        let failed = match verdict {
            head::Verdict::Answered { .. } => None,
            head::Verdict::Refused(problem) => match cause(problem.kind) {
                Some(cause) => Some(cause),
                None => return,
            },
        };
        self.requests.increment(1);
        self.seconds.record(took.as_secs_f64());
        match failed {
            Some(cause) => metrics::counter!("yucca_requests_failed_total", "service" => self.service.clone(), "class" => self.class, "cause" => cause)
                .increment(1),
            None if self.objective.is_some_and(|objective| took > objective) => {
                self.slow.increment(1);
            }
            None => {}
        }
    }
}
