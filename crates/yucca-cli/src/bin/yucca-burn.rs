//! `yucca-burn`: records counters and reports service-level burn.

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

/// Records the request counters of entry hosts and reports how fast services use up their error
/// budgets.
///
/// Examples:
///   yucca-burn record --out burn.jsonl --every 10s --count 360 127.0.0.1:9104 127.0.0.1:9204
///   yucca-burn report --html burn.html burn.jsonl
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Read the counters of entry hosts from their balancer listeners and append them to a record.
    #[bpaf(command)]
    Record {
        /// Record file; it is created if it does not exist.
        #[bpaf(argument("FILE"))]
        out: PathBuf,
        /// Interval between readings.
        #[bpaf(
            argument("SPAN"),
            fallback(unit::Span::from_millis(10_000)),
            display_fallback
        )]
        every: unit::Span,
        /// Number of readings.
        #[bpaf(argument("COUNT"), fallback(360), display_fallback)]
        count: u32,
        /// Balancer addresses of the entry hosts.
        #[bpaf(positional("ADDRESS"), some("name at least one entry host"))]
        addresses: Vec<net::SocketAddr>,
    },
    /// Report burn rates from a record.
    #[bpaf(command)]
    Report {
        /// Operator address of a control process, to read the objectives from. Without it, 99.9 %
        /// availability is assumed for all services.
        #[bpaf(env("YUCCA_OPERATOR"), argument("URL"), optional)]
        operator: Option<String>,
        /// Also write the report to this file, as a self-contained HTML page.
        #[bpaf(argument("FILE"), optional)]
        html: Option<PathBuf>,
        /// Print JSON instead of a table.
        json: bool,
        /// Record file.
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
