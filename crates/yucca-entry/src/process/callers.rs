//! The listener for callers.

use std::sync;
use std::sync::atomic;

use http_body_util::BodyExt;
use tokio::time;
use yucca_wire::problem;

use crate::process::shared;
use crate::request::answer;
use crate::request::body;
use crate::request::forward;
use crate::request::parse;

/// Counts a request in flight until it is dropped.
struct InFlight(sync::Arc<shared::Shared>);

impl InFlight {
    fn begin(shared: &sync::Arc<shared::Shared>) -> Self {
        shared.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        Self(sync::Arc::clone(shared))
    }
}

impl InFlight {
    /// Returns `frame` unchanged. The call makes the closure that maps an answer's frames own the
    /// counter.
    fn keep_counting<T>(&self, frame: T) -> T {
        frame
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Answers one request of a caller.
pub async fn serve(
    shared: sync::Arc<shared::Shared>,
    request: http::Request<hyper::body::Incoming>,
) -> http::Response<body::Stream> {
    let limit = shared.settings.request_limit as usize;
    if shared.in_flight.load(atomic::Ordering::Relaxed) >= limit {
        let detail = format!("{limit} requests are in flight at this host");
        let problem = problem::Problem::not_run(problem::Kind::Shed, detail)
            .retry_after(yucca_wire::unit::Span::from_millis(1000));
        return answer::refused(&problem, None);
    }
    let counted = InFlight::begin(&shared);
    let (parts, incoming) = request.into_parts();
    let view = shared.current.load();
    let read = match parse::read(&view, &parts) {
        Ok(read) => read,
        Err(problem) => return answer::refused(&problem, None),
    };
    let service = read.service.clone();
    let counters = view.counters(&service, read.class);
    drop(view);
    let started = time::Instant::now();
    let stream = body::incoming(incoming, read.body_limit);
    let answer = forward::run(&shared, read, &parts, stream).await;
    if let Some(counters) = counters {
        counters.count(&answer.head.verdict, started.elapsed());
    }
    // The request counts as in flight until the whole answer was sent.
    answer.into_response(&service).map(|stream| {
        stream
            .map_frame(move |frame| counted.keep_counting(frame))
            .boxed_unsync()
    })
}
