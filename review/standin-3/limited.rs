//! Case 15: servers name the requests a second that they take, and all control processes are killed
//! and started again. The entry processes together must keep to the limit.

mod platform;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Machine, Record, Request, Server, ServerSettings, Site};

/// Entry processes by zone, as on the small site.
const ENTRIES: [usize; 3] = [5, 3, 4];
/// Servers, all in the first zone.
const SERVERS: usize = 2;
/// Requests a second that each of them takes.
const LIMIT: f64 = 10.0;
/// Requests a second of all clients of one entry process.
const RATE: f64 = 20.0;
/// `contact-s` of the site.
const CONTACT: f64 = 3.0;
/// Length of the windows in which requests are counted, in seconds.
const WINDOW: f64 = 4.0;
/// Time for which the control processes are down: "back within a second".
const DOWN: Duration = Duration::from_millis(900);
const BEFORE: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(10);

const CONFIG: &str = r#"{"upsert":{"resources":[
{"resource-kind":"routes","metadata":{"name":"route","version":"r3"},"spec":{"host":"a.example","path-prefix":"/a/","route-type":"safe","timeout-s":0.8,"target-latency-s":0.4,"priority":2,"service":"vault","max-attempts":2}},
{"resource-kind":"services","metadata":{"name":"vault","version":"r3"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false}},
{"resource-kind":"limits","metadata":{"version":"r3"},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]},"remove":{"routes":[]}}"#;

/// Sends requests to an entry process at a steady rate until `end`.
fn send(entry: &Machine, record: &Arc<Record>, number: &AtomicU64, end: Instant) {
    let address = entry.address(entry.site.ports.front);
    let pause = Duration::from_secs_f64(1.0 / RATE);
    thread::scope(|scope| {
        let mut next = Instant::now();
        while next < end {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += pause;
            let number = number.fetch_add(1, Ordering::Relaxed);
            let request = Request {
                id: format!("q{number}"),
                method: "GET",
                host: "a.example",
                path: format!("/a/{number}"),
                key: None,
                deadline: Duration::from_millis(1_500),
            };
            scope.spawn(move || platform::serve(address, &request, record));
        }
    });
}

/// Returns the most requests in one window, and the time at which it begins.
fn busiest_window(arrivals: &[f64], from: f64) -> (usize, f64) {
    let counted = arrivals.iter().filter(|at| **at >= from);
    let windows = counted.map(|start| {
        let inside = arrivals
            .iter()
            .filter(|at| **at >= *start && **at < *start + WINDOW);
        (inside.count(), *start)
    });
    windows.max_by_key(|window| window.0).unwrap_or((0, from))
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
    let mut entries: Vec<Machine> = Vec::new();
    for (zone, count) in ENTRIES.into_iter().enumerate() {
        for _ in 0..count {
            let mut entry = Machine::new(&site, "entry", entries.len());
            entry.zone = site.zone(zone).to_owned();
            entries.push(entry);
        }
    }
    for machine in controls.iter().chain(&entries) {
        machine.start()?;
    }
    let addresses: Vec<_> = controls
        .iter()
        .map(|m| m.address(site.ports.control))
        .collect();
    let mut servers: Vec<Arc<Server>> = Vec::new();
    for index in 0..SERVERS {
        let settings = ServerSettings {
            id: format!("i-vault-{index}"),
            service: "vault".to_owned(),
            keyed: false,
            zone: site.zone(0).to_owned(),
            ip: site.ip(100 + index as u8),
            controls: addresses.clone(),
            work: Duration::from_millis(30),
            limit: Some(LIMIT),
        };
        servers.push(Server::start(settings, record.clone())?);
    }
    if platform::configure(&addresses, CONFIG, Duration::from_secs(8), record) != Some(200) {
        record.say("the configuration was not acknowledged");
        return Ok(None);
    }
    let end = Instant::now() + Duration::from_secs(15);
    while !entries.iter().all(Machine::is_ready) && Instant::now() < end {
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(3));
    let number = AtomicU64::new(0);
    let end = Instant::now() + BEFORE + AFTER;
    let started = thread::scope(|scope| {
        for entry in &entries {
            let (number, record) = (&number, record);
            scope.spawn(move || send(entry, record, number, end));
        }
        thread::sleep(BEFORE);
        if !platform::has_trouble() {
            return Ok(());
        }
        record.say("all control processes are killed");
        for control in &controls {
            control.signal(platform::SIGKILL);
        }
        for control in &controls {
            control.wait();
            control.bootstrap.store(false, Ordering::Relaxed);
        }
        thread::sleep(DOWN);
        let started: std::io::Result<()> = controls.iter().try_for_each(Machine::start);
        record.say("all control processes are started");
        started
    });
    started?;
    let allowed = 1.5 * LIMIT * WINDOW + 5.0;
    let mut held = true;
    for server in &servers {
        let arrivals = platform::lock(&server.arrivals).clone();
        let Some(first) = arrivals.first() else {
            record.say("a server got no request");
            return Ok(None);
        };
        let (most, start) = busiest_window(&arrivals, first + CONTACT);
        record.say(&format!(
            "{} takes {LIMIT} a second: {} requests in all, up to {most} in {WINDOW} s from {start:.3}, allowed {allowed}",
            server.settings.id,
            arrivals.len()
        ));
        held &= most as f64 <= allowed;
        server.stop();
    }
    record.say(if held { "LIMIT held" } else { "LIMIT broken" });
    Ok(Some(held))
}

fn main() -> ExitCode {
    let place = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let result = Record::create(&Path::new(&place).join("record.txt")).and_then(|record| {
        let folder = platform::temporary_folder("limited")?;
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
