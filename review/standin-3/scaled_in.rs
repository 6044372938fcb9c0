//! Case 12: the servers of a keyed service are emptied and taken away, a few at a time. The ones that
//! stay must go on serving all keys.

mod platform;

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Machine, Record, Request, Server, ServerSettings, Site};

/// Servers of the keyed service, by zone, as on the small site.
const KEYED: [usize; 3] = [4, 5, 4];
/// Servers of the other service.
const PLAIN: usize = 3;
const ENTRIES: usize = 3;

/// Servers that leave together; each number is at most 0.15 of those that are left, rounded.
const STEPS: [usize; 6] = [2, 2, 1, 1, 1, 1];
/// `drain-s` of the site, and a little longer.
const SERVE_AFTER_DRAIN: Duration = Duration::from_millis(2_300);
/// Calm time before requests are counted: `contact-s` and `config-propagation-s`, and more.
const CALM: Duration = Duration::from_secs(8);
const MEASURED: Duration = Duration::from_secs(20);
/// Pause between the requests of one client.
const PAUSE: Duration = Duration::from_millis(150);

const FIRST: &str = r#"{"upsert":{"resources":[
{"resource-kind":"routes","metadata":{"name":"first","version":"r3"},"spec":{"host":"first.example","path-prefix":"/first/","route-type":"safe","timeout-s":0.8,"target-latency-s":0.4,"priority":2,"service":"plain","max-attempts":2}},
{"resource-kind":"services","metadata":{"name":"desk","version":"r3"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false,"sharded":true,"warm-s":5.0,"grants":"heartbeat"}},
{"resource-kind":"services","metadata":{"name":"plain","version":"r3"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false}},
{"resource-kind":"limits","metadata":{"version":"r3"},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]},"remove":{"routes":[]}}"#;

const LATER: &str = r#"{"upsert":{"resources":[
{"resource-kind":"routes","metadata":{"name":"later","version":"r5"},"spec":{"host":"later.example","path-prefix":"/later/","route-type":"safe","timeout-s":0.8,"target-latency-s":0.4,"priority":2,"service":"desk","max-attempts":2}}]},"remove":{"routes":[]}}"#;

/// Requests and served requests on one route.
#[derive(Default)]
struct Count {
    sent: AtomicU64,
    served: AtomicU64,
}

impl Count {
    fn text(&self) -> String {
        let (served, sent) = (
            self.served.load(Ordering::Relaxed),
            self.sent.load(Ordering::Relaxed),
        );
        format!("{served} of {sent}")
    }

    fn share(&self) -> f64 {
        let sent = self.sent.load(Ordering::Relaxed).max(1);
        self.served.load(Ordering::Relaxed) as f64 / sent as f64
    }
}

/// Sends requests on both routes to every entry process for a time.
fn measure(
    entries: &[Machine],
    record: &Arc<Record>,
    name: &str,
    time: Duration,
) -> (Count, Count) {
    let counts = (Count::default(), Count::default());
    let end = Instant::now() + time;
    thread::scope(|scope| {
        for (index, entry) in entries.iter().enumerate() {
            for keyed in [false, true] {
                let count = if keyed { &counts.1 } else { &counts.0 };
                scope.spawn(move || {
                    let mut number = 0_u64;
                    while Instant::now() < end {
                        number += 1;
                        let key = (number * 40_503 + index as u64 * 7_919) % 65_536;
                        let request = Request {
                            id: format!("{name}-{index}-{keyed}-{number}"),
                            method: "GET",
                            host: if keyed {
                                "later.example"
                            } else {
                                "first.example"
                            },
                            path: format!("/{}/{number}", if keyed { "later" } else { "first" }),
                            key: keyed.then_some(key as u16),
                            deadline: Duration::from_millis(1_500),
                        };
                        let served = platform::serve(
                            entry.address(entry.site.ports.front),
                            &request,
                            record,
                        );
                        count.sent.fetch_add(1, Ordering::Relaxed);
                        count.served.fetch_add(u64::from(served), Ordering::Relaxed);
                        thread::sleep(PAUSE);
                    }
                });
            }
        }
    });
    record.say(&format!(
        "{name}: first route served {}, later route served {}",
        counts.0.text(),
        counts.1.text()
    ));
    counts
}

fn server(
    site: &Site,
    record: &Arc<Record>,
    service: &str,
    zone: usize,
    number: usize,
) -> std::io::Result<Arc<Server>> {
    let mut seeds = site.seeds.clone();
    seeds.rotate_left(zone);
    let ports = site.ports;
    let controls = seeds.iter().map(|ip| (*ip, ports.control).into()).collect();
    let settings = ServerSettings {
        id: format!("i-{service}-{number}"),
        service: service.to_owned(),
        keyed: service == "desk",
        zone: site.zone(zone).to_owned(),
        ip: site.ip(100 + number as u8),
        controls,
        work: Duration::from_millis(40),
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
    let mut desk: Vec<Arc<Server>> = Vec::new();
    for (zone, count) in KEYED.into_iter().enumerate() {
        for _ in 0..count {
            desk.push(server(&site, record, "desk", zone, desk.len())?);
        }
    }
    let mut plain: Vec<Arc<Server>> = Vec::new();
    for index in 0..PLAIN {
        plain.push(server(&site, record, "plain", index, 50 + index)?);
    }
    let addresses: Vec<_> = controls
        .iter()
        .map(|m| m.address(site.ports.control))
        .collect();
    for text in [FIRST, LATER] {
        if platform::configure(&addresses, text, Duration::from_secs(8), record) != Some(200) {
            record.say("the configuration was not acknowledged");
            return Ok(None);
        }
    }
    let held = || {
        desk.iter()
            .filter(|s| !s.is_stopped())
            .map(|s| s.key_count())
            .sum::<usize>()
    };
    let end = Instant::now() + Duration::from_secs(15);
    while (held() < 65_536 || !entries.iter().all(Machine::is_ready)) && Instant::now() < end {
        thread::sleep(Duration::from_millis(200));
    }
    record.say(&format!("servers hold {} of 65536 keys", held()));
    thread::sleep(Duration::from_secs(1));
    let before = measure(&entries, record, "before", Duration::from_secs(5));
    if before.1.share() < 0.9 || before.0.share() < 0.9 {
        record.say("the deployment does not serve both routes before the disruption");
        return Ok(None);
    }
    if platform::has_trouble() {
        let mut remaining = desk.iter().rev();
        for count in STEPS {
            let leaving: Vec<Arc<Server>> = remaining.by_ref().take(count).cloned().collect();
            let leaving: Vec<_> = leaving
                .into_iter()
                .map(|server| thread::spawn(move || server.leave(SERVE_AFTER_DRAIN)))
                .collect();
            for thread in leaving {
                let _ = thread.join();
            }
            let up = desk.iter().filter(|s| !s.is_stopped()).count();
            record.say(&format!(
                "{up} servers are left, they hold {} of 65536 keys",
                held()
            ));
            thread::sleep(Duration::from_millis(1_500));
        }
    }
    thread::sleep(CALM);
    let too_large = Mutex::new(Vec::new());
    for server in desk.iter().filter(|s| !s.is_stopped()) {
        let large = server.too_large.load(Ordering::Relaxed);
        if large > 0 {
            let largest = server.largest.load(Ordering::Relaxed);
            platform::lock(&too_large).push(format!(
                "{} has got {large} answers of more than {} bytes, the largest of {largest}",
                server.settings.id,
                platform::ACK_MAX_BYTES
            ));
        }
    }
    let steady = measure(&entries, record, "steady", MEASURED);
    record.say(&format!("servers hold {} of 65536 keys", held()));
    for line in platform::lock(&too_large).iter() {
        record.say(line);
    }
    let later_sent = steady.1.sent.load(Ordering::Relaxed);
    let broken = later_sent >= 20 && steady.1.share() < steady.0.share() / 4.0;
    record.say(if broken {
        "CONFIG broken: the later route is served less than a quarter as often as the first one"
    } else {
        "CONFIG held"
    });
    // Control processes end last, so that nothing is left to ask them.
    for server in desk.iter().chain(&plain) {
        server.stop();
    }
    Ok(Some(!broken))
}

fn main() -> ExitCode {
    let place = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let result = Record::create(&Path::new(&place).join("record.txt")).and_then(|record| {
        let folder = platform::temporary_folder("scaled-in")?;
        let result = run(&folder, &record);
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&folder);
        }
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
