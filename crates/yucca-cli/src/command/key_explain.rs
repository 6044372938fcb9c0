//! `yucca key explain SERVICE KEY`

use bpaf::Bpaf;
use serde_json::Value;
use yucca_wire::id;

use crate::client;
use crate::error::Error;
use crate::show;

/// Explains what would happen to a request for a key now.
///
/// Example: `yucca key explain ticket-desk B-1042`
#[derive(Debug, Clone, Bpaf)]
pub struct Explain {
    /// Service.
    #[bpaf(positional("SERVICE"))]
    pub service: id::Service,
    /// Key.
    #[bpaf(positional("KEY"))]
    pub key: String,
}

impl Explain {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error if the control process cannot be reached, or if the service is not divided
    /// by key.
    pub async fn run(&self, client: &client::Client) -> Result<show::Report, Error> {
        let key =
            percent_encoding::utf8_percent_encode(&self.key, percent_encoding::NON_ALPHANUMERIC);
        let found = client
            .get(&format!("/key?service={}&key={key}", self.service))
            .await?;
        let owner = found.get("owner").cloned().unwrap_or_default();
        let target = found.get("target").cloned().unwrap_or_default();
        let rows = [
            ("shard", show::text(&found, "shard")),
            ("pinned", show::text(&found, "pinned")),
            ("home domain", show::text(&found, "home")),
            ("owner", show::text(&owner, "target")),
            (
                "owner's token",
                owner.get("token").map_or("-".into(), show::token),
            ),
            ("lane", show::text(&target, "lane")),
            ("standby", show::text(&target, "standby")),
            ("target's state", show::text(&target, "state")),
        ];
        let rows = rows.map(|(name, value)| vec![name.to_owned(), value]);
        let text = format!(
            "{}\n{}",
            show::table(&["property", "value"], rows.to_vec()),
            outcome(&found, &owner, &target)
        );
        Ok(show::Report::new(found, text))
    }
}

fn outcome(found: &Value, owner: &Value, target: &Value) -> String {
    if found.get("home").is_none_or(Value::is_null) {
        return "A request waits until its deadline: no domain has targets of the service.".into();
    }
    if owner.is_null() {
        return "A request waits until its deadline: the shard has no owner now; it gets one when a target of its home domain serves.".into();
    }
    if owner.get("moving") == Some(&Value::Bool(true)) {
        return "A request waits at the lane until the key has moved to its next owner, but not beyond its deadline.".into();
    }
    if target.get("lane").is_none_or(Value::is_null) {
        return "A request waits until its deadline: the owner has no lane until its domain assigns the next one.".into();
    }
    format!(
        "A request goes to {} through the lane at {}.",
        show::text(owner, "target"),
        show::text(target, "lane")
    )
}
