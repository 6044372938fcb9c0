//! Service-level objectives, as set by tickets.

use indexmap::IndexMap;
use serde_json::Value;
use yucca_wire::table;

use crate::burn::scrape;
use crate::error::Error;
use crate::show;

/// Objectives by service and class.
pub type Objectives = IndexMap<scrape::Labels, table::Objective>;

/// Reads the objectives from the response to `GET /table`.
///
/// # Errors
/// Returns [`Error::InvalidResponse`] if an objective is malformed.
pub fn from_table(response: &Value) -> Result<Objectives, Error> {
    let mut objectives = Objectives::new();
    let global = response.get("global").cloned().unwrap_or_default();
    for (service, value) in show::members(&global, "services") {
        for (class, objective) in show::members(value, "objectives") {
            let objective = serde_json::from_value(objective.clone()).map_err(|error| {
                Error::InvalidResponse {
                    reason: format!("objective of {service}: {error}"),
                }
            })?;
            let labels = scrape::Labels {
                service: service.into(),
                class: class.to_lowercase(),
            };
            objectives.insert(labels, objective);
        }
    }
    Ok(objectives)
}
