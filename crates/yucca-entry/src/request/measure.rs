//! Counts what became of callers' requests, by service and class, for the report on burn.

use std::time::Duration;

use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;

/// Why a request was not served, as the report on burn tells causes apart.
pub fn cause(kind: problem::Kind) -> Option<&'static str> {
    match kind {
        // The caller's own faults burn nobody's budget.
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

/// Counts an answered request. `objective` is the latency that its class promises.
pub fn count(
    service: &id::Service,
    class: table::Class,
    verdict: &head::Verdict,
    took: Duration,
    objective: Option<Duration>,
) {
    let class = match class {
        table::Class::Short => "short",
        table::Class::Long => "long",
    };
    let failed = match verdict {
        head::Verdict::Answered { .. } => None,
        head::Verdict::Refused(problem) => match cause(problem.kind) {
            Some(cause) => Some(cause),
            None => return,
        },
    };
    let service = service.to_string();
    metrics::counter!("yucca_requests_total", "service" => service.clone(), "class" => class)
        .increment(1);
    metrics::histogram!("yucca_request_seconds", "service" => service.clone(), "class" => class)
        .record(took.as_secs_f64());
    match failed {
        Some(cause) => {
            metrics::counter!("yucca_requests_failed_total", "service" => service, "class" => class, "cause" => cause)
                .increment(1);
        }
        None if objective.is_some_and(|objective| took > objective) => {
            metrics::counter!("yucca_requests_slow_total", "service" => service, "class" => class)
                .increment(1);
        }
        None => {}
    }
}
