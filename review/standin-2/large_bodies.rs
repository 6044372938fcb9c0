//! Several clients send large bodies, within the limits of the configuration, to one entry host.

use std::net;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{self, Request};
use crate::config;
use crate::deployment::{Deployment, resident_bytes};
use crate::http::End;
use crate::owners::Owners;
use crate::record::{Record, lock};
use crate::server::{self, Server};

/// Number of servers, with three slots each.
const SERVERS: usize = 6;

/// Number of clients with a kept connection to the entry host.
const CLIENTS: usize = 8;
const CLIENT_PAUSE: Duration = Duration::from_millis(50);

/// Number of clients that send a large body at the same time, and its size; the limit is 64 MiB.
const SENDERS: usize = 3;
const LARGE_BYTES: usize = 60 << 20;

/// Size of the bodies without the disruption.
const SMALL_BYTES: usize = 1_200;

/// Memory that a process of an entry host may use, as in its settings file.
const MEMORY_BYTES: u64 = 260 << 20;

/// Time of requests before and after the large bodies.
const CALM: Duration = Duration::from_secs(8);
const WATCHED: Duration = Duration::from_secs(15);

/// Number of requests on kept connections that may be passed on and end without an answer.
const MAX_LOST: usize = 3;

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut deployment = match Deployment::start(3, 1) {
        Ok(deployment) => deployment,
        Err(error) => return Outcome::CouldNotRun(error.to_string()),
    };
    if !deployment.configure(&config::first("16384", 10.0), Duration::from_secs(20)) {
        return Outcome::CouldNotRun("the first configuration was not acknowledged".into());
    }
    let owners = Arc::new(Owners::new(0));
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let settings = server::Settings {
            number: index,
            id: format!("i-{index}"),
            service: config::OFFICE.into(),
            keyed: false,
            zone: format!("z{}", index % 3),
            ip: deployment.server_ip(index),
            controls: deployment.all_controls(),
            work: Duration::from_millis(400),
        };
        match Server::start(settings, record, &owners, true) {
            Ok(server) => servers.push(server),
            Err(error) => return Outcome::CouldNotRun(error.to_string()),
        }
    }
    if !deployment.await_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the entry host is not ready".into());
    }
    let front = deployment.front(0);
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(Mutex::new(Vec::new()));
    for number in 0..CLIENTS {
        let (record, stop, served, lost) =
            (record.clone(), stop.clone(), served.clone(), lost.clone());
        thread::spawn(move || run_client(number, front, &record, &stop, &served, &lost));
    }
    thread::sleep(CALM);
    if served.load(Ordering::Relaxed) == 0 {
        return Outcome::CouldNotRun("no request was served".into());
    }
    let size = if trouble { LARGE_BYTES } else { SMALL_BYTES };
    for number in 0..SENDERS {
        let record = record.clone();
        thread::spawn(move || send_body(number, front, size, &record));
    }
    // The platform kills a process that uses more memory than its limit, and starts it again.
    let mut kills = 0;
    let mut peak = 0;
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        let used = deployment.entries[0]
            .pid()
            .and_then(resident_bytes)
            .unwrap_or(0);
        peak = peak.max(used);
        if used > MEMORY_BYTES {
            kills += 1;
            record.say(&format!(
                "platform: the entry process uses {} MiB and is killed",
                used >> 20
            ));
            deployment.entries[0].end();
            thread::sleep(Duration::from_secs(1));
            if let Err(error) = deployment.start_entry(0) {
                return Outcome::CouldNotRun(error.to_string());
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::Relaxed);
    let ran: Vec<_> = servers.iter().flat_map(|server| server.runs()).collect();
    let has_run = |id: &&String| ran.iter().any(|(other, _)| other == *id);
    let lost: Vec<String> = lock(&lost).iter().filter(has_run).cloned().collect();
    record.say(&format!(
        "served: {}; most memory: {} MiB; kills: {kills}; passed on and then closed without an answer: {}",
        served.load(Ordering::Relaxed),
        peak >> 20,
        lost.len()
    ));
    for id in &lost {
        record.line(&format!(
            "{id} ran, and its connection ended without an answer"
        ));
    }
    if lost.len() > MAX_LOST {
        record.say(&format!(
            "LOST: {} requests from kept connections",
            lost.len()
        ));
        return Outcome::Broken;
    }
    Outcome::Held
}

/// Sends one request with a body of this size.
fn send_body(number: usize, front: net::SocketAddr, size: usize, record: &Record) {
    let body = vec![b'x'; size];
    let request = Request {
        id: format!("large{number}"),
        method: "POST",
        host: config::HOST,
        path: config::WRITES,
        key: None,
        deadline: Duration::from_secs(10),
        headers: String::new(),
        body: &body,
    };
    let Some(mut connection) = client::connect(front) else {
        record.line(&format!("{}: no connection", request.id));
        return;
    };
    record.line(&format!("{} sends {size} bytes", request.id));
    let end = client::send(&mut connection, &request);
    record.line(&format!("{}: {}", request.id, client::describe(&end)));
}

fn run_client(
    number: usize,
    front: net::SocketAddr,
    record: &Record,
    stop: &AtomicBool,
    served: &AtomicU64,
    lost: &Mutex<Vec<String>>,
) {
    let mut connection = None;
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let request = Request {
            id: format!("q{number}-{count}"),
            method: "POST",
            host: config::HOST,
            path: config::WRITES,
            key: None,
            deadline: Duration::from_secs(2),
            headers: String::new(),
            body: b"renewal",
        };
        let Some(mut open) = connection.take().or_else(|| client::connect(front)) else {
            thread::sleep(CLIENT_PAUSE);
            continue;
        };
        let end = client::send(&mut open, &request);
        record.line(&format!("{}: {}", request.id, client::describe(&end)));
        match end {
            Ok(answer) => {
                if answer.status() == 200 {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                connection = Some(open);
            }
            Err(End::Closed | End::Broken) => lock(lost).push(request.id),
            Err(End::TimedOut) => {}
        }
        thread::sleep(CLIENT_PAUSE);
    }
}
