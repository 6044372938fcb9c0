//! `yucca-control`: the control process of a host.

use std::fmt;
use std::fs;
use std::io::Write;
use std::path;
use std::process::ExitCode;
use std::sync;

use bpaf::Bpaf;
use flexi_logger::{DeferredNow, Logger};
use tokio::signal::unix;
use yucca_control::process;
use yucca_control::settings;
use yucca_wire::finding;

/// The host and domain that are written in each log line.
static ORIGIN: sync::OnceLock<String> = sync::OnceLock::new();

/// Runs the control process of a host: replicas of the logs, tickets and versions of the table.
///
/// Stops gracefully on SIGTERM and SIGINT.
///
/// Example: `yucca-control --settings settings/kelani/colombo-1.control.toml`
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Print all settings with their defaults, units and descriptions as TOML, and exit
    #[bpaf(long("print-defaults"))]
    PrintDefaults,
    /// Run until SIGTERM or SIGINT
    Run {
        /// Settings file
        #[bpaf(long("settings"), argument("FILE"))]
        settings: path::PathBuf,
    },
}

/// Why the process failed.
#[derive(Debug)]
enum Error {
    /// The settings file cannot be read.
    Read {
        path: path::PathBuf,
        error: std::io::Error,
    },
    /// The settings are invalid.
    Settings(Vec<finding::Finding>),
    /// Logging cannot be started.
    Log(flexi_logger::FlexiLoggerError),
    /// The process cannot be started.
    Start(process::Error),
    /// Signals cannot be received.
    Signal(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { path, error } => {
                write!(f, "cannot read {}: {error}; check the path", path.display())
            }
            Self::Settings(findings) => {
                for finding in findings {
                    writeln!(f, "{finding}")?;
                }
                write!(
                    f,
                    "{} findings in the settings; the process was not started",
                    findings.len()
                )
            }
            Self::Log(error) => write!(f, "cannot start logging: {error}"),
            Self::Start(error) => error.fmt(f),
            Self::Signal(error) => write!(f, "cannot receive signals: {error}"),
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match command().run() {
        Command::PrintDefaults => {
            print!(
                "{}",
                yucca_settings::defaults::print::<settings::Settings>()
            );
            Ok(())
        }
        Command::Run { settings } => run(&settings).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(path: &path::Path) -> Result<(), Error> {
    let text = fs::read_to_string(path).map_err(|error| Error::Read {
        path: path.into(),
        error,
    })?;
    let file = path.display().to_string();
    let settings = settings::read(&text, &file).map_err(Error::Settings)?;
    start_log(&settings).map_err(Error::Log)?;
    process::metric::install();
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(Error::Signal)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(Error::Signal)?;
    let running = process::Process::start(settings)
        .await
        .map_err(Error::Start)?;
    let addresses = running.addresses();
    log::info!(
        "started operator={} peer={} health={}",
        addresses.operator,
        addresses.peer,
        addresses.health
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("stopping");
    running.stop().await;
    log::info!("stopped");
    Ok(())
}

/// Starts logging to standard error, each line with the host and its domain.
fn start_log(settings: &settings::Settings) -> Result<(), flexi_logger::FlexiLoggerError> {
    ORIGIN.get_or_init(|| format!("host={} domain={}", settings.host, settings.domain));
    let logger = Logger::try_with_env_or_str("info")?;
    logger.format(line).start()?;
    Ok(())
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
