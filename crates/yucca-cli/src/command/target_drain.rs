//! `yucca target drain SERVICE TARGET`

use bpaf::Bpaf;
use serde_json::{Value, json};
use yucca_wire::id;

use crate::client;
use crate::error::Error;
use crate::show;

/// Prints a ticket that drains a target or ends its drain.
///
/// The ticket holds the complete set of drained targets of the service: the current set, with this
/// target added or removed. It is not submitted: save it, read it, and submit it.
/// Example: `yucca target drain ticket-desk desk-3 --number 12 > 12.json`
#[derive(Debug, Clone, Bpaf)]
pub struct Drain {
    /// Number of the new ticket.
    #[bpaf(argument("NUMBER"))]
    pub number: u64,
    /// End the drain of the target instead.
    pub undo: bool,
    /// Service.
    #[bpaf(positional("SERVICE"))]
    pub service: id::Service,
    /// Target.
    #[bpaf(positional("TARGET"))]
    pub target: id::Target,
}

impl Drain {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error if the control process cannot be reached or the service has no such target.
    pub async fn run(&self, client: &client::Client) -> Result<show::Report, Error> {
        let table = client.get("/table").await?;
        self.check_known(&table)?;
        let drained = table["global"]["drains"][self.service.as_str()].as_array();
        let names = drained.into_iter().flatten().filter_map(Value::as_str);
        let mut drains: Vec<&str> = names.filter(|name| *name != self.target.as_str()).collect();
        if !self.undo {
            drains.push(self.target.as_str());
        }
        let verb = if self.undo { "take back" } else { "drain" };
        let ticket = json!({
            "number": self.number,
            "summary": format!("{verb} {}", self.target),
            "drains": { self.service.as_str(): drains },
        });
        let text = format!("{ticket:#}");
        Ok(show::Report::new(ticket, text))
    }

    fn check_known(&self, table: &Value) -> Result<(), Error> {
        let of_service = |target: &Value| target["service"] == self.service.as_str();
        let known = show::members(table, "locals")
            .into_iter()
            .any(|(_, local)| {
                local["targets"]
                    .get(self.target.as_str())
                    .is_some_and(of_service)
            });
        if known {
            return Ok(());
        }
        Err(Error::Argument {
            name: "TARGET",
            problem: format!(
                "{} has no target {}; see `yucca target list`",
                self.service, self.target
            ),
        })
    }
}
