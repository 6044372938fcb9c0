//! `yucca ticket status NUMBER`

use bpaf::Bpaf;
use serde_json::Value;

use crate::client;
use crate::error::Error;
use crate::show;

/// Shows for each host whether a ticket is in force.
///
/// Example: `yucca ticket status 12`
#[derive(Debug, Clone, Bpaf)]
pub struct Status {
    /// Number of the ticket.
    #[bpaf(positional("NUMBER"))]
    pub number: u64,
}

impl Status {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error if the control process cannot be reached or the ticket was not accepted.
    pub async fn run(&self, client: &client::Client) -> Result<show::Report, Error> {
        let ticket = client.get(&format!("/tickets/{}", self.number)).await?;
        let force = ticket.get("in_force").cloned().unwrap_or_default();
        let rows = show::members(&force, "hosts")
            .into_iter()
            .map(|(host, state)| {
                let state = state.as_str().unwrap_or("-");
                vec![host.to_owned(), state.to_owned()]
            });
        let everywhere = force.get("everywhere") == Some(&Value::Bool(true));
        let headline = format!(
            "ticket {}, version {}: {}",
            self.number,
            show::text(&ticket, "version"),
            if everywhere {
                "in force everywhere"
            } else {
                "not in force everywhere"
            }
        );
        let text = format!(
            "{headline}\n{}",
            show::table(&["host", "state"], rows.collect())
        );
        Ok(show::Report::new(force, text))
    }
}
