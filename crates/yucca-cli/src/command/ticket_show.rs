//! `yucca ticket show NUMBER`

use bpaf::Bpaf;

use crate::client;
use crate::error::Error;
use crate::show;

/// Shows a ticket: its content, its sender and the version with which it was accepted.
///
/// Example: `yucca ticket show 12`
#[derive(Debug, Clone, Bpaf)]
pub struct Show {
    /// Number of the ticket.
    #[bpaf(positional("NUMBER"))]
    pub number: u64,
}

impl Show {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error if the control process cannot be reached or the ticket was not accepted.
    pub async fn run(&self, client: &client::Client) -> Result<show::Report, Error> {
        let ticket = client.get(&format!("/tickets/{}", self.number)).await?;
        let content = ticket.get("content").cloned().unwrap_or_default();
        let text = format!(
            "ticket {} by {}, accepted as version {}: {}\n{content:#}",
            self.number,
            show::text(&ticket, "sender"),
            show::text(&ticket, "version"),
            show::text(&ticket, "summary"),
        );
        Ok(show::Report::new(ticket, text))
    }
}
