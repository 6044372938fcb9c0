//! Open-loop arrivals: a late system does not slow them.

use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use tokio::time as clock;

use super::router;
use super::tally;
use super::trace;

/// The most requests in flight; more than that arrive, but fail at once.
const MAX_IN_FLIGHT: usize = 30_000;

/// The time between two lines of progress.
const PROGRESS: time::Duration = time::Duration::from_secs(1);

/// One of the ways that are compared: where an arrival goes and where it is counted.
#[derive(Clone)]
pub struct Variant {
    /// The way to the target.
    pub router: sync::Arc<dyn router::Router>,
    /// Where it is counted.
    pub tally: sync::Arc<tally::Tally>,
}

/// Sends a trace over the variants in turn, one arrival each, and waits for all answers.
pub async fn run(label: &str, trace: trace::Trace, variants: Vec<Variant>) {
    let open = sync::Arc::new(atomic::AtomicUsize::new(0));
    let progress = tokio::spawn(progress(label.to_owned(), variants.clone(), open.clone()));
    let handle = tokio::runtime::Handle::current();
    let pacer = tokio::task::spawn_blocking(move || pace(trace, &variants, &open, &handle));
    let tasks = pacer.await.unwrap_or_default();
    for task in tasks {
        let _ = task.await;
    }
    progress.abort();
    eprintln!();
}

/// Starts each arrival at its time. A thread of its own keeps the arrivals apart from the
/// runtime's load and its millisecond timer.
fn pace(
    trace: trace::Trace,
    variants: &[Variant],
    open: &sync::Arc<atomic::AtomicUsize>,
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
        if open.load(atomic::Ordering::Relaxed) >= MAX_IN_FLIGHT {
            let ended = tally::Outcome::Failed;
            variant
                .tally
                .add(&arrival, time::Duration::ZERO, ended, None);
            continue;
        }
        open.fetch_add(1, atomic::Ordering::Relaxed);
        tasks.push(handle.spawn(exchange(variant.clone(), arrival, due, open.clone())));
    }
    tasks
}

async fn exchange(
    variant: Variant,
    arrival: trace::Arrival,
    due: time::Instant,
    open: sync::Arc<atomic::AtomicUsize>,
) {
    let deadline = clock::Instant::from_std(due + arrival.deadline);
    let answer = clock::timeout_at(deadline, variant.router.send(&arrival)).await;
    let answer = answer.ok();
    let latency = due.elapsed();
    open.fetch_sub(1, atomic::Ordering::Relaxed);
    let end = tally::Outcome::of(answer.as_ref());
    let reply = answer.as_ref().and_then(|answer| answer.as_ref().ok());
    let target = reply.and_then(|reply| reply.target.as_ref());
    variant.tally.add(&arrival, latency, end, target);
}

async fn progress(label: String, variants: Vec<Variant>, open: sync::Arc<atomic::AtomicUsize>) {
    let mut ticks = clock::interval(PROGRESS);
    loop {
        ticks.tick().await;
        let counts = variants.iter().map(|variant| variant.tally.progress());
        let (ended, in_time) = counts.fold((0, 0), |sum, variant| {
            (sum.0 + variant.0, sum.1 + variant.1)
        });
        let open = open.load(atomic::Ordering::Relaxed);
        eprint!("\r{label}: {ended} ended, {in_time} in time, {open} in flight   ");
        let _ = std::io::stderr().flush();
    }
}

/// Lets `workers` send one request after the other until `length` has passed, and returns how many
/// were answered in time.
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
        tasks.spawn(work(router.clone(), trace::Trace::new(plan), end));
    }
    let counts = tasks.join_all().await;
    counts.into_iter().sum()
}

async fn work(
    router: sync::Arc<dyn router::Router>,
    trace: trace::Trace,
    end: clock::Instant,
) -> u64 {
    let mut answered = 0;
    for arrival in trace {
        let answer = clock::timeout_at(end, router.send(&arrival)).await;
        let Ok(answer) = answer else {
            break;
        };
        answered += u64::from(tally::Outcome::of(Some(&answer)) == tally::Outcome::InTime);
    }
    answered
}
