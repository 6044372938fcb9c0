//! `yucca domain list`

use serde_json::Value;

use crate::client;
use crate::error::Error;
use crate::show;

/// Lists failure domains.
///
/// # Errors
/// Returns an error if the control process cannot be reached or refuses the request.
pub async fn run(client: &client::Client) -> Result<show::Report, Error> {
    let status = client.get("/status").await?;
    let json = status.get("domains").cloned().unwrap_or_default();
    Ok(show::Report::new(json, table(&status)))
}

/// Returns the failure domains in the response to `GET /status` as a table.
///
/// The states are as seen by the control process that responded: an unreachable domain may still
/// serve its callers.
pub fn table(status: &Value) -> String {
    let rows = show::members(status, "domains")
        .into_iter()
        .map(|(name, domain)| {
            let state = match (domain.get("lost"), domain.get("reachable")) {
                (Some(Value::Bool(true)), _) => "declared lost",
                (_, Some(Value::Bool(true))) => "connected",
                _ => "unreachable",
            };
            vec![
                name.to_owned(),
                state.to_owned(),
                show::text(domain, "leader"),
                show::text(domain, "version"),
                show::text(domain, "global_taken_in"),
                show::members(domain, "targets").len().to_string(),
            ]
        });
    show::table(
        &[
            "domain",
            "state",
            "leader",
            "version",
            "global version",
            "targets",
        ],
        rows.collect(),
    )
}
