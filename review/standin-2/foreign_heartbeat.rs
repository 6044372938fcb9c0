//! Heartbeats of another writer name a service that does not exist, and addresses at which servers of
//! this deployment run.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{self, Request};
use crate::config;
use crate::deployment::{self, Deployment, HEARTBEAT};
use crate::http;
use crate::owners::Owners;
use crate::record::Record;
use crate::server::{self, KEYS, Server};

/// Number of servers that hold keys.
const SERVERS: usize = 12;

/// Number of servers at whose addresses the other writer has servers of its own.
const FOREIGN: usize = 10;

/// Number of clients, each of which sends a request each [`CLIENT_PAUSE`].
const CLIENTS: usize = 24;
const CLIENT_PAUSE: Duration = Duration::from_millis(20);

/// Of so many requests, one takes [`LONG_WORK_MS`], as on the users' sites.
const LONG_EVERY: u64 = 33;
const LONG_WORK_MS: u64 = 700;

/// Time for which requests are sent before and after the first foreign heartbeat.
const CALM: Duration = Duration::from_secs(8);
const WATCHED: Duration = Duration::from_secs(14);

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let deployment = match Deployment::start(3, 3) {
        Ok(deployment) => deployment,
        Err(error) => return Outcome::CouldNotRun(error.to_string()),
    };
    if !deployment.configure(&config::first("16384", 2.0), Duration::from_secs(20)) {
        return Outcome::CouldNotRun("the first configuration was not acknowledged".into());
    }
    let owners = Arc::new(Owners::new(SERVERS));
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let settings = server::Settings {
            number: index,
            id: format!("i-{index}"),
            service: config::DESK.into(),
            keyed: true,
            zone: format!("z{}", index % 3),
            ip: deployment.server_ip(index),
            controls: deployment.all_controls(),
            work: Duration::from_millis(100),
        };
        match Server::start(settings, record, &owners, true) {
            Ok(server) => servers.push(server),
            Err(error) => return Outcome::CouldNotRun(error.to_string()),
        }
        // Heartbeats of different servers are sent at different times.
        thread::sleep(HEARTBEAT / SERVERS as u32);
    }
    if !deployment.await_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the entry hosts are not ready".into());
    }
    let end = Instant::now() + Duration::from_secs(15);
    while servers
        .iter()
        .map(|server| server.key_count())
        .sum::<usize>()
        < KEYS
    {
        if Instant::now() > end {
            return Outcome::CouldNotRun("not all keys have an owner".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    for number in 0..CLIENTS {
        let front = deployment.front(number % deployment.entries.len());
        let (record, stop, served) = (record.clone(), stop.clone(), served.clone());
        thread::spawn(move || run_client(number, front, &record, &stop, &served));
    }
    watch(&owners, record, CALM);
    if served.load(Ordering::Relaxed) == 0 {
        return Outcome::CouldNotRun("no request was served".into());
    }
    if !owners.findings().is_empty() {
        return Outcome::Broken;
    }
    if trouble {
        for server in servers.iter().take(FOREIGN) {
            let (address, controls) = (server.address, deployment.all_controls());
            let (number, zone) = (server.settings.number, server.settings.zone.clone());
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || send_foreign(number, address, &zone, &controls, &record, &stop));
        }
    }
    watch(&owners, record, WATCHED);
    stop.store(true, Ordering::Relaxed);
    let held: Vec<usize> = servers.iter().map(|server| server.key_count()).collect();
    record.say(&format!(
        "served: {}; keys at the end: {held:?}",
        served.load(Ordering::Relaxed)
    ));
    if owners.findings().is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

fn watch(owners: &Owners, record: &Record, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        owners.check(record);
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sends the heartbeats of a server that belongs to another writer, at the usual interval.
fn send_foreign(
    number: usize,
    address: net::SocketAddr,
    zone: &str,
    controls: &[net::SocketAddr],
    record: &Record,
    stop: &AtomicBool,
) {
    thread::sleep(HEARTBEAT.mul_f64(1.3 * number as f64));
    let born = deployment::unix_millis();
    for sequence in 1.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let body = format!(
            r#"{{"service":"staging-desk","address":"{address}","zone":"{zone}","version":"v1","slots":3,"state":"ready","warmup-left-s":0,"sequence":{sequence},"born":{born},"holds":[],"released":[]}}"#
        );
        let path = format!("/yuccahill/Instances.Heartbeat/i-staging-{number}");
        let answer = http::call(controls[number % controls.len()], "POST", &path, &body);
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!(
            "another writer: heartbeat {sequence} for staging-desk at {address}: {status}"
        ));
        thread::sleep(HEARTBEAT);
    }
}

fn run_client(
    number: usize,
    front: net::SocketAddr,
    record: &Record,
    stop: &AtomicBool,
    served: &AtomicU64,
) {
    let mut connection = None;
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let long = deployment::random().is_multiple_of(LONG_EVERY);
        let request = Request {
            id: format!("q{number}-{count}"),
            method: "GET",
            host: config::HOST,
            path: config::READS,
            key: Some(deployment::random() as u16),
            deadline: Duration::from_millis(1_500),
            headers: if long {
                format!("work-ms: {LONG_WORK_MS}\r\n")
            } else {
                String::new()
            },
            body: b"",
        };
        let Some(mut open) = connection.take().or_else(|| client::connect(front)) else {
            thread::sleep(CLIENT_PAUSE);
            continue;
        };
        let end = client::send(&mut open, &request);
        record.line(&format!(
            "{} key {:?}: {}",
            request.id,
            request.key,
            client::describe(&end)
        ));
        if let Ok(answer) = end {
            if answer.status() == 200 {
                served.fetch_add(1, Ordering::Relaxed);
            }
            connection = Some(open);
        }
        thread::sleep(CLIENT_PAUSE);
    }
}
