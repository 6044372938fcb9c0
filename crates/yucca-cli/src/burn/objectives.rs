//! The objectives of services, as tickets state them.

use indexmap::IndexMap;
use serde_json::Value;
use yucca_wire::table;

use crate::burn::scrape;
use crate::error::Error;
use crate::show;

/// The objectives by service and class.
pub type Objectives = IndexMap<scrape::Labels, table::Objective>;

/// Reads the objectives from a table, as `GET /table` shows it.
///
/// # Errors
/// Fails where the table holds objectives in another form.
pub fn from_table(shown: &Value) -> Result<Objectives, Error> {
    let mut objectives = Objectives::new();
    let global = shown.get("global").cloned().unwrap_or_default();
    for (service, value) in show::members(&global, "services") {
        for (class, objective) in show::members(value, "objectives") {
            let objective = serde_json::from_value(objective.clone()).map_err(|error| {
                Error::InvalidResponse {
                    reason: format!("objective of {service}: {error}"),
                }
            })?;
            let line = scrape::Labels {
                service: service.into(),
                class: class.to_lowercase(),
            };
            objectives.insert(line, objective);
        }
    }
    Ok(objectives)
}
