//! The scenarios, one for each case with a script.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Clients, Kind};
use crate::platform::{Platform, ZONES};
use crate::{Record, server};

const START: Duration = Duration::from_secs(20);

/// Runs a scenario. Returns whether the rule held.
pub fn run(name: &str, program: &str, trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    match name {
        "many-rows" => many_rows(program, trouble, record),
        _ => Err(format!("there is no scenario {name}")),
    }
}

/// The operator's first call: a service that is divided by key, and one that is not.
const CONFIG: &str = r#"{"upsert":{"resources":[{"resource-kind":"routes","metadata":{"name":"r-look","version":"r7"},"spec":{"host":"look.example","path-prefix":"/look/","route-type":"safe","timeout-s":1.2,"target-latency-s":0.4,"priority":2,"service":"desk","max-attempts":2}},{"resource-kind":"routes","metadata":{"name":"r-renew","version":"r7"},"spec":{"host":"renew.example","path-prefix":"/renew/","route-type":"unsafe","timeout-s":1.2,"target-latency-s":0.5,"priority":1,"service":"office","max-attempts":2}},{"resource-kind":"services","metadata":{"name":"desk","version":"r7"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false,"sharded":true,"warm-s":2.0,"grants":"heartbeat"}},{"resource-kind":"services","metadata":{"name":"office","version":"r7"},"spec":{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false}},{"resource-kind":"limits","metadata":{"version":"r7"},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]},"remove":{"routes":[]}}"#;

fn lookups(per_second: f64) -> Kind {
    Kind {
        name: "lookup",
        method: "GET",
        host: "look.example",
        path: "/look/",
        keyed: true,
        deadline: Duration::from_millis(1_500),
        per_second,
    }
}

type Servers = Vec<Arc<server::Server>>;

fn start_servers(
    platform: &Platform,
    service: &str,
    keyed: bool,
    count: usize,
    first: u8,
    record: &Arc<Record>,
) -> Result<Servers, String> {
    let [a, b, c] = platform.net;
    let started = (0..count).map(|index| {
        let settings = server::Settings {
            id: format!("i-{service}-{index:02}"),
            service: service.to_owned(),
            keyed,
            zone: ZONES[index % ZONES.len()],
            ip: Ipv4Addr::new(a, b, c, first + index as u8),
            work: Duration::from_millis(40),
        };
        server::Server::start(settings, platform.controls(), record)
    });
    let started: std::io::Result<Servers> = started.collect();
    started.map_err(|error| format!("servers: {error}"))
}

fn start_platform(program: &str, record: &Arc<Record>) -> Result<Platform, String> {
    let platform = Platform::new(program, 1, record);
    let mut platform = platform.map_err(|error| format!("platform: {error}"))?;
    let started = platform.start_all();
    started.map_err(|error| format!("processes: {error}"))?;
    Ok(platform)
}

fn wait_for(what: &str, timeout: Duration, mut done: impl FnMut() -> bool) -> Result<(), String> {
    let until = Instant::now() + timeout;
    while !done() {
        if Instant::now() > until {
            return Err(format!("{what} took more than {timeout:?}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Servers of a service that is divided by key are emptied and taken away, then the day ends with a
/// final fault. Rule RECOVER: of the requests sent later than `recovery-s` after the machines are
/// back, less than a quarter is served, though a quarter or more was before the final fault.
///
/// With TROUBLE=final, only the final fault comes.
fn many_rows(program: &str, trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    const SERVERS: usize = 13;
    const REMAIN: usize = 4;
    const BEFORE: Duration = Duration::from_secs(28);
    const DOWN: Duration = Duration::from_secs(1);
    const RECOVERY: Duration = Duration::from_secs(15);
    const AFTER: Duration = Duration::from_secs(25);
    let shrinks = trouble && std::env::var("TROUBLE").as_deref() != Ok("final");
    let mut platform = start_platform(program, record)?;
    let desk = start_servers(&platform, "desk", true, SERVERS, 101, record)?;
    let _office = start_servers(&platform, "office", false, 4, 131, record)?;
    if platform.order(CONFIG, START) != Some(200) {
        return Err("the first configuration was not acknowledged".into());
    }
    platform.wait_ready(START)?;
    let held = |servers: &Servers| servers.iter().map(|server| server.keys()).sum::<usize>();
    wait_for("the first grants", START, || held(&desk) == 1 << 16)?;
    record.tell("all keys are held; traffic begins");
    let clients = Clients::start(&[lookups(40.0)], &platform.fronts(), record);
    let report = || {
        let sizes = |server: &Arc<server::Server>| server.largest.load(Ordering::Relaxed);
        let sizes: Vec<usize> = desk[..REMAIN].iter().map(sizes).collect();
        let oversize: usize = desk
            .iter()
            .map(|s| s.oversize.load(Ordering::Relaxed))
            .sum();
        let up = desk
            .iter()
            .filter(|server| !server.gone.load(Ordering::Relaxed));
        record.tell(&format!(
            "{} servers are up; keys held: {} of 65536; largest answers to heartbeats of the \
             first {REMAIN}: {sizes:?} bytes; answers over {} bytes: {oversize}",
            up.count(),
            held(&desk),
            server::MAX_ANSWER_BYTES,
        ));
    };
    let start = Instant::now();
    thread::sleep(BEFORE - Duration::from_secs(6));
    report();
    if shrinks {
        for server in &desk[REMAIN..] {
            server.drain();
            thread::sleep(Duration::from_millis(100));
        }
    }
    thread::sleep(BEFORE.saturating_sub(start.elapsed()));
    report();
    let fault = Instant::now();
    if trouble {
        record.tell("final fault: all processes are killed");
        let all = 0..platform.machines.len();
        all.clone().for_each(|index| platform.kill(index));
        thread::sleep(DOWN);
        for index in all {
            let started = platform.start(index, false);
            started.map_err(|error| format!("processes: {error}"))?;
        }
    }
    let back = Instant::now();
    while back.elapsed() < RECOVERY + AFTER {
        thread::sleep(Duration::from_secs(5));
        report();
    }
    let samples = clients.samples();
    drop(clients);
    let share = |from: Instant, to: Instant| {
        let sent = samples.iter().filter(|s| from <= s.sent && s.sent < to);
        let served = sent.clone().filter(|sample| sample.status == 200).count();
        (
            served as f64 / sent.clone().count().max(1) as f64,
            sent.count(),
        )
    };
    let (before, first) = share(start, fault);
    // The last requests may still wait for their answers.
    let (after, last) = share(back + RECOVERY, Instant::now() - Duration::from_secs(2));
    record.tell(&format!(
        "served before the final fault: {before:.3} of {first} requests; of {last} requests sent \
         later than {RECOVERY:?} after the machines were back: {after:.3}"
    ));
    if before < 0.25 || last == 0 {
        return Err("too little was served before the final fault".into());
    }
    Ok(after >= 0.25)
}
