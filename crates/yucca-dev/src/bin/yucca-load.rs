//! `yucca-load`: runs load experiments against a running deployment.

use std::fs;
use std::path;
use std::process;
use std::time;

use bpaf::Bpaf;
use yucca_dev::deployment;
use yucca_dev::load::client;
use yucca_dev::load::discovery;
use yucca_dev::load::experiment;
use yucca_dev::load::table;

/// Puts load on a running deployment and compares it with baselines.
///
/// First start `yucca-dev` and write its output to a file:
/// yucca-dev --deployment kelani > ready.json &
/// yucca-load --ready ready.json measures
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// File with the ready line of `yucca-dev`; `-` is standard input
    #[bpaf(argument("FILE"))]
    ready: path::PathBuf,
    /// Sample deployment that is running: kelani or brightwater
    #[bpaf(argument("NAME"), fallback(deployment::Name::Kelani), display_fallback)]
    deployment: deployment::Name,
    /// Time during which requests arrive in each run, in seconds
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    seconds: u64,
    /// Exponent of the Zipf distribution of keys
    #[bpaf(argument("EXPONENT"), fallback(0.9), display_fallback)]
    zipf: f64,
    /// Interval at which the hot keys change, in seconds
    #[bpaf(argument("SECONDS"), fallback(5), display_fallback)]
    move_every: u64,
    /// Seed of all arrivals
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// File to write the results to, as JSON
    #[bpaf(argument("FILE"), optional)]
    json: Option<path::PathBuf>,
    #[bpaf(external(experiment_command))]
    experiment: Experiment,
}

/// Experiment to run.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(experiment_command))]
enum Experiment {
    /// Compare the five measures with three baselines
    #[bpaf(command)]
    Measures,
    /// Measure the latency that entry host and lane add to direct requests
    #[bpaf(command)]
    Latency,
    /// Compare the throughput of one entry host with direct requests
    #[bpaf(command)]
    Throughput,
    /// Run demand at 1.5 times the capacity for 10 s
    #[bpaf(command)]
    Crest,
    /// Run short work without long work, and with long work at 40% of all slots
    #[bpaf(command)]
    Blocking,
    /// Compare the imbalance of pool services with random routing
    #[bpaf(command)]
    Imbalance,
    /// Measure the resident memory of a process, idle and with requests in flight
    #[bpaf(command)]
    Memory {
        /// ID of the process
        #[bpaf(argument("PID"))]
        pid: u32,
        /// Number of requests held open
        #[bpaf(argument("COUNT"), fallback(10_000), display_fallback)]
        in_flight: u64,
    },
}

/// Why the tool failed.
#[derive(Debug)]
enum Error {
    Deployment(deployment::Error),
    Discovery(discovery::Error),
    Experiment(experiment::Error),
    Write(std::io::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Deployment(error) => error.fmt(f),
            Self::Discovery(error) => error.fmt(f),
            Self::Experiment(error) => error.fmt(f),
            Self::Write(error) => write!(f, "cannot write the results: {error}; check --json"),
        }
    }
}

#[tokio::main]
async fn main() -> process::ExitCode {
    match run(options().run()).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yucca-load: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> Result<(), Error> {
    let bench = experiment::Bench {
        ready: discovery::Ready::read(&options.ready).map_err(Error::Discovery)?,
        deployment: deployment::Deployment::new(options.deployment).map_err(Error::Deployment)?,
        client: client::Client::default(),
        length: time::Duration::from_secs(options.seconds),
        zipf: options.zipf,
        move_every: time::Duration::from_secs(options.move_every.max(1)),
        seed: options.seed,
    };
    let tables = measure(&bench, &options.experiment).await;
    let tables = tables.map_err(Error::Experiment)?;
    for table in &tables {
        println!("{table}");
    }
    match &options.json {
        Some(file) => write(file, &tables).map_err(Error::Write),
        None => Ok(()),
    }
}

async fn measure(
    bench: &experiment::Bench,
    chosen: &Experiment,
) -> Result<Vec<table::Table>, experiment::Error> {
    match chosen {
        Experiment::Measures => experiment::measures(bench).await,
        Experiment::Latency => experiment::latency(bench).await,
        Experiment::Throughput => experiment::throughput(bench).await,
        Experiment::Crest => experiment::crest(bench).await,
        Experiment::Blocking => experiment::blocking(bench).await,
        Experiment::Imbalance => experiment::imbalance(bench).await,
        Experiment::Memory { pid, in_flight } => experiment::memory(bench, *pid, *in_flight).await,
    }
}

fn write(file: &path::Path, tables: &[table::Table]) -> std::io::Result<()> {
    let text = serde_json::to_string_pretty(tables)?;
    fs::write(file, text)
}
