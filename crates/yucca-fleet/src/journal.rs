//! Logs to standard output: one line for each decision and each observed change of state.
//!
//! Lines go through a bounded queue to a thread that writes them, so that logging never blocks.
//! Lines that do not fit into the queue are dropped and counted, and the count is written before
//! the next line.

use std::io::{self, Write};
use std::sync::atomic;
use std::sync::{self, mpsc};
use std::thread;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger};

/// Maximum number of lines that wait to be written.
const QUEUE_LINES: usize = 2048;

/// Host and role, written in each line.
static ORIGIN: sync::OnceLock<String> = sync::OnceLock::new();

/// Starts logging to standard output, with `origin` in each line.
///
/// # Errors
/// Fails if a logger is already started.
pub fn start(origin: &str) -> Result<(), flexi_logger::FlexiLoggerError> {
    ORIGIN.get_or_init(|| origin.to_owned());
    Logger::with(LogSpecification::info())
        .log_to_writer(Box::new(Queue::new(io::stdout(), QUEUE_LINES)))
        .start()
        .map(|_| ())
}

/// Bounded queue of lines, written by its own thread.
pub struct Queue {
    lines: mpsc::SyncSender<Vec<u8>>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

impl Queue {
    /// Starts a thread that writes to `out`. At most `capacity` lines wait for it.
    pub fn new(mut out: impl Write + Send + 'static, capacity: usize) -> Self {
        let (lines, waiting) = mpsc::sync_channel::<Vec<u8>>(capacity);
        let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
        let counted = dropped.clone();
        thread::spawn(move || {
            for line in waiting {
                let lost = counted.swap(0, atomic::Ordering::Relaxed);
                if lost > 0 {
                    // There is nowhere to report a failure to write logs.
                    let _ = writeln!(out, "log dropped={lost} lines, as the queue was full");
                }
                let _ = out.write_all(&line);
            }
        });
        Self { lines, dropped }
    }

    /// Queues a line without waiting. Drops and counts it if the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            metrics::counter!("yucca_log_lines_dropped_total").increment(1);
        }
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let time = now.format_rfc3339();
        let origin = ORIGIN.get().map_or("", String::as_str);
        let line = format!("{time} {} {origin} {}\n", record.level(), record.args());
        self.push(line.into_bytes());
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}
