//! `yucca target list`

use serde_json::Value;

use crate::client;
use crate::error::Error;
use crate::show;

/// Lists targets.
///
/// # Errors
/// Returns an error if the control process cannot be reached or refuses the request.
pub async fn run(client: &client::Client) -> Result<show::Report, Error> {
    let status = client.get("/status").await?;
    let domains = show::members(&status, "domains").into_iter();
    let targets = domains.map(|(name, domain)| (name.to_owned(), domain["targets"].clone()));
    let json = Value::Object(targets.collect());
    Ok(show::Report::new(json, table(&status)))
}

/// Returns the targets in the response to `GET /status` as a table.
pub fn table(status: &Value) -> String {
    let mut rows = Vec::new();
    for (domain, value) in show::members(status, "domains") {
        for (name, target) in show::members(value, "targets") {
            rows.push(vec![
                name.to_owned(),
                show::text(target, "service"),
                domain.to_owned(),
                show::text(target, "state"),
                show::text(target, "slots"),
                show::text(target, "lane"),
                show::text(target, "standby"),
                target.get("token").map_or("-".into(), show::token),
            ]);
        }
    }
    show::table(
        &[
            "target", "service", "domain", "state", "slots", "lane", "standby", "token",
        ],
        rows,
    )
}
