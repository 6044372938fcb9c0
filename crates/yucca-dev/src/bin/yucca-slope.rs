//! `yucca-slope`: measures the marginal cost of a shard, target, ticket or message.

use std::process;

use bpaf::Bpaf;
use yucca_dev::slope;

/// Measures the slopes from which docs/CAPACITY.md derives the size of each role.
///
/// cargo run --release --bin yucca-slope
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Print JSON instead of a table
    json: bool,
}

fn main() -> process::ExitCode {
    match run(&options().run()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yucca-slope: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), slope::Error> {
    let slopes = slope::measure()?;
    if options.json {
        let text = serde_json::to_string_pretty(&slopes);
        let text = text.map_err(|error| slope::Error::Codec(error.to_string()))?;
        println!("{text}");
        return Ok(());
    }
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(["slope", "figure", "unit"]);
    for slope in slopes {
        table.add_row([slope.name, &format!("{:.2}", slope.value), slope.unit]);
    }
    println!("{table}");
    Ok(())
}
