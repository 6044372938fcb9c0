//! `yucca-entry`: the entry process of a host.

use std::fs;
use std::path::PathBuf;
use std::process;

use bpaf::Bpaf;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::signal::unix;
use yucca_entry::process::running;
use yucca_entry::settings;
use yucca_settings::defaults;

/// Receives requests of callers, routes them and runs the lanes of this host.
///
/// Stops gracefully on SIGTERM and SIGINT.
///
/// Example: `yucca-entry --settings settings/kelani/colombo-1.entry.toml`
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Print all settings with their defaults and descriptions, and exit.
    print_defaults: bool,
    /// Settings file.
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
}

fn main() -> process::ExitCode {
    let arguments = arguments().run();
    if arguments.print_defaults {
        println!("{}", defaults::print::<settings::Settings>());
        return process::ExitCode::SUCCESS;
    }
    let Some(file) = arguments.settings else {
        eprintln!("no settings file given; use --settings FILE, or see --print-defaults");
        return process::ExitCode::from(2);
    };
    let settings = match read(&file) {
        Ok(settings) => settings,
        Err(text) => {
            eprintln!("{text}");
            return process::ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime.map(|runtime| runtime.block_on(run(settings))) {
        Ok(Ok(())) => process::ExitCode::SUCCESS,
        Ok(Err(text)) => {
            eprintln!("{text}");
            process::ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn read(file: &PathBuf) -> Result<settings::Settings, String> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| format!("cannot read {name}: {error}"))?;
    yucca_settings::read(&text, &name).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

async fn run(settings: settings::Settings) -> Result<(), String> {
    let logger = flexi_logger::Logger::try_with_env_or_str("info");
    let started = logger.and_then(|logger| logger.format(flexi_logger::detailed_format).start());
    let _logger = started.map_err(|error| format!("cannot start the logger: {error}"))?;
    let recorder = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| format!("cannot install the metrics recorder: {error}"))?;
    let bound = running::Bound::bind(settings).await;
    let process = bound
        .map_err(|error| error.to_string())?
        .start(Some(recorder));
    stop_signal().await?;
    process.stop().await;
    Ok(())
}

async fn stop_signal() -> Result<(), String> {
    let describe = |error| format!("cannot install the signal handlers: {error}");
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(describe)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(describe)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
