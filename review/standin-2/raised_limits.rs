//! The operator raises `max-header-bytes`. Clients then send larger heads on connections that they have
//! kept open.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{self, Request};
use crate::config;
use crate::deployment::{self, Deployment};
use crate::http::Connection;
use crate::owners::Owners;
use crate::record::Record;
use crate::server::{self, Server};

const SERVERS: usize = 3;

/// Number of clients, each with a kept connection to each entry host.
const CLIENTS: usize = 12;
const ENTRIES: usize = 2;

/// Limits before and after the change, and the size of the larger heads.
const FIRST_LIMIT: &str = "16384";
const NEXT_LIMIT: &str = "65536";
const HEADER_BYTES: usize = 30_000;

/// `config-propagation-s` of the settings.
const PROPAGATION: Duration = Duration::from_secs(2);

/// Time for which clients send small requests first, and for which requests are judged.
const CALM: Duration = Duration::from_secs(6);
const WATCHED: Duration = Duration::from_secs(8);

/// Number of proper requests that may be refused, beside one in 500.
const MAX_DENIED: usize = 5;

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let deployment = match Deployment::start(3, ENTRIES) {
        Ok(deployment) => deployment,
        Err(error) => return Outcome::CouldNotRun(error.to_string()),
    };
    if !deployment.configure(&config::first(FIRST_LIMIT, 2.0), Duration::from_secs(20)) {
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
            work: Duration::from_millis(50),
        };
        match Server::start(settings, record, &owners, true) {
            Ok(server) => servers.push(server),
            Err(error) => return Outcome::CouldNotRun(error.to_string()),
        }
    }
    if !deployment.await_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the entry hosts are not ready".into());
    }
    let mut clients: Vec<(usize, Option<Connection>)> = Vec::new();
    for number in 0..CLIENTS * ENTRIES {
        clients.push((number % ENTRIES, None));
    }
    let mut counts = Counts::default();
    send_all(&deployment, &mut clients, 0, CALM, record, &mut counts);
    if counts.denied > 0 || counts.served == 0 {
        return Outcome::CouldNotRun("requests were not served before the change".into());
    }
    if trouble {
        let change = format!(
            r#"{{"upsert":{{"resources":[{}]}},"remove":{{"routes":[]}}}}"#,
            config::limits("r5", NEXT_LIMIT)
        );
        if !deployment.configure(&change, Duration::from_secs(4)) {
            return Outcome::CouldNotRun("the change was not acknowledged".into());
        }
        record.say(&format!("max-header-bytes {NEXT_LIMIT} is acknowledged"));
    }
    // Until all hosts must have the new limit, clients stay within the old one.
    send_all(
        &deployment,
        &mut clients,
        0,
        PROPAGATION * 2,
        record,
        &mut counts,
    );
    let header = if trouble { HEADER_BYTES } else { 0 };
    let mut counts = Counts::default();
    send_all(
        &deployment,
        &mut clients,
        header,
        WATCHED,
        record,
        &mut counts,
    );
    record.say(&format!(
        "requests: {}; served: {}; refused with 4xx by an entry host: {}",
        counts.all, counts.served, counts.denied
    ));
    if counts.denied > MAX_DENIED + counts.all / 500 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

#[derive(Default)]
struct Counts {
    all: usize,
    served: usize,
    denied: usize,
}

/// Sends requests one after the other, on kept connections.
fn send_all(
    deployment: &Deployment,
    clients: &mut [(usize, Option<Connection>)],
    header: usize,
    time: Duration,
    record: &Record,
    counts: &mut Counts,
) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for (entry, kept) in clients.iter_mut() {
            let is_kept = kept.is_some();
            let Some(mut open) = kept
                .take()
                .or_else(|| client::connect(deployment.front(*entry)))
            else {
                continue;
            };
            let request = Request {
                id: format!("q{:016x}", deployment::random()),
                method: "POST",
                host: config::HOST,
                path: config::WRITES,
                key: None,
                deadline: Duration::from_secs(2),
                headers: if header > 0 {
                    format!("X-Ticket: {}\r\n", "t".repeat(header))
                } else {
                    String::new()
                },
                body: b"renewal",
            };
            let ended = client::send(&mut open, &request);
            record.line(&format!(
                "{} with {header} more bytes of headers on a {} connection: {}",
                request.id,
                if is_kept { "kept" } else { "new" },
                client::describe(&ended)
            ));
            counts.all += 1;
            if let Ok(answer) = ended {
                counts.served += usize::from(answer.status() == 200);
                let own = answer.header("x-response-signature").is_none();
                let promise = matches!(answer.status(), 408 | 421 | 429);
                counts.denied += usize::from(own && !promise && answer.status() / 100 == 4);
                let closes = answer.header("connection") == Some("close");
                *kept = (!closes && answer.status() < 400).then_some(open);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}
