//! Simulations of a lane in virtual time, with baselines on the same arrivals.
//!
//! `cargo run --release -p yucca-lane --example bench [memory|steps|head-of-line|fleet|crest]`

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_distr::Distribution;
use yucca_lane::lane;
use yucca_lane::owners;
use yucca_lane::request;
use yucca_lane::standby;
use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;
use yucca_wire::unit;

const SLOTS: u16 = 3;
/// Number of targets of one service.
const TARGETS: usize = 13;
const SHORT_MEAN: Duration = Duration::from_millis(4);
const LONG_MEAN: Duration = Duration::from_millis(160);
const SHORT_DEADLINE: Duration = Duration::from_millis(200);
/// Deadline in latency measurements, long enough that nothing is refused.
const RELAXED_DEADLINE: Duration = Duration::from_secs(60);
const LONG_DEADLINE: Duration = Duration::from_secs(3600);
/// Standard deviation of the logarithm of service times.
const SIGMA: f64 = 1.0;
/// Round-trip time to the standby.
const STANDBY_TRIP: Duration = Duration::from_millis(1);
const SEED: u64 = 11;

/// Offered load: the share of all slots that each kind of request would occupy.
#[derive(Debug, Clone, Copy)]
struct Mix {
    reads: f64,
    orders: f64,
    long: f64,
    short_deadline: Duration,
    long_deadline: Duration,
}

impl Mix {
    fn scaled(self, factor: f64) -> Self {
        Self {
            reads: self.reads * factor,
            orders: self.orders * factor,
            long: self.long * factor,
            ..self
        }
    }
}

/// Offered load from a point in time on.
#[derive(Debug, Clone, Copy)]
struct Span {
    from: Duration,
    mix: Mix,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Read,
    Order,
    Long,
}

const KINDS: [Kind; 3] = [Kind::Read, Kind::Order, Kind::Long];

#[derive(Debug, Clone, Copy)]
struct Job {
    id: u64,
    kind: Kind,
    at: Duration,
    service: Duration,
    deadline: Duration,
}

/// Result of a job.
#[derive(Debug, Clone, Copy)]
struct Record {
    job: Job,
    done: Option<Duration>,
}

impl Record {
    fn in_time(&self) -> bool {
        self.done.is_some_and(|done| done <= self.job.deadline)
    }

    fn latency(&self) -> Option<Duration> {
        self.done.map(|done| done - self.job.at)
    }
}

fn log_normal(mean: Duration) -> rand_distr::LogNormal<f64> {
    let mu = mean.as_secs_f64().ln() - SIGMA * SIGMA / 2.0;
    rand_distr::LogNormal::new(mu, SIGMA).unwrap_or_else(|_| std::process::exit(2))
}

/// Generates the arrivals of all kinds, ordered by time.
fn jobs(spans: &[Span], until: Duration, slots: u16) -> Vec<Job> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let mut jobs = Vec::new();
    for kind in KINDS {
        let (mean, deadline) = match kind {
            Kind::Long => (LONG_MEAN, spans[0].mix.long_deadline),
            _ => (SHORT_MEAN, spans[0].mix.short_deadline),
        };
        let service = log_normal(mean);
        let gap = rand_distr::Exp1;
        let mut now = Duration::ZERO;
        while now < until {
            let span = spans.iter().rev().find(|span| span.from <= now);
            let mix = span.map_or(spans[0].mix, |span| span.mix);
            let share = match kind {
                Kind::Read => mix.reads,
                Kind::Order => mix.orders,
                Kind::Long => mix.long,
            };
            if share <= 0.0 {
                now += Duration::from_millis(10);
                continue;
            }
            let unit: f64 = gap.sample(&mut rng);
            now += mean.div_f64(share * f64::from(slots)).mul_f64(unit);
            let service = Duration::from_secs_f64(service.sample(&mut rng));
            jobs.push(Job {
                id: 0,
                kind,
                at: now,
                service,
                deadline: now + deadline,
            });
        }
    }
    jobs.sort_by_key(|job| job.at);
    for (id, job) in jobs.iter_mut().enumerate() {
        job.id = id as u64;
    }
    jobs
}

/// Simulates the baseline: one FIFO queue without classes or early refusal.
fn run_fifo(jobs: &[Job]) -> Vec<Record> {
    let mut free: BinaryHeap<Reverse<Duration>> =
        (0..SLOTS).map(|_| Reverse(Duration::ZERO)).collect();
    let mut records = Vec::new();
    for job in jobs {
        let Some(Reverse(at)) = free.pop() else {
            break;
        };
        let start = at.max(job.at);
        let expired = start >= job.deadline;
        let end = if expired { at } else { start + job.service };
        free.push(Reverse(end));
        let done = (!expired).then_some(end);
        records.push(Record { job: *job, done });
    }
    records
}

/// Simulates the baseline with several targets: each request joins the queue of a random target.
fn run_direct(jobs: &[Job], targets: usize) -> Vec<Record> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let mut queues: Vec<Vec<Job>> = vec![Vec::new(); targets];
    for job in jobs {
        queues[rng.random_range(0..targets)].push(*job);
    }
    queues.iter().flat_map(|queue| run_fifo(queue)).collect()
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(u64, u32),
    Permit(u64, u64),
    Copied(u64),
    Wake,
}

/// A lane in virtual time.
struct Simulation<'a> {
    lane: lane::Lane,
    standby: standby::Standby,
    token: id::Token,
    host: id::Host,
    jobs: &'a [Job],
    done: IndexMap<u64, Duration>,
    refused: IndexMap<problem::Kind, u64>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    steps: u64,
}

impl Simulation<'_> {
    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn step(&mut self, input: lane::Input, now: Duration) {
        self.steps += 1;
        for output in self.lane.step(input, now) {
            self.perform(output, now);
        }
        if let Some(at) = self.lane.next_wake() {
            let next = self.events.peek().map(|Reverse((at, _, _))| *at);
            if next.is_none_or(|next| at < next) {
                self.push(at.max(now), Event::Wake);
            }
        }
    }

    fn perform(&mut self, output: lane::Output, now: Duration) {
        let token = self.token;
        match output {
            lane::Output::Send { id, attempt, .. } => {
                let service = self.jobs[id.0 as usize].service;
                self.push(now + service, Event::End(id.0 as u64, attempt));
            }
            lane::Output::Deliver { id, .. } => {
                self.done.insert(id.0 as u64, now);
            }
            lane::Output::Refuse { problem, .. } => {
                *self.refused.entry(problem.kind).or_default() += 1;
            }
            lane::Output::CopyAll { number, ledger, .. } => {
                let input = standby::Input::CopyAll {
                    token,
                    number,
                    ledger,
                };
                self.standby.step(input, now);
                self.push(now + STANDBY_TRIP, Event::Copied(number));
            }
            lane::Output::Copy { entry, .. } => {
                let (id, seq) = (entry.id.0 as u64, entry.seq);
                self.standby
                    .step(standby::Input::Copy { token, entry }, now);
                self.push(now + STANDBY_TRIP, Event::Permit(id, seq));
            }
            lane::Output::Settle { entry, .. } => {
                self.standby
                    .step(standby::Input::Settle { token, entry }, now);
            }
            lane::Output::Dial => self.step(lane::Input::Alive, now),
            _ => {}
        }
    }

    fn handle(&mut self, event: Event, now: Duration) {
        let request = |id: u64| id::Request(u128::from(id));
        let input = match event {
            Event::End(id, attempt) => lane::Input::AttemptEnded {
                id: request(id),
                attempt,
                result: Ok(request::Status(200)),
            },
            Event::Permit(id, seq) => lane::Input::Permit {
                id: request(id),
                seq,
            },
            Event::Copied(number) => lane::Input::Copied {
                standby: self.host.clone(),
                number,
            },
            Event::Wake => lane::Input::Tick,
        };
        self.step(input, now);
    }
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| std::process::exit(2))
}

fn config() -> lane::Config {
    lane::Config {
        target: name("target"),
        token: id::Token::default(),
        slots: id::Slots(SLOTS),
        limits: table::Limits {
            body: unit::Size(1 << 20),
            queue_requests: 1000,
            queue_bytes: unit::Size(64 << 20),
            short_reserve: id::Slots(1),
        },
        retry: table::Retry {
            attempts: 3,
            budget: 0.1,
        },
        standby: Some(name("standby")),
        single_host: false,
        warm: 1.0,
        ledger_window: Duration::from_secs(600),
        ledger_entries: 1 << 20,
        ledger_gap: false,
        keyed: false,
        stops_on_close: true,
        lease: None,
        seed: SEED,
    }
}

fn arrival(job: &Job) -> request::Arrival {
    request::Arrival {
        id: id::Request(u128::from(job.id)),
        caller: request::Caller(job.id),
        fingerprint: job.id,
        class: match job.kind {
            Kind::Long => table::Class::Long,
            _ => table::Class::Short,
        },
        idempotent: job.kind != Kind::Order,
        shard: None,
        key: None,
        bytes: 200,
        deadline: job.deadline,
        resent: false,
    }
}

/// Choice of a lane for each request of a service without keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Choice {
    Random,
    /// The less loaded of two random lanes.
    Two,
}

fn run_lane(jobs: &[Job]) -> Run {
    run_lanes(jobs, 1, Choice::Random)
}

fn new_simulation(jobs: &[Job]) -> Simulation<'_> {
    Simulation {
        lane: lane::Lane::new(config(), Duration::ZERO),
        standby: standby::Standby::new(Duration::from_secs(600), 1 << 20),
        token: id::Token::default(),
        host: name("standby"),
        jobs,
        done: IndexMap::new(),
        refused: IndexMap::new(),
        events: BinaryHeap::new(),
        sequence: 0,
        steps: 0,
    }
}

fn choose(lanes: &[Simulation<'_>], choice: Choice, rng: &mut rand_chacha::ChaCha8Rng) -> usize {
    let first = rng.random_range(0..lanes.len());
    if choice == Choice::Random || lanes.len() == 1 {
        return first;
    }
    let step = rng.random_range(1..lanes.len());
    let second = (first + step) % lanes.len();
    let load_of = |at: usize| {
        let load = lanes[at].lane.load(Duration::ZERO);
        (load.wait_us, load.running + load.waiting)
    };
    if load_of(second) < load_of(first) {
        second
    } else {
        first
    }
}

fn run_lanes(jobs: &[Job], count: usize, choice: Choice) -> Run {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let mut lanes: Vec<_> = (0..count).map(|_| new_simulation(jobs)).collect();
    let started = Instant::now();
    let mut next = 0;
    loop {
        let times = lanes.iter().enumerate().filter_map(|(at, lane)| {
            let event = lane.events.peek();
            event.map(|Reverse((time, _, _))| (*time, at))
        });
        let event = times.min();
        let due = jobs.get(next).map(|job| job.at);
        match (due, event) {
            (Some(due), event) if event.is_none_or(|(at, _)| due <= at) => {
                let at = choose(&lanes, choice, &mut rng);
                let input = lane::Input::Arrive(arrival(&jobs[next]));
                next += 1;
                lanes[at].step(input, due);
            }
            (due, Some((_, at))) => {
                let idle = |one: &Simulation<'_>| {
                    one.lane.load(Duration::ZERO).running == 0 && one.lane.waiting() == 0
                };
                if due.is_none() && lanes.iter().all(idle) {
                    break;
                }
                if let Some(Reverse((time, _, event))) = lanes[at].events.pop() {
                    lanes[at].handle(event, time);
                }
            }
            _ => break,
        }
    }
    let elapsed = started.elapsed();
    let record = |job: &Job| Record {
        job: *job,
        done: lanes.iter().find_map(|one| one.done.get(&job.id).copied()),
    };
    let steps: u64 = lanes.iter().map(|one| one.steps).sum();
    let mut refused = IndexMap::new();
    for (kind, times) in lanes.iter().flat_map(|one| &one.refused) {
        *refused.entry(*kind).or_default() += times;
    }
    Run {
        records: jobs.iter().map(record).collect(),
        refused,
        step: elapsed.div_f64(steps as f64),
    }
}

struct Run {
    records: Vec<Record>,
    refused: IndexMap<problem::Kind, u64>,
    step: Duration,
}

fn percentile(records: &[Record], share: f64) -> f64 {
    let short = records.iter().filter(|one| one.job.kind != Kind::Long);
    let mut times: Vec<_> = short.filter_map(Record::latency).collect();
    times.sort();
    let at = ((times.len() as f64 * share) as usize).min(times.len() - 1);
    times[at].as_secs_f64() * 1e3
}

/// Returns the share of long requests that were answered by the end of the arrivals.
fn long_done(records: &[Record], until: Duration) -> f64 {
    let long = records.iter().filter(|one| one.job.kind == Kind::Long);
    let done = long
        .clone()
        .filter(|one| one.done.is_some_and(|at| at <= until));
    done.count() as f64 / long.count() as f64
}

fn head_of_line() {
    println!("short p99 in ms, long work at 40% of all slots (log-normal, mean 4 ms and 160 ms)");
    println!(
        "  short load | lane alone, with long, ratio | fifo alone, with long, ratio | long done"
    );
    let until = Duration::from_secs(1200);
    for share in [0.1, 0.2, 0.3, 0.4] {
        let alone = Mix {
            reads: share,
            orders: 0.0,
            long: 0.0,
            short_deadline: RELAXED_DEADLINE,
            long_deadline: LONG_DEADLINE,
        };
        let both = Mix { long: 0.4, ..alone };
        let from = Duration::ZERO;
        let alone = jobs(&[Span { from, mix: alone }], until, SLOTS);
        let both = jobs(&[Span { from, mix: both }], until, SLOTS);
        let lane = [run_lane(&alone).records, run_lane(&both).records];
        let fifo = [run_fifo(&alone), run_fifo(&both)];
        let lane_p99 = lane.each_ref().map(|records| percentile(records, 0.99));
        let fifo_p99 = fifo.each_ref().map(|records| percentile(records, 0.99));
        println!(
            "  {:>9.0}% | {:.1} {:.1} {:.2} | {:.1} {:.1} {:.2} | {:.3}",
            share * 100.0,
            lane_p99[0],
            lane_p99[1],
            lane_p99[1] / lane_p99[0],
            fifo_p99[0],
            fifo_p99[1],
            fifo_p99[1] / fifo_p99[0],
            long_done(&lane[1], until),
        );
    }
}

fn fleet() {
    println!("the same over {TARGETS} targets of a service without keys");
    println!(
        "  short load | random lane: alone, with long, ratio, long done | two choices: the same | no lane, random target, fifo: alone, with long, ratio"
    );
    let until = Duration::from_secs(900);
    for share in [0.1, 0.2, 0.3, 0.4] {
        let alone = Mix {
            reads: share,
            orders: 0.0,
            long: 0.0,
            short_deadline: RELAXED_DEADLINE,
            long_deadline: LONG_DEADLINE,
        };
        let both = Mix { long: 0.4, ..alone };
        let slots = SLOTS * TARGETS as u16;
        let from = Duration::ZERO;
        let alone = jobs(&[Span { from, mix: alone }], until, slots);
        let both = jobs(&[Span { from, mix: both }], until, slots);
        let figures = [Choice::Random, Choice::Two].map(|choice| {
            let alone = percentile(&run_lanes(&alone, TARGETS, choice).records, 0.99);
            let both = run_lanes(&both, TARGETS, choice).records;
            let done = long_done(&both, until);
            let both = percentile(&both, 0.99);
            format!("{alone:.1} {both:.1} {:.2} {done:.3}", both / alone)
        });
        let direct = [&alone, &both].map(|jobs| percentile(&run_direct(jobs, TARGETS), 0.99));
        println!(
            "  {:>9.0}% | {} | {} | {:.1} {:.1} {:.2}",
            share * 100.0,
            figures[0],
            figures[1],
            direct[0],
            direct[1],
            direct[1] / direct[0],
        );
    }
}

fn crest() {
    let calm = Mix {
        reads: 0.4,
        orders: 0.05,
        long: 0.15,
        short_deadline: SHORT_DEADLINE,
        long_deadline: Duration::from_secs(30),
    };
    let start = Duration::from_secs(30);
    let end = Duration::from_secs(40);
    let until = Duration::from_secs(70);
    let peak = calm.scaled(1.5 / 0.6);
    let spans = [
        Span {
            from: Duration::ZERO,
            mix: calm,
        },
        Span {
            from: start,
            mix: peak,
        },
        Span {
            from: end,
            mix: calm,
        },
    ];
    let jobs = jobs(&spans, until, SLOTS);
    let lane = run_lane(&jobs);
    let fifo = run_fifo(&jobs);
    println!("demand 1.5 times capacity for 10 s: share answered in time of what arrived then");
    for (label, records) in [("lane", &lane.records), ("fifo", &fifo)] {
        let peak = records
            .iter()
            .filter(|one| one.job.at >= start && one.job.at < end);
        let share = |kind: Kind| {
            let all = peak.clone().filter(|one| one.job.kind == kind);
            let good = all.clone().filter(|one| one.in_time());
            good.count() as f64 / all.count() as f64
        };
        let short = peak.clone().filter(|one| one.job.kind != Kind::Long);
        let good = short.clone().filter(|one| one.in_time());
        let work: f64 = good.map(|one| one.job.service.as_secs_f64()).sum();
        let offered: f64 = short.map(|one| one.job.service.as_secs_f64()).sum();
        let capacity = f64::from(SLOTS) * (end - start).as_secs_f64();
        println!(
            "  {label}: reads {:.3} orders {:.3} long {:.3}; short work in time / min(offered, capacity) {:.3}",
            share(Kind::Read),
            share(Kind::Order),
            share(Kind::Long),
            work / offered.min(capacity),
        );
    }
    println!("  lane refused: {:?}", lane.refused);
    println!("  lane step: {} ns", lane.step.as_nanos());
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or_default();
    pages * 4096.0
}

/// Measures alternating arrivals and answers, with three requests running and some waiting.
fn steps() {
    for shards in [0u32, 1000] {
        let mut config = config();
        config.standby = None;
        config.single_host = true;
        config.keyed = shards > 0;
        let mut lane = lane::Lane::new(config, Duration::ZERO);
        for shard in 0..shards {
            let change = lane::Change::Grant {
                scope: owners::Scope::Shard(id::Shard(shard)),
                token: id::Token::default(),
                ledger: yucca_lane::ledger::Snapshot::default(),
            };
            lane.step(lane::Input::Owners(change), Duration::ZERO);
        }
        let rounds = 300_000u64;
        let mut sent = std::collections::VecDeque::new();
        let started = Instant::now();
        for round in 0..rounds {
            let now = Duration::from_micros(1000 * round);
            let job = Job {
                id: round,
                kind: Kind::Read,
                at: now,
                service: SHORT_MEAN,
                deadline: now + SHORT_DEADLINE,
            };
            let mut arrival = arrival(&job);
            arrival.shard = (shards > 0).then(|| id::Shard(round as u32 % shards.max(1)));
            let mut outputs = lane.step(lane::Input::Arrive(arrival), now);
            if round > 20 {
                let id = sent.pop_front().unwrap_or(id::Request(0));
                outputs.extend(lane.step(
                    lane::Input::AttemptEnded {
                        id,
                        attempt: 1,
                        result: Ok(request::Status(200)),
                    },
                    now,
                ));
            }
            for output in outputs {
                if let lane::Output::Send { id, .. } = output {
                    sent.push_back(id);
                }
            }
            lane.next_wake();
        }
        let step = started.elapsed().as_nanos() as u64 / (2 * rounds);
        let waiting = lane.waiting();
        println!("step: {step} ns with {shards} shards and {waiting} waiting");
    }
}

fn memory() {
    let count = 500_000;
    let mut config = config();
    config.limits.queue_requests = count + 10;
    config.limits.queue_bytes = unit::Size(u64::MAX);
    config.standby = None;
    config.single_host = true;
    config.slots = id::Slots(0);
    let mut lane = lane::Lane::new(config, Duration::ZERO);
    let before = resident_bytes();
    let started = Instant::now();
    for id in 0..u64::from(count) {
        let job = Job {
            id,
            kind: Kind::Read,
            at: Duration::ZERO,
            service: SHORT_MEAN,
            deadline: Duration::from_secs(60),
        };
        lane.step(lane::Input::Arrive(arrival(&job)), Duration::ZERO);
    }
    let step = started.elapsed().as_nanos() as f64 / f64::from(count);
    let bytes = (resident_bytes() - before) / f64::from(count);
    println!("queued request: {bytes:.0} bytes resident, {step:.0} ns to queue");
    drop(lane);
    let mut ledger = yucca_lane::ledger::Ledger::new(Duration::from_secs(600), count as usize);
    let before = resident_bytes();
    for id in 0..u64::from(count) {
        let entry = yucca_lane::ledger::Entry {
            id: id::Request(u128::from(id)),
            fingerprint: id,
            seq: id,
            shard: None,
            remaining: Duration::ZERO,
            state: yucca_lane::ledger::State::Unknown,
        };
        ledger.write(&entry, Duration::ZERO);
    }
    let bytes = (resident_bytes() - before) / f64::from(count);
    println!(
        "ledger entry: {bytes:.0} bytes resident ({} kept)",
        ledger.len()
    );
}

fn main() {
    let only = std::env::args().nth(1);
    let wanted = |name: &str| only.as_deref().is_none_or(|only| only == name);
    if wanted("memory") {
        memory();
    }
    if wanted("steps") {
        steps();
    }
    if wanted("head-of-line") {
        head_of_line();
    }
    if wanted("fleet") {
        fleet();
    }
    if wanted("crest") {
        crest();
    }
}
