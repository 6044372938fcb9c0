//! `yucca status`

use serde_json::Value;

use crate::client;
use crate::command::{domain_list, target_list};
use crate::error::Error;
use crate::show;

/// Shows the current state of the deployment.
///
/// # Errors
/// Returns an error if the control process cannot be reached or refuses the request.
pub async fn run(client: &client::Client) -> Result<show::Report, Error> {
    let status = client.get("/status").await?;
    let global = status.get("global").cloned().unwrap_or_default();
    let headline = format!(
        "{}, as seen by {} in {}; global version {}",
        show::text(&status, "deployment"),
        show::text(&status, "host"),
        show::text(&status, "domain"),
        show::text(&global, "version"),
    );
    let text = format!(
        "{headline}\n\n{}\n\n{}\n\n{}",
        domain_list::table(&status),
        hosts(&status),
        target_list::table(&status)
    );
    Ok(show::Report::new(status, text))
}

fn hosts(status: &Value) -> String {
    let mut rows = Vec::new();
    for (domain, value) in show::members(status, "domains") {
        for (host, seen) in show::members(value, "hosts") {
            rows.push(vec![
                host.to_owned(),
                domain.to_owned(),
                show::text(seen, "heard_ms_ago"),
                show::text(seen, "global"),
            ]);
        }
    }
    show::table(
        &["host", "domain", "last contact (ms ago)", "global version"],
        rows,
    )
}
