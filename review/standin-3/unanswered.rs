//! Case 14: all servers of one service crash for good, while another service is busy. Requests for the
//! first one must still be answered, at the latest soon after their route's timeout.

mod platform;

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Machine, Record, Request, Server, ServerSettings, Site};

/// One entry process in each zone.
const ENTRIES: usize = 3;
/// Servers of the busy service, one in each zone, and clients of each entry process that send to it.
const BUSY_SERVERS: usize = 3;
const BUSY_CLIENTS: usize = 16;
const BUSY_WORK: Duration = Duration::from_millis(14);
/// Servers of the other service, one in each zone.
const OFFICE_SERVERS: usize = 3;
/// Pause between requests for that service, at each entry process.
const PAUSE: Duration = Duration::from_millis(1_550);
const BEFORE: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(98);
/// `timeout-s` of their route, and the time after it by which they must be answered.
const TIMEOUT: f64 = 0.8;
const LATEST: f64 = TIMEOUT + 0.5;
/// `X-Deadline-Ms` of these requests.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Requests without an answer by then that break the rule, and their share of those that were still
/// unanswered at the timeout.
const MOST: usize = 8;
const SHARE: f64 = 0.5;

const CONFIG: &str = r#"{"upsert":{"resources":[
{"resource-kind":"routes","metadata":{"name":"lookup","version":"r3"},"spec":{"host":"office.example","path-prefix":"/office/","route-type":"safe","timeout-s":0.8,"target-latency-s":0.4,"priority":2,"service":"office","max-attempts":2}},
{"resource-kind":"routes","metadata":{"name":"search","version":"r3"},"spec":{"host":"vault.example","path-prefix":"/vault/","route-type":"safe","timeout-s":3,"target-latency-s":1.5,"priority":2,"service":"vault","max-attempts":2}},
{"resource-kind":"services","metadata":{"name":"office","version":"r3"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false}},
{"resource-kind":"services","metadata":{"name":"vault","version":"r3"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false}},
{"resource-kind":"limits","metadata":{"version":"r3"},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]},"remove":{"routes":[]}}"#;

/// How one request ended: the seconds until its answer, if there was one, and its status.
type End = (Option<f64>, u16);

/// Sends requests for the other service to one entry process.
fn look_up(entry: &Machine, record: &Record, name: usize, ends: &Mutex<Vec<End>>, end: Instant) {
    let address = entry.address(entry.site.ports.front);
    thread::scope(|scope| {
        let mut number = 0_u64;
        let mut next = Instant::now();
        while next < end {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += PAUSE;
            number += 1;
            scope.spawn(move || {
                let id = format!("lookup-{name}-{number}");
                let head = format!(
                    "GET /office/{number} HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n",
                    DEADLINE.as_millis()
                );
                record.line(&format!("send {id}"));
                let sent = Instant::now();
                let answer = platform::call(address, &head, "", DEADLINE);
                let took = sent.elapsed().as_secs_f64();
                let ended = match answer {
                    Ok(answer) => (Some(took), answer.status()),
                    Err(_) => (None, 0),
                };
                record.line(&format!("end {id} after {took:.3} s, status {}", ended.1));
                platform::lock(ends).push(ended);
            });
        }
    });
}

fn server(
    site: &Site,
    record: &Arc<Record>,
    service: &str,
    zone: usize,
    number: usize,
    work: Duration,
) -> std::io::Result<Arc<Server>> {
    let mut seeds = site.seeds.clone();
    seeds.rotate_left(zone);
    let settings = ServerSettings {
        id: format!("i-{service}-{number}"),
        service: service.to_owned(),
        keyed: false,
        zone: site.zone(zone).to_owned(),
        ip: site.ip(100 + number as u8),
        controls: seeds
            .iter()
            .map(|ip| (*ip, site.ports.control).into())
            .collect(),
        work,
        limit: None,
    };
    Server::start(settings, record.clone())
}

/// Runs the case. Returns whether the rule held.
fn run(folder: &Path, record: &Arc<Record>) -> std::io::Result<Option<bool>> {
    let mut site = Site {
        program: platform::program(),
        folder: folder.to_owned(),
        ports: platform::Ports::free()?,
        net: platform::own_net(),
        zones: ["colombo", "ratmalana", "maradana"]
            .map(str::to_owned)
            .to_vec(),
        seeds: Vec::new(),
    };
    site.seeds = (1..=3).map(|last| site.ip(last)).collect();
    let controls: Vec<Machine> = (0..3)
        .map(|index| Machine::new(&site, "control", index))
        .collect();
    let entries: Vec<Machine> = (0..ENTRIES)
        .map(|index| Machine::new(&site, "entry", index))
        .collect();
    for machine in controls.iter().chain(&entries) {
        machine.start()?;
    }
    let mut servers = Vec::new();
    for index in 0..BUSY_SERVERS {
        servers.push(server(
            &site,
            record,
            "vault",
            index,
            50 + index,
            BUSY_WORK,
        )?);
    }
    let mut office = Vec::new();
    for index in 0..OFFICE_SERVERS {
        office.push(server(
            &site,
            record,
            "office",
            index,
            index,
            Duration::from_millis(100),
        )?);
    }
    let addresses: Vec<_> = controls
        .iter()
        .map(|m| m.address(site.ports.control))
        .collect();
    if platform::configure(&addresses, CONFIG, Duration::from_secs(8), record) != Some(200) {
        record.say("the configuration was not acknowledged");
        return Ok(None);
    }
    let end = Instant::now() + Duration::from_secs(15);
    while !entries.iter().all(Machine::is_ready) && Instant::now() < end {
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(5));
    let before = Mutex::new(Vec::new());
    let end = Instant::now() + BEFORE;
    thread::scope(|scope| {
        for (index, entry) in entries.iter().enumerate() {
            let (before, record) = (&before, record);
            scope.spawn(move || look_up(entry, record, 10 + index, before, end));
        }
    });
    if platform::lock(&before).iter().any(|end| end.1 != 200) {
        record.say("the service is not served before the disruption");
        return Ok(None);
    }
    if platform::has_trouble() {
        record.say("all servers of the service crash for good");
        office.iter().for_each(|server| server.stop());
    }
    thread::sleep(Duration::from_secs(3));
    let ends = Mutex::new(Vec::new());
    let served = AtomicU64::new(0);
    let end = Instant::now() + MEASURED;
    thread::scope(|scope| {
        for (index, entry) in entries.iter().enumerate() {
            for client in 0..BUSY_CLIENTS {
                let (served, record) = (&served, record);
                scope.spawn(move || {
                    let request = Request {
                        id: String::new(),
                        method: "GET",
                        host: "vault.example",
                        path: "/vault/1".to_owned(),
                        key: None,
                        deadline: Duration::from_secs(6),
                    };
                    let address = entry.address(entry.site.ports.front);
                    let name = format!("search-{index}-{client}");
                    let count = platform::keep_sending(address, &name, end, &request, record);
                    served.fetch_add(count, Ordering::Relaxed);
                });
            }
            let (ends, record) = (&ends, record);
            scope.spawn(move || look_up(entry, record, index, ends, end));
        }
    });
    let searches = served.load(Ordering::Relaxed) as f64 / MEASURED.as_secs_f64();
    let ends = platform::lock(&ends);
    let beyond = ends
        .iter()
        .filter(|end| end.0.is_none_or(|took| took > TIMEOUT))
        .count();
    let unanswered = ends
        .iter()
        .filter(|end| end.0.is_none_or(|took| took > LATEST))
        .count();
    record.say(&format!(
        "the busy service answered {searches:.0} requests a second in all"
    ));
    record.say(&format!(
        "{} requests, {beyond} without an answer after {TIMEOUT} s, {unanswered} of them without one after {LATEST} s",
        ends.len()
    ));
    for server in servers.iter().chain(&office) {
        server.stop();
    }
    let broken = unanswered >= MOST && unanswered as f64 > SHARE * beyond as f64;
    record.say(if broken {
        "CONFIG broken"
    } else {
        "CONFIG held"
    });
    Ok(Some(!broken))
}

fn main() -> ExitCode {
    let place = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let result = Record::create(&Path::new(&place).join("record.txt")).and_then(|record| {
        let folder = platform::temporary_folder("unanswered")?;
        let result = run(&folder, &record);
        let _ = std::fs::remove_dir_all(&folder);
        result
    });
    match result {
        Ok(Some(true)) => ExitCode::SUCCESS,
        Ok(Some(false)) => ExitCode::from(1),
        Ok(None) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
