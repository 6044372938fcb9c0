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

/// How often a lost answer is asked for, under the same number.
const ATTEMPTS: u32 = 5;

/// How long to wait before the ticket is sent again after a lost answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How often progress is looked at.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Submits a ticket file and waits until it is in force everywhere.
///
/// An answer that was lost is asked for again under the same number, never under a new one.
/// Example: `yucca ticket submit tickets/kelani.toml --wait 10s`
#[derive(Debug, Clone, Bpaf)]
pub struct Submit {
    /// How long to wait until it is in force on every host.
    #[bpaf(
        argument("SPAN"),
        fallback(unit::Span::from_millis(10_000)),
        display_fallback
    )]
    pub wait: unit::Span,
    /// The ticket, as TOML or JSON.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

impl Submit {
    /// Carries the command out.
    ///
    /// # Errors
    /// Fails where the ticket is refused, or not in force everywhere in time.
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
        let until = time::Instant::now() + self.wait.0;
        let mut shown = Vec::new();
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
            if missing != shown && !missing.is_empty() {
                eprintln!("waiting for {}", missing.join(", "));
                shown.clone_from(&missing);
            }
            if time::Instant::now() >= until {
                return Err(Error::NotInForce { number, missing });
            }
            time::sleep(PROGRESS_INTERVAL).await;
        }
    }
}

fn missing(force: &Value) -> Vec<String> {
    let list = force.get("missing").and_then(Value::as_array);
    let names = list.into_iter().flatten().filter_map(Value::as_str);
    names.map(str::to_owned).collect()
}

async fn send(client: &client::Client, file: &ticket_check::File) -> Result<Value, Error> {
    let kind = match file.format {
        ticket::Format::Toml => "application/toml",
        ticket::Format::Json => "application/json",
    };
    let mut attempt = 1;
    loop {
        let answer = client
            .post("/tickets", kind, Bytes::from(file.text.clone()))
            .await;
        match answer {
            Ok(answer) if answer.status < 300 => return Ok(answer.body),
            Ok(answer) if answer.status == 409 => {
                return Err(Error::NumberTaken {
                    accepted: answer.body.get("standing").cloned().unwrap_or_default(),
                    submitted: serde_json::to_value(&file.checked).unwrap_or_default(),
                });
            }
            Ok(answer) if answer.status != 503 || attempt == ATTEMPTS => {
                return Err(Error::Refused {
                    status: answer.status,
                    problem: answer.body,
                });
            }
            Err(error) if attempt == ATTEMPTS => return Err(error),
            Ok(_) | Err(_) => {}
        }
        eprintln!("no answer; asking again under the same number");
        attempt += 1;
        time::sleep(RETRY_PAUSE).await;
    }
}
