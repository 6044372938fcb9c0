//! `yucca`: command line for operators.

use std::env;
use std::fs;
use std::process;

use yucca_cli::client;
use yucca_cli::command;
use yucca_cli::error::Error;
use yucca_wire::auth;

fn main() -> process::ExitCode {
    let arguments = command::arguments().run();
    match run(&arguments) {
        Ok(text) => {
            println!("{text}");
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: &command::Arguments) -> Result<String, Error> {
    let secret = secret(arguments)?;
    let client = client::Client::new(&arguments.operator, secret, arguments.sender.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::InvalidResponse {
            reason: error.to_string(),
        })?;
    let report = runtime.block_on(arguments.command.run(&client))?;
    Ok(report.render(arguments.json))
}

fn secret(arguments: &command::Arguments) -> Result<auth::Secret, Error> {
    if let Ok(secret) = env::var("YUCCA_SECRET") {
        return Ok(auth::Secret::new(secret));
    }
    let Some(path) = &arguments.secret_file else {
        return Ok(auth::Secret::new(""));
    };
    let text = fs::read_to_string(path).map_err(|source| Error::File {
        path: path.clone(),
        source,
    })?;
    Ok(auth::Secret::new(text.trim()))
}
