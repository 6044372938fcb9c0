//! `yucca-load`: load and experiments against a running deployment.

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

/// Loads a running deployment and measures it beside its baselines.
///
/// Start `yucca-dev` with its output in a file first:
/// yucca-dev --deployment kelani > ready.json &
/// yucca-load --ready ready.json measures
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The file with the ready line of `yucca-dev`; `-` is standard input
    #[bpaf(argument("FILE"))]
    ready: path::PathBuf,
    /// The sample deployment that runs: kelani or brightwater
    #[bpaf(argument("NAME"), fallback(deployment::Name::Kelani), display_fallback)]
    deployment: deployment::Name,
    /// How long requests arrive in each run, in seconds
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    seconds: u64,
    /// The exponent of Zipf's law by which keys are used
    #[bpaf(argument("EXPONENT"), fallback(0.9), display_fallback)]
    zipf: f64,
    /// After how many seconds other keys become the hot ones
    #[bpaf(argument("SECONDS"), fallback(5), display_fallback)]
    move_every: u64,
    /// The seed of all arrivals
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// Where the results go as JSON
    #[bpaf(argument("FILE"), optional)]
    json: Option<path::PathBuf>,
    #[bpaf(external(experiment_command))]
    experiment: Experiment,
}

/// What is measured.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(experiment_command))]
enum Experiment {
    /// The five measures, beside three baselines
    #[bpaf(command)]
    Measures,
    /// The latency that entry and lane add to a direct client
    #[bpaf(command)]
    Latency,
    /// The throughput of one entry host beside direct requests
    #[bpaf(command)]
    Throughput,
    /// Demand at 1.5 times the capacity for 10 s
    #[bpaf(command)]
    Crest,
    /// Short work with long work at 40% of all slots
    #[bpaf(command)]
    Blocking,
    /// Imbalance of pool services beside random routing
    #[bpaf(command)]
    Imbalance,
    /// Resident memory, idle and with requests in flight
    #[bpaf(command)]
    Memory {
        /// The process
        #[bpaf(argument("PID"))]
        pid: u32,
        /// How many requests are held open
        #[bpaf(argument("COUNT"), fallback(10_000), display_fallback)]
        in_flight: u64,
    },
}

/// Why the tool fails.
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
