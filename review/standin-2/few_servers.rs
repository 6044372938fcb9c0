//! Servers of a service that is divided by key are taken away one after the other, until three are
//! left. Then the operator adds a route to the service.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{self, Request};
use crate::config;
use crate::deployment::{self, Deployment, HEARTBEAT};
use crate::owners::Owners;
use crate::record::Record;
use crate::server::{self, KEYS, Server};

/// Number of servers that hold keys, and of those that are taken away.
const SERVERS: usize = 13;
const TAKEN_AWAY: usize = 10;

/// Number of servers without keys.
const OTHERS: usize = 3;

const CLIENTS: usize = 6;
const CLIENT_PAUSE: Duration = Duration::from_millis(120);

/// Time between the starts of two drains.
const GAP: Duration = Duration::from_millis(3_500);

/// Time after the last planned work from which requests are judged, and how long.
const SETTLE: Duration = Duration::from_secs(10);
const WATCHED: Duration = Duration::from_secs(15);

/// Number of requests on later routes from which they are judged.
const MIN_REQUESTS: u64 = 20;

/// Path of the route that is added.
const ADDED: &str = "/added/x";

/// Requests that were sent and served.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
}

#[derive(Default)]
struct Routes {
    reads: Counts,
    writes: Counts,
    added: Counts,
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let deployment = match Deployment::start(3, 2) {
        Ok(deployment) => deployment,
        Err(error) => return Outcome::CouldNotRun(error.to_string()),
    };
    if !deployment.configure(&config::first("16384", 2.0), Duration::from_secs(20)) {
        return Outcome::CouldNotRun("the first configuration was not acknowledged".into());
    }
    let owners = Arc::new(Owners::new(SERVERS));
    let mut servers = Vec::new();
    for index in 0..SERVERS + OTHERS {
        let keyed = index < SERVERS;
        let settings = server::Settings {
            number: index,
            id: format!("i-{index}"),
            service: if keyed { config::DESK } else { config::OFFICE }.into(),
            keyed,
            zone: format!("z{}", index % 3),
            ip: deployment.server_ip(index),
            controls: deployment.all_controls(),
            work: Duration::from_millis(40),
        };
        match Server::start(settings, record, &owners, true) {
            Ok(server) => servers.push(server),
            Err(error) => return Outcome::CouldNotRun(error.to_string()),
        }
        thread::sleep(HEARTBEAT / SERVERS as u32);
    }
    if !deployment.await_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the entry hosts are not ready".into());
    }
    let end = Instant::now() + Duration::from_secs(15);
    while key_count(&servers) < KEYS {
        if Instant::now() > end {
            return Outcome::CouldNotRun("not all keys have an owner".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let judged = Arc::new(AtomicBool::new(false));
    let routes = Arc::new(Routes::default());
    for number in 0..CLIENTS {
        let front = deployment.front(number % deployment.entries.len());
        let (record, stop, judged, routes) =
            (record.clone(), stop.clone(), judged.clone(), routes.clone());
        thread::spawn(move || run_client(number, front, &record, &stop, &judged, &routes));
    }
    thread::sleep(Duration::from_secs(6));
    if trouble {
        let drains: Vec<_> = servers
            .iter()
            .take(TAKEN_AWAY)
            .map(|server| {
                let server = server.clone();
                let drain = thread::spawn(move || {
                    server.drain(Duration::from_secs(3), Duration::from_secs(10))
                });
                thread::sleep(GAP);
                record.line(&format!("keys held: {}", key_count(&servers)));
                drain
            })
            .collect();
        if !drains
            .into_iter()
            .all(|drain| drain.join().unwrap_or(false))
        {
            return Outcome::CouldNotRun("a drain was not acknowledged".into());
        }
    }
    let route = format!(
        r#"{{"upsert":{{"resources":[{{"resource-kind":"routes","metadata":{{"name":"added","version":"r3"}},"spec":{{"host":"{}","path-prefix":"/added/","route-type":"safe","timeout-s":2,"target-latency-s":0.4,"priority":2,"service":"{}","max-attempts":2}}}}]}},"remove":{{"routes":[]}}}}"#,
        config::HOST,
        config::DESK
    );
    if !deployment.configure(&route, Duration::from_secs(4)) {
        return Outcome::CouldNotRun("the added route was not acknowledged".into());
    }
    thread::sleep(SETTLE);
    judged.store(true, Ordering::Relaxed);
    thread::sleep(WATCHED);
    stop.store(true, Ordering::Relaxed);
    let get = |counts: &Counts| {
        (
            counts.served.load(Ordering::Relaxed),
            counts.sent.load(Ordering::Relaxed),
        )
    };
    let (reads, writes, added) = (get(&routes.reads), get(&routes.writes), get(&routes.added));
    let held: Vec<usize> = servers
        .iter()
        .take(SERVERS)
        .map(|server| server.key_count())
        .collect();
    record.say(&format!(
        "served of sent: reads {reads:?}, writes {writes:?}, the added route {added:?}; keys held: {held:?}"
    ));
    let first = (reads.0 + writes.0) as f64 / (reads.1 + writes.1).max(1) as f64;
    let later = added.0 as f64 / added.1.max(1) as f64;
    if added.1 < MIN_REQUESTS || writes.0 == 0 {
        return Outcome::CouldNotRun("too few requests".into());
    }
    if later < first / 4.0 {
        record.say(&format!("CONFIG: {later:.3} of the requests on the added route are served, {first:.3} of those on the first routes"));
        return Outcome::Broken;
    }
    Outcome::Held
}

fn key_count(servers: &[Arc<Server>]) -> usize {
    servers.iter().map(|server| server.key_count()).sum()
}

fn run_client(
    number: usize,
    front: net::SocketAddr,
    record: &Record,
    stop: &AtomicBool,
    judged: &AtomicBool,
    routes: &Routes,
) {
    let mut connection = None;
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let is_judged = judged.load(Ordering::Relaxed);
        let (path, method, counts) = match count % 5 {
            0 | 2 => (config::READS, "GET", &routes.reads),
            1 | 3 => (config::WRITES, "POST", &routes.writes),
            _ if is_judged => (ADDED, "GET", &routes.added),
            _ => continue,
        };
        let request = Request {
            id: format!("q{number}-{count}"),
            method,
            host: config::HOST,
            path,
            key: (method == "GET").then(|| deployment::random() as u16),
            deadline: Duration::from_millis(1_500),
            headers: String::new(),
            body: if method == "POST" { b"renewal" } else { b"" },
        };
        let Some(mut open) = connection.take().or_else(|| client::connect(front)) else {
            thread::sleep(CLIENT_PAUSE);
            continue;
        };
        let end = client::send(&mut open, &request);
        record.line(&format!(
            "{} {path} key {:?}: {}",
            request.id,
            request.key,
            client::describe(&end)
        ));
        if is_judged {
            counts.sent.fetch_add(1, Ordering::Relaxed);
        }
        if let Ok(answer) = end {
            if is_judged && answer.status() == 200 {
                counts.served.fetch_add(1, Ordering::Relaxed);
            }
            connection = Some(open);
        }
        thread::sleep(CLIENT_PAUSE);
    }
}
