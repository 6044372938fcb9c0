//! `yucca-burn`: the report on service-level burn.

use std::env;
use std::fs;
use std::net;
use std::path::PathBuf;
use std::process;

use bpaf::Bpaf;
use yucca_cli::burn::{objectives, page, record, report};
use yucca_cli::client;
use yucca_cli::error::Error;
use yucca_wire::{auth, unit};

/// Records the counters of entry hosts and reports how fast services use up their error budgets.
///
/// Examples:
///   yucca-burn record --out burn.jsonl --every 10s --count 360 127.0.0.1:9104 127.0.0.1:9204
///   yucca-burn report --html burn.html burn.jsonl
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Add readings of entry hosts' balancer listeners to a record.
    #[bpaf(command)]
    Record {
        /// The record.
        #[bpaf(argument("FILE"))]
        out: PathBuf,
        /// The time between readings.
        #[bpaf(
            argument("SPAN"),
            fallback(unit::Span::from_millis(10_000)),
            display_fallback
        )]
        every: unit::Span,
        /// How many readings to take.
        #[bpaf(argument("COUNT"), fallback(360), display_fallback)]
        count: u32,
        /// The balancer addresses of the entry hosts.
        #[bpaf(positional("ADDRESS"), some("name at least one entry host"))]
        addresses: Vec<net::SocketAddr>,
    },
    /// Report on a record.
    #[bpaf(command)]
    Report {
        /// The operator address, for the objectives; without it, 99.9 % is assumed for all.
        #[bpaf(env("YUCCA_OPERATOR"), argument("URL"), optional)]
        operator: Option<String>,
        /// Write a self-contained HTML page, too.
        #[bpaf(argument("FILE"), optional)]
        html: Option<PathBuf>,
        /// Print JSON instead of a table.
        json: bool,
        /// The record.
        #[bpaf(positional("RECORD"))]
        record: PathBuf,
    },
}

fn main() -> process::ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(arguments().run())),
        Err(error) => Err(Error::InvalidResponse {
            reason: error.to_string(),
        }),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), Error> {
    match arguments {
        Arguments::Record {
            out,
            every,
            count,
            addresses,
        } => record::append(&out, &addresses, every.0, count).await,
        Arguments::Report {
            operator,
            html,
            json,
            record,
        } => {
            let readings = record::load(&record)?;
            let objectives = objectives(operator).await?;
            let summaries = report::compute(&readings, &objectives);
            if let Some(path) = html {
                let page = page::render(&summaries, &readings)
                    .map_err(|reason| Error::InvalidResponse { reason })?;
                fs::write(&path, page).map_err(|source| Error::File { path, source })?;
            }
            if json {
                println!("{:#}", serde_json::json!(summaries));
            } else {
                println!("{}", report::table(&summaries));
            }
            Ok(())
        }
    }
}

async fn objectives(operator: Option<String>) -> Result<objectives::Objectives, Error> {
    let Some(operator) = operator else {
        return Ok(objectives::Objectives::new());
    };
    let secret = auth::Secret::new(env::var("YUCCA_SECRET").unwrap_or_default());
    let client = client::Client::new(&operator, secret, "yucca-burn".into());
    objectives::from_table(&client.get("/table").await?)
}
