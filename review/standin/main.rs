//! Stand-ins of the users' platform for the scripts of `review/`: platform, operator, servers and
//! clients, as PROTOCOL.md and DEPLOY.md describe them. They use the standard library only.
//!
//! Usage: standin SCENARIO FOLDER PROGRAM. Writes FOLDER/record.txt. Exit status: 0 the rule held,
//! 1 it was broken, 2 the scenario could not run. With TROUBLE=0 in the environment, the scenario
//! runs without its disruption.

mod client;
mod http;
mod json;
mod platform;
mod scenario;
mod server;

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Record of what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    /// Appends a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:9.3} {text}").unwrap();
    }

    /// Appends a line and prints it.
    pub fn tell(&self, text: &str) {
        println!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, program] = &arguments[..] else {
        eprintln!("usage: standin SCENARIO FOLDER PROGRAM");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = Path::new(folder).join("record.txt");
    let file = fs::File::create(path).expect("record.txt can be written");
    let record = std::sync::Arc::new(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
    record.tell(&format!("scenario {name} trouble={trouble}"));
    let outcome = scenario::run(name, program, trouble, &record);
    let status = match outcome {
        Ok(true) => {
            record.tell("the rule held");
            0
        }
        Ok(false) => {
            record.tell("the rule was broken");
            1
        }
        Err(reason) => {
            record.tell(&format!("could not run: {reason}"));
            2
        }
    };
    std::process::exit(status);
}
