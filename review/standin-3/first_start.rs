//! Case 15: at the first start of a deployment one of its three core machines is lost for good, and an
//! empty one comes in its place at another address. The other two must get the deployment to serve.

mod platform;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use platform::{Machine, Record, Request, Server, ServerSettings, Site};

const ENTRIES: usize = 3;
const SERVERS: usize = 3;
/// Time from the start of all machines to the loss of one.
const LOST_AT: Duration = Duration::from_millis(200);
/// Time from then to the start of the empty machine.
const REPLACED_AFTER: Duration = Duration::from_secs(1);
/// Time from the start of the machines to that of traffic.
const LEAD: Duration = Duration::from_secs(8);
const TRAFFIC: Duration = Duration::from_secs(50);

const CONFIG: &str = r#"{"upsert":{"resources":[
{"resource-kind":"routes","metadata":{"name":"route","version":"r3"},"spec":{"host":"a.example","path-prefix":"/a/","route-type":"safe","timeout-s":0.8,"target-latency-s":0.4,"priority":2,"service":"vault","max-attempts":2}},
{"resource-kind":"services","metadata":{"name":"vault","version":"r3"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false}},
{"resource-kind":"limits","metadata":{"version":"r3"},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]},"remove":{"routes":[]}}"#;

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
    let mut controls: Vec<Machine> = (0..3)
        .map(|index| Machine::new(&site, "control", index))
        .collect();
    let entries: Vec<Machine> = (0..ENTRIES)
        .map(|index| Machine::new(&site, "entry", index))
        .collect();
    for machine in controls.iter().chain(&entries) {
        machine.start()?;
    }
    let start = Instant::now();
    let wait_until =
        |at: Duration| thread::sleep((start + at).saturating_duration_since(Instant::now()));
    if platform::has_trouble() {
        wait_until(LOST_AT);
        controls[0].kill();
        record.say("a core machine is lost for good");
        wait_until(LOST_AT + REPLACED_AFTER);
        // It stands in the zone of the lost one.
        let successor = Machine::new(&site, "control", 3);
        successor.bootstrap.store(false, Ordering::Relaxed);
        successor.start()?;
        controls[0] = successor;
        record.say("an empty core machine has started at another address");
    }
    let addresses: Vec<_> = controls
        .iter()
        .map(|m| m.address(site.ports.control))
        .collect();
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let settings = ServerSettings {
            id: format!("i-vault-{index}"),
            service: "vault".to_owned(),
            keyed: false,
            zone: site.zone(index).to_owned(),
            ip: site.ip(100 + index as u8),
            controls: addresses.clone(),
            work: Duration::from_millis(40),
            limit: None,
        };
        servers.push(Server::start(settings, record.clone())?);
    }
    let operator = record.clone();
    let configured =
        thread::spawn(move || platform::configure(&addresses, CONFIG, LEAD + TRAFFIC, &operator));
    wait_until(LEAD);
    let (mut sent, mut served) = (0, 0);
    while start.elapsed() < LEAD + TRAFFIC {
        let entry = &entries[sent % ENTRIES];
        sent += 1;
        let request = Request {
            id: format!("q{sent}"),
            method: "GET",
            host: "a.example",
            path: format!("/a/{sent}"),
            key: None,
            deadline: Duration::from_millis(1_500),
        };
        served += usize::from(platform::serve(
            entry.address(site.ports.front),
            &request,
            record,
        ));
        thread::sleep(Duration::from_millis(200));
    }
    servers.iter().for_each(|server| server.stop());
    let answer = configured.join().unwrap_or(None);
    record.say(&format!(
        "first configuration: {answer:?}; {served} of {sent} requests served"
    ));
    record.say(if served == 0 {
        "Fault: no request is served"
    } else {
        "no fault"
    });
    Ok(Some(served > 0))
}

fn main() -> ExitCode {
    let place = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let result = Record::create(&Path::new(&place).join("record.txt")).and_then(|record| {
        let folder = platform::temporary_folder("first-start")?;
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
