//! Stand-ins of clients, servers, the operator and the platform, and the cases that use them.
//!
//! `standin CASE RECORD` plays a case and writes what it saw to RECORD. It ends with 1 if the rule of
//! the case was broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` it
//! plays the same without the disruption.

mod client;
mod config;
mod deployment;
mod foreign_heartbeat;
mod growing_log;
mod http;
mod json;
mod late_heartbeat;
mod owners;
mod raised_limits;
mod record;
mod server;

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// Maximum time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Outcome {
    Broken,
    Held,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write {path}: {error}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        // The processes of the deployment are killed with this one.
        std::process::exit(2);
    });
    record.say(&format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "foreign-heartbeat" => foreign_heartbeat::play(&record, trouble),
        "growing-log" => growing_log::play(&record, trouble),
        "late-heartbeat" => late_heartbeat::play(&record, trouble),
        "raised-limits" => raised_limits::play(&record, trouble),
        other => Outcome::CouldNotRun(format!("there is no case {other}")),
    };
    match outcome {
        Outcome::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::CouldNotRun(reason) => {
            record.say(&format!("could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
