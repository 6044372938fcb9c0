//! Case 13: an entry process is killed while its requests fill all servers of a service. The others of its
//! zone must go on sending requests to these servers, which are idle from then on.

mod platform;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Machine, Record, Request, Server, ServerSettings, Site};

/// Entry processes of the first zone, as many as the smallest zone of the site has. One gets the requests
/// that are counted, one is lost for a while, and one has no clients at present.
const ENTRIES: usize = 3;
/// Clients of the first entry process on each route.
const CLIENTS: usize = 4;
const VAULT_SERVERS: usize = 3;
const PLAIN_SERVERS: usize = 3;
const VAULT_WORK: Duration = Duration::from_millis(100);
/// Clients of the entry process that is lost.
const BUSY_CLIENTS: usize = 24;
const BUSY: Duration = Duration::from_secs(3);
/// Time for which that process is down.
const DOWN: Duration = Duration::from_millis(3_500);
/// Calm time before requests are counted: `contact-s`, and more.
const CALM: Duration = Duration::from_secs(6);
const MEASURED: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(500);

const FIRST: &str = r#"{"upsert":{"resources":[
{"resource-kind":"routes","metadata":{"name":"first","version":"r3"},"spec":{"host":"first.example","path-prefix":"/first/","route-type":"safe","timeout-s":0.8,"target-latency-s":0.4,"priority":2,"service":"plain","max-attempts":2}},
{"resource-kind":"services","metadata":{"name":"vault","version":"r3"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false}},
{"resource-kind":"services","metadata":{"name":"plain","version":"r3"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false}},
{"resource-kind":"limits","metadata":{"version":"r3"},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]},"remove":{"routes":[]}}"#;

const LATER: &str = r#"{"upsert":{"resources":[
{"resource-kind":"routes","metadata":{"name":"later","version":"r5"},"spec":{"host":"later.example","path-prefix":"/later/","route-type":"safe","timeout-s":1.5,"target-latency-s":0.8,"priority":2,"service":"vault","max-attempts":2}}]},"remove":{"routes":[]}}"#;

fn request(id: String, later: bool) -> Request {
    Request {
        path: format!("/{}/{id}", if later { "later" } else { "first" }),
        id,
        method: "GET",
        host: if later {
            "later.example"
        } else {
            "first.example"
        },
        key: None,
        deadline: Duration::from_millis(3_000),
    }
}

/// Sends requests on both routes in turn for a time. Returns the share that was served on each.
fn measure(entry: &Machine, record: &Arc<Record>, name: &str, time: Duration) -> [(u64, u64); 2] {
    let address = entry.address(entry.site.ports.front);
    let counts = [
        (AtomicU64::new(0), AtomicU64::new(0)),
        (AtomicU64::new(0), AtomicU64::new(0)),
    ];
    let end = Instant::now() + time;
    thread::scope(|scope| {
        for (later, count) in [false, true].into_iter().zip(&counts) {
            for client in 0..CLIENTS {
                scope.spawn(move || {
                    let mut number = 0;
                    while Instant::now() < end {
                        number += 1;
                        let id = format!("{name}-{later}-{client}-{number}");
                        let served = platform::serve(address, &request(id, later), record);
                        count.0.fetch_add(1, Ordering::Relaxed);
                        count.1.fetch_add(u64::from(served), Ordering::Relaxed);
                        thread::sleep(PAUSE);
                    }
                });
            }
        }
    });
    let counts = counts.map(|count| (count.0.into_inner(), count.1.into_inner()));
    record.say(&format!(
        "{name}: first route served {} of {}, later route served {} of {}",
        counts[0].1, counts[0].0, counts[1].1, counts[1].0
    ));
    counts
}

fn share(count: (u64, u64)) -> f64 {
    count.1 as f64 / count.0.max(1) as f64
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
    let mut entries: Vec<Machine> = (0..ENTRIES)
        .map(|index| Machine::new(&site, "entry", index))
        .collect();
    for entry in &mut entries {
        entry.zone = site.zone(0).to_owned();
    }
    for machine in controls.iter().chain(&entries) {
        machine.start()?;
    }
    let addresses: Vec<_> = controls
        .iter()
        .map(|m| m.address(site.ports.control))
        .collect();
    let mut servers = Vec::new();
    for index in 0..VAULT_SERVERS + PLAIN_SERVERS {
        let vault = index < VAULT_SERVERS;
        let service = if vault { "vault" } else { "plain" };
        let settings = ServerSettings {
            id: format!("i-{service}-{index}"),
            service: service.to_owned(),
            keyed: false,
            zone: site.zone(0).to_owned(),
            ip: site.ip(100 + index as u8),
            controls: addresses.clone(),
            work: if vault {
                VAULT_WORK
            } else {
                Duration::from_millis(30)
            },
            limit: None,
        };
        servers.push(Server::start(settings, record.clone())?);
    }
    for text in [FIRST, LATER] {
        if platform::configure(&addresses, text, Duration::from_secs(8), record) != Some(200) {
            record.say("the configuration was not acknowledged");
            return Ok(None);
        }
    }
    let end = Instant::now() + Duration::from_secs(15);
    while !entries.iter().all(Machine::is_ready) && Instant::now() < end {
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(4));
    let [first, later] = measure(&entries[0], record, "before", Duration::from_secs(4));
    if share(first) < 0.9 || share(later) < 0.9 {
        record.say("the deployment does not serve both routes before the disruption");
        return Ok(None);
    }
    let lost = &entries[1];
    let end = Instant::now() + BUSY;
    thread::scope(|scope| {
        for client in 0..BUSY_CLIENTS {
            scope.spawn(move || {
                let address = lost.address(lost.site.ports.front);
                let request = request("busy".to_owned(), true);
                platform::keep_sending(address, &format!("busy-{client}"), end, &request, record)
            });
        }
        thread::sleep(BUSY - Duration::from_millis(500));
        if platform::has_trouble() {
            lost.kill();
            record.say("an entry machine is lost");
            thread::sleep(DOWN);
            lost.bootstrap.store(false, Ordering::Relaxed);
            let started = lost.start();
            record.say("the entry machine is back");
            return started;
        }
        Ok(())
    })?;
    thread::sleep(CALM);
    let ready = entries.iter().filter(|entry| entry.is_ready()).count();
    record.say(&format!("{ready} of {ENTRIES} entry processes are ready"));
    let [first, later] = measure(&entries[0], record, "steady", MEASURED);
    servers.iter().for_each(|server| server.stop());
    let broken = later.0 >= 20 && share(later) < share(first) / 4.0;
    record.say(if broken {
        "CONFIG broken: the later route is served less than a quarter as often as the first one"
    } else {
        "CONFIG held"
    });
    Ok(Some(!broken))
}

fn main() -> ExitCode {
    let place = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let result = Record::create(&Path::new(&place).join("record.txt")).and_then(|record| {
        let folder = platform::temporary_folder("stale-load")?;
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
