//! `yucca ticket list`

use crate::client;
use crate::error::Error;
use crate::show;

/// Lists the newest tickets.
///
/// # Errors
/// Returns an error if the control process cannot be reached or refuses the request.
pub async fn run(client: &client::Client) -> Result<show::Report, Error> {
    let tickets = client.get("/tickets").await?;
    let recent = tickets.get("recent").and_then(|list| list.as_array());
    let rows = recent.into_iter().flatten().map(|ticket| {
        ["number", "version", "sender", "summary"]
            .map(|name| show::text(ticket, name))
            .to_vec()
    });
    let table = show::table(&["number", "version", "sender", "summary"], rows.collect());
    let text = format!("{} accepted\n{table}", show::text(&tickets, "accepted"));
    Ok(show::Report::new(tickets, text))
}
