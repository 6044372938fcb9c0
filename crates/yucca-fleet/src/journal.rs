//! Logs: one line for each decision and each change of belief, on standard output.

use std::io::Write;
use std::sync;

use flexi_logger::{DeferredNow, LogSpecification, Logger};

/// The host and role in each line.
static ORIGIN: sync::OnceLock<String> = sync::OnceLock::new();

/// Starts logging with `origin` in each line.
///
/// # Errors
/// Fails where a logger was started before.
pub fn start(origin: &str) -> Result<(), flexi_logger::FlexiLoggerError> {
    ORIGIN.get_or_init(|| origin.to_owned());
    let level = LogSpecification::info();
    Logger::with(level)
        .log_to_stdout()
        .format(line)
        .start()
        .map(|_| ())
}

fn line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    let origin = ORIGIN.get().map_or("", String::as_str);
    write!(out, "{time} {} {origin} {}", record.level(), record.args())
}
