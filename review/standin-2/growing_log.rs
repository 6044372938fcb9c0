//! The operator changes a long configuration some hundred times.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::config;
use crate::deployment::{Deployment, resident_bytes};
use crate::http;
use crate::record::Record;

/// Number of routes, and of changes.
const ROUTES: usize = 1_600;
const CHANGES: u64 = 500;

/// Memory that a process of a control host may use, as in its settings file.
const MEMORY_BYTES: u64 = 256 << 20;

/// Pause between two changes.
const PAUSE: Duration = Duration::from_millis(60);

/// Number of times that processes of a host may not end by themselves.
const MAX_ENDS: usize = 3;

/// Time after which a killed process is started again.
const RESTART_AFTER: Duration = Duration::from_secs(1);

/// Time for which changes are sent at most.
const SENDING: Duration = Duration::from_secs(70);

/// Time after the last change from which the configuration is read back, and how long that is tried.
const RECOVERY: Duration = Duration::from_secs(15);
const READING: Duration = Duration::from_secs(10);

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut platform = match Deployment::start(3, 1) {
        Ok(deployment) => Platform::new(deployment, record),
        Err(error) => return Outcome::CouldNotRun(error.to_string()),
    };
    let first = config::first("16384", 2.0);
    if !platform
        .deployment
        .configure(&first, Duration::from_secs(20))
    {
        return Outcome::CouldNotRun("the first configuration was not acknowledged".into());
    }
    // Without the disruption each change has one route.
    let routes = if trouble { ROUTES } else { 1 };
    let mut acknowledged = 0;
    let end = Instant::now() + SENDING;
    let mut control = 0;
    for version in 2..CHANGES + 2 {
        let body = change(version, routes);
        while Instant::now() < end {
            platform.watch();
            let address = platform.deployment.control(control);
            let answer = http::call(address, "POST", "/yuccahill/Config.Patch", &body);
            if answer.is_some_and(|answer| answer.status() == 200) {
                acknowledged = version;
                break;
            }
            control = (control + 1) % 3;
            thread::sleep(PAUSE);
        }
        if version == 2 || version % 50 == 0 {
            record.line(&format!(
                "version {version}, {} bytes, newest acknowledged: {acknowledged}",
                body.len()
            ));
        }
        thread::sleep(PAUSE);
    }
    record.say(&format!(
        "newest acknowledged version: {acknowledged} of {}; kills: {:?}",
        CHANGES + 1,
        platform.kills
    ));
    if acknowledged < CHANGES / 4 {
        return Outcome::CouldNotRun("too few changes were acknowledged".into());
    }
    platform.watch_for(RECOVERY);
    let read = read_back(&mut platform, routes, acknowledged);
    let read_text = match read {
        Some(true) => "the newest acknowledged one or a later one",
        Some(false) => "not what was acknowledged",
        None => "nothing",
    };
    record.say(&format!(
        "read back: {read_text}; kills: {:?}",
        platform.kills
    ));
    if read != Some(true) {
        record.say("CONFIG: what was acknowledged is not read back");
    }
    let often = platform.kills.iter().filter(|kills| **kills >= MAX_ENDS);
    let fault = often.count() * 2 > platform.kills.len();
    if fault {
        record.say(
            "Fault: on over half of the core, processes end by themselves three times or more",
        );
    }
    if fault || read != Some(true) {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Reads the configuration back. Returns whether it has all routes at a version that is not older than
/// the newest acknowledged one, or `None` if nothing comes.
fn read_back(platform: &mut Platform<'_>, routes: usize, acknowledged: u64) -> Option<bool> {
    let end = Instant::now() + READING;
    while Instant::now() < end {
        platform.watch_for(Duration::from_millis(100));
        for address in platform.deployment.all_controls() {
            let answer = http::call(address, "GET", "/yuccahill/Config.Read", "");
            let Some(answer) = answer.filter(|answer| answer.status() == 200) else {
                continue;
            };
            let text = String::from_utf8_lossy(&answer.body);
            let found = text.matches("\"host\":\"room").count();
            let is_first = |version| text.contains(&format!("\"w0\",\"version\":\"r{version}\""));
            return Some(found == routes && (acknowledged..=CHANGES + 1).any(is_first));
        }
    }
    None
}

/// Returns a call that sets these routes at a version.
fn change(version: u64, routes: usize) -> String {
    let routes: Vec<String> = (0..routes)
        .map(|number| {
            format!(
                r#"{{"resource-kind":"routes","metadata":{{"name":"w{number}","version":"r{version}"}},"spec":{{"host":"room{number}.kelani.example","path-prefix":"/renewals/","route-type":"unsafe","timeout-s":{},"target-latency-s":0.5,"priority":1,"traffic-split":[{{"service":"{}","weight":90}},{{"service":"{}","weight":10}}],"max-attempts":2}}}}"#,
                1 + version % 3,
                config::OFFICE,
                config::DESK
            )
        })
        .collect();
    format!(
        r#"{{"upsert":{{"resources":[{}]}},"remove":{{"routes":[]}}}}"#,
        routes.join(",")
    )
}

/// The platform: it kills processes that use more memory than their limit, and starts them again.
struct Platform<'a> {
    deployment: Deployment,
    record: &'a Record,
    /// When each control process is to be started again, if it was killed.
    restarts: [Option<Instant>; 3],
    kills: [usize; 3],
}

impl<'a> Platform<'a> {
    fn new(deployment: Deployment, record: &'a Record) -> Self {
        Self {
            deployment,
            record,
            restarts: [None; 3],
            kills: [0; 3],
        }
    }

    fn watch(&mut self) {
        for index in 0..self.restarts.len() {
            let now = Instant::now();
            if let Some(at) = self.restarts[index] {
                if now >= at && self.deployment.start_control(index, false).is_ok() {
                    self.restarts[index] = None;
                }
                continue;
            }
            let used = self.deployment.controls[index]
                .pid()
                .and_then(resident_bytes)
                .unwrap_or(0);
            if used > MEMORY_BYTES {
                self.kills[index] += 1;
                self.record.say(&format!(
                    "platform: control process {index} uses {} MiB and is killed",
                    used >> 20
                ));
                self.deployment.controls[index].end();
                self.restarts[index] = Some(now + RESTART_AFTER);
            }
        }
    }

    fn watch_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.watch();
            thread::sleep(Duration::from_millis(10));
        }
    }
}
