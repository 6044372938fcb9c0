//! A new server is stopped at once. Its deregistration is acknowledged, and its first heartbeat, which
//! was held up on its way, arrives seconds later.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{self, Request};
use crate::config;
use crate::deployment::Deployment;
use crate::http;
use crate::owners::Owners;
use crate::record::Record;
use crate::server::{self, Server};

/// Number of servers that stay.
const SERVERS: usize = 3;

const CLIENTS: usize = 8;
const CLIENT_PAUSE: Duration = Duration::from_millis(40);

/// Time for which the first heartbeat of the new server is held up.
const HELD_UP: Duration = Duration::from_secs(3);

/// Time after its start at which the new server is stopped. It has no answer to its first heartbeat
/// then, and would send it to another host after a second.
const STOPPED_AFTER: Duration = Duration::from_millis(700);

/// `drain-s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which the server still serves after the acknowledgement.
const STAYS: Duration = Duration::from_secs(12);

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let deployment = match Deployment::start(3, 2) {
        Ok(deployment) => deployment,
        Err(error) => return Outcome::CouldNotRun(error.to_string()),
    };
    if !deployment.configure(&config::first("16384", 2.0), Duration::from_secs(20)) {
        return Outcome::CouldNotRun("the first configuration was not acknowledged".into());
    }
    let owners = Arc::new(Owners::new(0));
    let settings = |index: usize| server::Settings {
        number: index,
        id: format!("i-{index}"),
        service: config::OFFICE.into(),
        keyed: false,
        zone: format!("z{}", index % 3),
        ip: deployment.server_ip(index),
        controls: deployment.all_controls(),
        work: Duration::from_millis(140),
    };
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        match Server::start(settings(index), record, &owners, true) {
            Ok(server) => servers.push(server),
            Err(error) => return Outcome::CouldNotRun(error.to_string()),
        }
    }
    if !deployment.await_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the entry hosts are not ready".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    for number in 0..CLIENTS {
        let front = deployment.front(number % deployment.entries.len());
        let (record, stop, served) = (record.clone(), stop.clone(), served.clone());
        thread::spawn(move || run_client(number, front, &record, &stop, &served));
    }
    // All machines are in touch by the end of this time.
    thread::sleep(Duration::from_secs(6));
    if served.load(Ordering::Relaxed) == 0 {
        return Outcome::CouldNotRun("no request was served".into());
    }

    // The new server sends its heartbeats itself only after its first one was answered.
    let new = match Server::start(settings(SERVERS), record, &owners, false) {
        Ok(server) => server,
        Err(error) => return Outcome::CouldNotRun(error.to_string()),
    };
    let (body, _) = new.heartbeat();
    let (path, control) = (
        format!("/yuccahill/Instances.Heartbeat/{}", new.settings.id),
        deployment.control(0),
    );
    let held_up = if trouble { HELD_UP } else { Duration::ZERO };
    let sent = record.clone();
    thread::spawn(move || {
        sent.line("the new server sends its first heartbeat");
        thread::sleep(held_up);
        let status = http::call(control, "POST", &path, &body).map_or(0, |answer| answer.status());
        sent.line(&format!(
            "the first heartbeat of the new server arrives: {status}"
        ));
    });
    thread::sleep(STOPPED_AFTER);
    if !new.deregister() {
        return Outcome::CouldNotRun("the deregistration was not acknowledged".into());
    }
    let acknowledged = Instant::now();
    record.say("the deregistration of the new server is acknowledged");
    thread::sleep(STAYS);
    let late = new
        .runs()
        .iter()
        .filter(|(_, at)| *at > acknowledged + DRAIN)
        .count();
    stop.store(true, Ordering::Relaxed);
    new.end();
    record.say(&format!(
        "served: {}; requests that reached the new server over {DRAIN:?} after the acknowledgement: {late}",
        served.load(Ordering::Relaxed)
    ));
    if late > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
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
        record.line(&format!("{} sent", request.id));
        let end = client::send(&mut open, &request);
        record.line(&format!("{}: {}", request.id, client::describe(&end)));
        if let Ok(answer) = end {
            if answer.status() == 200 {
                served.fetch_add(1, Ordering::Relaxed);
            }
            connection = Some(open);
        }
        thread::sleep(CLIENT_PAUSE);
    }
}
