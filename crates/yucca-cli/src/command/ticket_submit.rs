//! `yucca ticket submit FILE`

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use bytes::Bytes;
use serde_json::Value;
use tokio::time;
use yucca_own::ticket;
use yucca_wire::unit;

use crate::client;
use crate::command::ticket_check;
use crate::error::Error;
use crate::show;

/// Maximum number of times that a ticket is sent, always under the same number.
const MAX_ATTEMPTS: u32 = 5;

/// Delay before the ticket is sent again after a failed request or status 503.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Interval between queries for the hosts where the ticket is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Submits a ticket file and waits until it is in force everywhere.
///
/// If the response is lost, sends the ticket again under the same number, never under a new one.
/// Example: `yucca ticket submit tickets/kelani.toml --wait 10s`
#[derive(Debug, Clone, Bpaf)]
pub struct Submit {
    /// Maximum time to wait until the ticket is in force on all hosts.
    #[bpaf(
        argument("SPAN"),
        fallback(unit::Span::from_millis(10_000)),
        display_fallback
    )]
    pub wait: unit::Span,
    /// Ticket file, in TOML if its name ends in `.toml`, else in JSON.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

impl Submit {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error if the file has findings, the ticket is refused, the control process
    /// cannot be reached, or the ticket is not in force on all hosts in time.
    pub async fn run(&self, client: &client::Client) -> Result<show::Report, Error> {
        let file = ticket_check::read(&self.file)?;
        let number = file.checked.number.0;
        let accepted = send(client, &file).await?;
        self.wait_in_force(client, number, accepted).await
    }

    async fn wait_in_force(
        &self,
        client: &client::Client,
        number: u64,
        accepted: Value,
    ) -> Result<show::Report, Error> {
        let deadline = time::Instant::now() + self.wait.0;
        let mut reported = Vec::new();
        loop {
            let ticket = client.get(&format!("/tickets/{number}")).await;
            let force = match &ticket {
                Ok(ticket) => ticket.get("in_force").cloned().unwrap_or_default(),
                Err(_) => Value::Null,
            };
            let missing = missing(&force);
            if force.get("everywhere") == Some(&Value::Bool(true)) {
                let text = format!(
                    "ticket {number} accepted as version {}, in force on all {} hosts",
                    show::text(&accepted, "version"),
                    show::members(&force, "hosts").len()
                );
                let json = serde_json::json!({ "accepted": accepted, "in_force": force });
                return Ok(show::Report::new(json, text));
            }
            if missing != reported && !missing.is_empty() {
                eprintln!("waiting for {}", missing.join(", "));
                reported.clone_from(&missing);
            }
            if time::Instant::now() >= deadline {
                return Err(Error::NotInForce { number, missing });
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn missing(force: &Value) -> Vec<String> {
    let list = force.get("missing").and_then(Value::as_array);
    let names = list.into_iter().flatten().filter_map(Value::as_str);
    names.map(str::to_owned).collect()
}

async fn send(client: &client::Client, file: &ticket_check::File) -> Result<Value, Error> {
    let content_type = match file.format {
        ticket::Format::Toml => "application/toml",
        ticket::Format::Json => "application/json",
    };
    let mut attempt = 1;
    loop {
        let response = client
            .post("/tickets", content_type, Bytes::from(file.text.clone()))
            .await;
        match response {
            Ok(response) if response.status < 300 => return Ok(response.body),
            Ok(response) if response.status == 409 => {
                return Err(Error::NumberTaken {
                    accepted: response.body.get("standing").cloned().unwrap_or_default(),
                    submitted: serde_json::to_value(&file.checked).unwrap_or_default(),
                });
            }
            Ok(response) if response.status != 503 || attempt == MAX_ATTEMPTS => {
                return Err(Error::Refused {
                    status: response.status,
                    problem: response.body,
                });
            }
            Err(error) if attempt == MAX_ATTEMPTS => return Err(error),
            Ok(_) | Err(_) => {}
        }
        eprintln!("the ticket was not confirmed; sending it again under the same number");
        attempt += 1;
        time::sleep(RETRY_DELAY).await;
    }
}
