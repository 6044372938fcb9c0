//! `yucca-dev`: a whole deployment in one process, to try yuccahill on one machine.

use std::io::Write;
use std::net;
use std::process;
use std::sync;
use std::time;

use bpaf::Bpaf;
use tokio::signal::unix;
use yucca_dev::cluster;
use yucca_dev::deployment;
use yucca_dev::load::discovery;

/// Time that mock targets take from a cold start to their full rate.
const WARMUP: time::Duration = time::Duration::from_secs(5);

/// Offset of the port of the fault API from the first port.
const FAULTS_OFFSET: u16 = 200;

/// Runs three domains with 11 hosts, each with an entry and a control process, and mock targets on
/// loopback.
///
/// Prints one line of JSON once it can serve requests, and runs until it is interrupted:
/// yucca-dev --deployment kelani
/// curl http://127.0.0.1:7400/ticket-desk/engine-7
/// curl -d '{"fault":"freeze","target":"ticket-desk-1"}' http://127.0.0.1:7600/faults
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Sample deployment: kelani or brightwater
    #[bpaf(argument("NAME"), fallback(deployment::Name::Kelani), display_fallback)]
    deployment: deployment::Name,
    /// First port to listen on; 0 uses free ports
    #[bpaf(argument("BASE"), fallback(7400), display_fallback)]
    port: u16,
    /// Connect entry hosts directly, without the forwarders that can cut domains off; for
    /// measurements
    without_cuts: bool,
    /// Seed of the targets' service times
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
}

/// Why the deployment can't run.
#[derive(Debug)]
enum Error {
    Deployment(deployment::Error),
    Cluster(cluster::Error),
    Log(flexi_logger::FlexiLoggerError),
    Print(std::io::Error),
    Signal(std::io::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Deployment(error) => error.fmt(f),
            Self::Cluster(error) => error.fmt(f),
            Self::Log(error) => write!(f, "cannot start the log: {error}; check RUST_LOG"),
            Self::Print(error) => write!(f, "cannot print the ready line: {error}"),
            Self::Signal(error) => write!(f, "cannot wait for signals: {error}"),
        }
    }
}

#[tokio::main]
async fn main() -> process::ExitCode {
    match run(options().run()).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yucca-dev: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> Result<(), Error> {
    let logger = flexi_logger::Logger::try_with_env_or_str("warn");
    let _logger = logger
        .and_then(flexi_logger::Logger::start)
        .map_err(Error::Log)?;
    let port = (options.port > 0).then_some(options.port);
    let settings = cluster::Settings {
        deployment: deployment::Deployment::new(options.deployment).map_err(Error::Deployment)?,
        port,
        warmup: WARMUP,
        seed: options.seed,
        cuts: !options.without_cuts,
        control: None,
    };
    let cluster = cluster::Cluster::start(settings).await;
    let cluster = sync::Arc::new(cluster.map_err(Error::Cluster)?);
    let faults_port = port.map_or(0, |port| port.saturating_add(FAULTS_OFFSET));
    let listen = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, faults_port));
    let faults = cluster::faults::Server::start(listen, cluster.clone()).await;
    let faults = faults.map_err(Error::Cluster)?;
    cluster::start::serve(&cluster)
        .await
        .map_err(Error::Cluster)?;
    print(&discovery::Ready {
        ready: true,
        entries: cluster.entries().await,
        operator: format!("http://{}", cluster.operator().await),
        faults: format!("http://{}", faults.address()),
    })
    .map_err(Error::Print)?;
    stop_signal().await.map_err(Error::Signal)
}

/// Waits for SIGINT or SIGTERM. The caller then returns, which removes the hosts' data folders.
async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn print(ready: &discovery::Ready) -> std::io::Result<()> {
    let line = serde_json::to_string(ready)?;
    let mut out = std::io::stdout();
    writeln!(out, "{line}")?;
    out.flush()
}
