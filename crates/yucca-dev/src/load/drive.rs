//! Drives load: an open loop, in which requests arrive on schedule however slowly the system
//! responds, and a closed loop with a fixed number of workers.

use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use tokio::time as clock;

use super::router;
use super::tally;
use super::trace;

/// Maximum number of requests in flight. Arrivals beyond it are counted as failed and not sent.
const MAX_IN_FLIGHT: usize = 30_000;

/// Interval between two updates of the progress line.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// One of the routers under comparison, with the counts of its requests.
#[derive(Clone)]
pub struct Variant {
    /// Router that sends the requests.
    pub router: sync::Arc<dyn router::Router>,
    /// Counts of the requests sent by this router.
    pub tally: sync::Arc<tally::Tally>,
}

/// Sends the arrivals of a trace to the variants in turn, and waits until all requests have ended.
///
/// `label` is shown in the progress line.
pub async fn run(label: &str, trace: trace::Trace, variants: Vec<Variant>) {
    let in_flight = sync::Arc::new(atomic::AtomicUsize::new(0));
    let progress = tokio::spawn(progress(
        label.to_owned(),
        variants.clone(),
        in_flight.clone(),
    ));
    let handle = tokio::runtime::Handle::current();
    let pacer = tokio::task::spawn_blocking(move || pace(trace, &variants, &in_flight, &handle));
    let tasks = pacer.await.unwrap_or_default();
    for task in tasks {
        let _ = task.await;
    }
    progress.abort();
    eprintln!();
}

/// Starts each request at its time of arrival. Runs on its own thread, so that arrivals are not
/// delayed by the load on the runtime or by the millisecond resolution of the runtime's timer.
fn pace(
    trace: trace::Trace,
    variants: &[Variant],
    in_flight: &sync::Arc<atomic::AtomicUsize>,
    handle: &tokio::runtime::Handle,
) -> Vec<tokio::task::JoinHandle<()>> {
    let start = time::Instant::now();
    let mut tasks = Vec::new();
    for (arrival, variant) in trace.zip(variants.iter().cycle()) {
        let due = start + arrival.at;
        let now = time::Instant::now();
        if due > now {
            thread::sleep(due - now);
        }
        if in_flight.load(atomic::Ordering::Relaxed) >= MAX_IN_FLIGHT {
            let outcome = tally::Outcome::Failed;
            variant
                .tally
                .add(&arrival, time::Duration::ZERO, outcome, None);
            continue;
        }
        in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        tasks.push(handle.spawn(exchange(variant.clone(), arrival, due, in_flight.clone())));
    }
    tasks
}

async fn exchange(
    variant: Variant,
    arrival: trace::Arrival,
    due: time::Instant,
    in_flight: sync::Arc<atomic::AtomicUsize>,
) {
    let deadline = clock::Instant::from_std(due + arrival.deadline);
    let response = clock::timeout_at(deadline, variant.router.send(&arrival)).await;
    let response = response.ok();
    let latency = due.elapsed();
    in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    let outcome = tally::Outcome::of(response.as_ref());
    let reply = response
        .as_ref()
        .and_then(|response| response.as_ref().ok());
    let target = reply.and_then(|reply| reply.target.as_ref());
    variant.tally.add(&arrival, latency, outcome, target);
}

async fn progress(
    label: String,
    variants: Vec<Variant>,
    in_flight: sync::Arc<atomic::AtomicUsize>,
) {
    let mut ticks = clock::interval(PROGRESS_INTERVAL);
    loop {
        ticks.tick().await;
        let counts = variants.iter().map(|variant| variant.tally.progress());
        let (ended, in_time) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        let in_flight = in_flight.load(atomic::Ordering::Relaxed);
        eprint!("\r{label}: {ended} ended, {in_time} in time, {in_flight} in flight   ");
        let _ = std::io::stderr().flush();
    }
}

/// Runs `workers` that each send one request after the other until `length` has passed.
///
/// Returns the number of requests that were answered in that time.
pub async fn closed_loop(
    router: &sync::Arc<dyn router::Router>,
    plan: &trace::Plan,
    workers: u64,
    length: time::Duration,
) -> u64 {
    let end = clock::Instant::now() + length;
    let mut tasks = tokio::task::JoinSet::new();
    for worker in 0..workers {
        let plan = trace::Plan {
            seed: plan.seed ^ worker,
            ..plan.clone()
        };
        tasks.spawn(run_worker(router.clone(), trace::Trace::new(plan), end));
    }
    let counts = tasks.join_all().await;
    counts.into_iter().sum()
}

async fn run_worker(
    router: sync::Arc<dyn router::Router>,
    trace: trace::Trace,
    end: clock::Instant,
) -> u64 {
    let mut answered = 0;
    for arrival in trace {
        let response = clock::timeout_at(end, router.send(&arrival)).await;
        let Ok(response) = response else {
            break;
        };
        answered += u64::from(tally::Outcome::of(Some(&response)) == tally::Outcome::InTime);
    }
    answered
}
